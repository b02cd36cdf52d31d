Feature: A text that no message can carry costs no request

  Scenario Outline: An announcement with <text> is refused and costs no request
    # Guards against requests that searchers run and whose callers get no answer, and
    # against requests that no caller has sent, because of the texts of another writer.
    Given a routed tier with one searcher for each of 4 shards
    When a searcher is announced with <text>
    Then the announcement is refused with 400
    And requests to all shards are answered, and searchers get no others

    Examples:
      | text                         |
      | an id beyond Latin-1         |
      | a whole request in its id    |
      | a NUL in its id              |
      | a blank at the end of its id |
      | a line break in its service  |
      | a line break in its location |
      | a name for its address       |
      | a request in its address     |

  Scenario Outline: A searcher with <text> that a replica has taken costs no request
    # Guards against an entry that a replica of an earlier release has stored or passes on.
    Given a routed tier with one searcher for each of 4 shards
    When a replica passes on a searcher with <text>, and a sound one "sound"
    Then requests to all shards are answered, and searchers get no others
    And the host knows "sound" and has logged the other one

    Examples:
      | text                         |
      | an id beyond Latin-1         |
      | a whole request in its id    |
      | a NUL in its id              |
      | a blank at the end of its id |
      | a line break in its service  |
      | a line break in its location |
      | a name for its address       |
      | a request in its address     |

  Scenario Outline: The health of a searcher is checked with <request>, <reason>
    # Guards against requests that no caller has sent, from a configuration that an
    # earlier release has stored, and against checks that are no requests.
    Given a routed tier with a searcher "c-1" of "cards"
    And the configuration in force <content>
    When the host checks whether it reaches searchers
    Then "c-1" got nothing but <request>

    Examples:
      | request     | reason                                | content                                |
      | GET /health | as the path is no part of a request   | has a whole request in its health path |
      | GET /health | as the service is not defined         | does not define the service            |
      | GET /ready  | as the configuration says             | has the health path "/ready"           |

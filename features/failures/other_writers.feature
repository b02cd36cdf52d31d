Feature: An announcement of another writer takes no searcher out

  Background:
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" rejects requests for another searcher
    And a searcher "s-2" of "later"

  Scenario Outline: An announcement of <service> at a searcher's address, <born> ms after its start, leaves it in use
    # Guards against a searcher that gets no request any more since another process named
    # its address once (issue 49, review/11).
    When another writer announces the address of "s-1" for "<service>", born <born> ms later
    And the host has heard it
    Then 20 requests to "/read/x" are answered by "s-1"

    Examples:
      | service | born |
      | nobody  | 0    |
      | nobody  | 50   |
      | cards   | 50   |

  Scenario: Another writer that leaves again leaves the searcher in use
    # Guards against an address that nobody gets requests at, once its last claimant left.
    When another writer announces the address of "s-1" for "cards", born 50 ms later
    And the host has heard it
    And the other writer leaves
    Then 20 requests to "/read/x" are answered by "s-1"

  Scenario: An address that a searcher of another service has taken over is used for that service only
    # Guards against requests to a searcher that has ended, at whose address another runs.
    Given a configuration names "moved"
    When "s-1" ends, and a searcher "s-3" of "moved" starts at its address
    Then the host sends requests of "moved" to "s-3", and knows no searcher of "cards"

  Scenario: A searcher of a service that a later version names gets its requests from then on
    # Guards against a host that drops what its version does not name.
    When a configuration names "later"
    Then 20 requests to "/later/x" are answered by "s-2"

  Scenario: A version that names a service settles whose address it is
    # Guards against a searcher that has ended and keeps the address of its successor.
    When "s-1" ends, and a searcher "s-3" of "moved" starts at its address
    And a configuration names "moved"
    Then the host sends requests of "moved" to "s-3", and knows no searcher of "cards"

  Scenario Outline: An announcement under a searcher's id for a service that is not named, <with>, leaves it in use
    # Guards against a searcher that a process with its id and a newer announcement
    # takes out, or drains.
    When another writer announces itself as "s-1" for "nobody" <with>
    And "s-1" has announced itself again
    Then 20 requests to "/read/x" are answered by "s-1"
    When "s-1" reports that it leaves
    Then the host knows no searcher "s-1"

    Examples:
      | with                                 |
      | with a higher number                 |
      | with a later start                   |
      | with a higher number, draining       |

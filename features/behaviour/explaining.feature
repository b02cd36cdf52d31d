Feature: Logs and metrics explain the outcome of requests

  Scenario: Each decision about a failed request is logged and can be shown
    # Guards against failures that on-call engineers cannot trace to their cause.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" rejects
    When a caller sends POST "/card/x" with body "book"
    Then the caller gets 503
    And the event lines of "r-1" name the searcher "s-1", the inputs of its choice and "503, not run"
    And plantainstage-explain shows the same from a file of these lines

  Scenario Outline: The decisions about a request are logged if its searcher <fault>
    # Guards against a failure of the only searcher that is logged like an ordinary
    # request.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" <fault>
    When a caller sends POST "/card/x" with body "book"
    Then the event lines of "r-1" name the searcher "s-1", the inputs of its choice and "<outcome>"

    Examples:
      | fault                  | outcome       |
      | resets                 | broken: reset |
      | cuts its answers short | broken: reset |
      | fails                  | 500           |

  Scenario: A request to a service without known searchers is logged with this reason
    # Guards against a refusal that the logs do not explain.
    Given a routed tier with a searcher "s-1" of "books"
    When a caller sends GET "/read/x"
    Then the caller gets 503
    And the event lines of "r-1" contain "given_up" and "no searcher is known"

  Scenario: Event lines are rate-limited; ordinary ones are dropped first and counted
    # Guards against logs that grow with the load, and against the loss of the lines
    # that explain a failure.
    When 1000 ordinary and then 100 important events are logged within a second
    Then all important events are kept
    And the number of dropped lines is logged

  Scenario: A log reader that stops reading does not block the program
    # Guards against a log that blocks the event loop.
    When 50000 events are logged to a pipe that nobody reads
    Then the call returns and the lines that did not fit are counted

  Scenario: Counters and histograms are served as text
    # Guards against metrics that a scraper cannot read.
    Given a routed tier with a searcher "s-1" of "cards"
    When 3 callers send GET "/read/x" one after the other
    Then the metrics of the entry host count 3 requests of kind "single" with status 200
    And the metrics of the control replica count 1 acknowledged configuration

  Scenario Outline: The reason of a refusal that concerns an account is told: <outcome>
    # Guards against a refused request of an account whose cause nobody can tell.
    Given a log with a request line with outcome "<outcome>" and the fields <fields>
    When plantainstage-explain is asked for this request
    Then it prints the request line as before and one line "<reason>"

    Examples:
      | outcome            | fields                                        | reason |
      | key_unknown        | status 401 key 0a1b2c3d4e5f version 7         | front-1 refused it: its key with the digest 0a1b2c3d4e5f belongs to no account of version 7: it is unknown or was withdrawn; `plantainstage-ctl accounts` lists those in force |
      | key_missing        | status 401 version 7                          | front-1 refused it: it carried no key, and its route needs one |
      | key_malformed      | status 401 version 7                          | front-1 refused it: it carried no key that can be read, and its route needs one |
      | over_quota         | status 429 account acme version 7             | front-1 refused it: account acme had used up its quota over all hosts; `plantainstage-ctl accounts --account acme` shows the quota and what it asks for |
      | account_over_share | status 503 account acme version 7             | front-1 refused it: upstreams could not serve all requests, and account acme was over its share of the capacity; `plantainstage-ctl accounts --account acme` shows the share |
      | no_room_in_time    | status 503 account acme version 7             | front-1 refused it: no searcher was expected to have room for account acme within the time limit of the request; `plantainstage-ctl accounts` tells who uses the capacity |

  Scenario Outline: No reason is added to a request line with outcome <outcome>
    # Guards against a reason that is told for a request which was not refused for it.
    Given a log with a request line with outcome "<outcome>" and the fields <fields>
    When plantainstage-explain is asked for this request
    Then it prints the request line as before and nothing else

    Examples:
      | outcome         | fields                            |
      | answered        | status 200 account acme version 7 |
      | rejected        | status 503 account acme version 7 |
      | no_room_in_time | status 503 version 7              |

Feature: What logs and metrics say of a request

  Scenario: A failed request has a line for each decision, and its story can be told
    # Guards against a complaint that on-call engineers cannot trace to its cause.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" rejects
    When a caller sends POST "/card/x" with body "book"
    Then the caller gets 503
    And the event lines of "r-1" name the searcher "s-1", the inputs of its choice and "503, not run"
    And plantainstage-explain tells the same from a file of these lines

  Scenario Outline: A request that a searcher <fault> leaves the lines that say so
    # Guards against a failure of the only searcher that counts as nothing special.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" <fault>
    When a caller sends POST "/card/x" with body "book"
    Then the event lines of "r-1" name the searcher "s-1", the inputs of its choice and "<outcome>"

    Examples:
      | fault                  | outcome       |
      | resets                 | broken: reset |
      | cuts its answers short | broken: reset |
      | fails                  | 500           |

  Scenario: A service of which no searcher is known leaves a line
    # Guards against a refusal that the logs do not explain.
    Given a routed tier with a searcher "s-1" of "books"
    When a caller sends GET "/read/x"
    Then the caller gets 503
    And the event lines of "r-1" say "given_up" and "no searcher is known"

  Scenario: Event lines are bounded, the dropped ones counted, failed requests kept first
    # Guards against logs that grow with the load, and against the loss of just those
    # lines that explain a failure.
    When 1000 ordinary and then 100 important events are logged within a second
    Then all important events are kept
    And the number of lines dropped is told

  Scenario: A reader that stands still costs no request
    # Guards against a log that blocks the event loop.
    When 50000 events are logged to a pipe that nobody reads
    Then the call returns and the lines that did not fit are counted

  Scenario: Counters and histograms are served as text
    # Guards against metrics that a scraper cannot read.
    Given a routed tier with a searcher "s-1" of "cards"
    When 3 callers send GET "/read/x" one after the other
    Then the metrics of the entry host count 3 requests of kind "single" with status 200
    And the metrics of the control replica count 1 acknowledged configuration

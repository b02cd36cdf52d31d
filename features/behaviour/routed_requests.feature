Feature: Routed requests reach searchers and come back whole

  Scenario: A request passes through unchanged in method, path, query and body
    # Guards against a request that a searcher runs in another form than sent.
    Given a routed tier with a searcher "s-1" of "cards"
    When a caller sends POST "/card/x?a=1&b=%20" with body "write me"
    Then the caller gets 200 with the answer of "s-1"
    And "s-1" got POST "/card/x?a=1&b=%20" with body "write me" and the caller's id
    And "s-1" got its own id as the expected searcher and less time than the caller has

  Scenario: A host without a route answers 404 and one without a configuration 503
    # Guards against a 404 from a host that knows no configuration yet.
    Given a routed tier without a configuration
    When a caller sends GET "/card/x"
    Then the caller is refused with 503 and told when to come back
    When the configuration of the scenario is put
    And a caller sends GET "/elsewhere/x"
    Then the caller gets 404

  Scenario Outline: A request that may repeat is served although one searcher <fault>
    # Guards against bytes of a faulty searcher that reach a caller as a success.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And the searcher "s-1" <fault>
    When 6 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-2"

    Examples:
      | fault                           |
      | cuts its answers short          |
      | resets answers without a length |
      | answers with garbage            |
      | answers for another request     |
      | rejects                         |
      | resets                          |
      | fails                           |

  Scenario: An answer without a length is whole when its connection ends in order
    # Guards against a refusal of answers that are delimited by the connection.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers without a length
    When a caller sends GET "/read/x"
    Then the caller gets 200 with the answer of "s-1"

  Scenario: An answer in chunks is passed on whole
    # Guards against chunk sizes among the bytes of an answer, and against a part of it.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers in chunks
    When 2 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-1"

  Scenario: A second answer to one request reaches no later caller
    # Guards against an extra answer that is taken for the next request's.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers twice
    When 8 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-1"
    And each answer bears the id of its own request

  Scenario Outline: A request that runs at most once is not sent again when a searcher <fault>
    # Guards against a second run of a request that may have run.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And all searchers <fault>
    When a caller sends POST "/card/x" with body "book"
    Then the caller gets <status>
    And <runs> searchers got the request

    Examples:
      | fault                  | status | runs |
      | resets                 | 502    | 1    |
      | cuts its answers short | 502    | 1    |
      | fails                  | 500    | 1    |
      | rejects                | 503    | 2    |

  Scenario: A searcher that rejects a long body early gets the rest of it, then the next request
    # Guards against other bytes where the rest of a body is due.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-1" rejects requests before it has read their bodies
    When 3 callers send POST "/card/x" with a body of 200000 bytes one after the other
    Then each caller is refused with 503
    And "s-1" got 3 whole bodies of 200000 bytes on one connection

  Scenario: A connection that was dropped while idle costs no request that may repeat
    # Guards against a request that is lost on a connection its searcher has left.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And every connection to a searcher is closed without a word
    When 6 callers send GET "/read/x" one after the other
    Then all callers get 200

  Scenario: The work ends when the caller leaves
    # Guards against searchers that work on for a caller who has gone.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" never answers
    When a caller sends GET "/read/x" and closes its connection
    Then the searcher "s-1" sees its connection closed before it answered

  Scenario: A caller gets its answer at the route's timeout
    # Guards against a request that is held beyond what the operator allows.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" never answers
    When a caller sends GET "/brief/x"
    Then the caller gets 504

  Scenario: A planned stop answers what runs and takes no request of an idle connection
    # Guards against a request that is read, passed on and then cut off by a stop.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers after the stop has begun
    When the entry host is stopped while a caller waits
    Then the caller gets 200 with the answer of "s-1"
    And the entry host says that it is not ready, and ends

  Scenario: A fault while searchers are taken in keeps no host at an old version
    # Guards against hunt-796c-31: a forged announcement ended the tasks that poll
    # control, and the host refused routes of later versions with 404 for good.
    Given a routed tier with a searcher "s-1" of "cards"
    And taking in the searcher "s-2" raises an error, and so does dropping any searcher
    When the searcher "s-2" announces itself and configuration 2 is published
    Then the host has configuration 2 in force and has logged a failed task

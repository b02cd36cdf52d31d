Feature: A status that promises that a request has not run is sent only if it has not

  Scenario Outline: A searcher's <status> that does not state that the request has not run becomes 502
    # Guards against a caller that sends an order again which has run.
    Given a routed tier with one searcher for each of 4 shards
    And a searcher "c-1" of "cards"
    And each searcher replies with status "<status>"
    When a caller sends POST "/card/x" with body "x"
    Then the caller gets 502 without a searcher's signature
    And the caller is not told when to retry
    And the host has logged 502 for it, and <status> as the status it received
    When a caller sends GET "/read/x"
    Then the caller gets 502 without a searcher's signature
    And the caller is not told when to retry
    When a caller sends GET "/all/x"
    Then the caller gets 502 without a searcher's signature

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario Outline: A helper's <status> for which it does not vouch becomes 502
    # Guards against a promise that an earlier release forwards from a searcher.
    Given 3 entry hosts that help each other, and 3 searchers of each service
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When all helpers of host 1 reply with status "<status>"
    Then requests of each kind to host 1 get 502 without headers between hosts
    And no helper got a request twice, and one got those that may run once
    And each of them counts as run, for the quota of its account

    Examples:
      | status |
      | 408    |
      | 503    |

  Scenario: A helper's refusal for which it vouches reaches the caller
    # Guards against callers that may not come back although nothing has run.
    Given 3 entry hosts that help each other, and 3 searchers of each service
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When all helpers of host 1 refuse requests and vouch for it
    Then requests of each kind to host 1 get 503 without headers between hosts

  Scenario: What a searcher behind a helper has run is not refused
    # Guards against a promise of a searcher that passes through two hosts.
    Given 3 entry hosts that help each other, and 3 searchers of each service
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When all searchers reply with status "503"
    Then requests of each kind to host 1 get 502 without headers between hosts

  Scenario: What all searchers behind a helper reject is refused
    # Guards against a helper whose true refusal reaches the caller as a failure.
    Given 3 entry hosts that help each other, and 3 searchers of each service
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When each searcher rejects requests
    Then requests to one service at host 1 get 503 without headers between hosts

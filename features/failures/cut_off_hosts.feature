Feature: A host that is cut off from the searchers has its callers served by others

  Background:
    Given 3 entry hosts that help each other, and 3 searchers of each service

  Scenario Outline: Requests to a host whose connections to searchers <fault> are answered
    # Guards against callers that fail at one host while the others serve theirs.
    When the connections of host 1 to all searchers <fault>
    Then host 1 finds itself cut off while callers send it requests of each kind
    And 40 requests of each kind to host 1 are answered with 200
    And no request that may run once at most has run twice
    And each was passed on once at most

    Examples:
      | fault                     |
      | hang                      |
      | are reset and refused     |
      | hang, new ones refused    |

  Scenario: The end of the cut is noticed without requests
    # Guards against a host that stays cut off, or notices only with callers' requests.
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When the connections of host 1 work again
    Then host 1 finds that it reaches searchers
    And 10 requests of each kind to host 1 are answered with 200
    And none of them was passed on

  Scenario: A host from which only some shards are cut off passes on what needs them
    # Guards against a host that passes on everything, or nothing.
    When the connections of host 1 to the searchers of 2 shards are reset and refused
    Then requests to all shards at host 1 are answered with 200 in the end
    And 10 requests to one service at host 1 are not passed on

  Scenario: With all hosts cut off requests are refused at once
    # Guards against requests that are passed around, or wait for their deadline.
    When the connections of all hosts to all searchers are reset and refused
    Then each host finds itself cut off while callers send it requests of each kind
    And requests to each host are soon refused with 503 without being passed on

  Scenario: A request that breaks at the helper is not run again if it may not be
    # Guards against a second run of a request whose helper ended in the middle.
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When a request that may run once at most is at a searcher for host 1 and its helper ends
    Then its caller gets 502 and one searcher has got it

  Scenario: A request that breaks at the helper runs at no more searchers than its route allows
    # Guards against a second helper that has all attempts of the route again.
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When a request that may be repeated is at a searcher for host 1 and its helper ends
    Then its caller gets 502 and no other helper has got it

  Scenario: Work behind a helper ends with the caller
    # Guards against searchers that work for a caller who has left.
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When a caller of host 1 leaves while a searcher works on its request
    Then the searcher's work is cancelled

  Scenario: A long body that the version allows is taken by a helper
    # Guards against a listener for hosts with a limit of its own, lower than that of
    # callers.
    When a version allows bodies of 2000000 bytes
    And the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    And a request with a body of 1500000 bytes to host 1 gets 200
    When a version allows bodies of 1000 bytes
    Then a host still takes 1500000 bytes from other hosts, and 1000 from callers

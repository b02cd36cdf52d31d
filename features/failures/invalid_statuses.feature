Feature: A reply whose status HTTP does not have is never passed on as an answer

  Scenario Outline: Searchers that reply with <status> give their caller 502
    # Guards against a caller that gets the status of a broken searcher, or its
    # signature, as an answer.
    Given a routed tier with one searcher for each of 4 shards
    And a searcher "c-1" of "cards"
    And each searcher replies with <status>
    When a caller sends GET "/read/x"
    Then the caller gets 502 without a searcher's signature
    When a caller sends POST "/card/x" with body "x"
    Then the caller gets 502 without a searcher's signature
    When a caller sends GET "/all/x"
    Then the caller gets 502 without a searcher's signature

    Examples:
      | status                    |
      | status "000"              |
      | status "099"              |
      | status "99"               |
      | status "600"              |
      | status "999"              |
      | status "1000"             |
      | status "0200"             |
      | status "2xx"              |
      | status "-200"             |
      | no status                 |
      | an interim 103, then "000" |

  Scenario Outline: A shard whose searchers reply with <status> is left out of an answer
    # Guards against the record or the signature of such a reply in a gathered answer.
    Given a routed tier with one searcher for each of 4 shards
    And shard 2 has a searcher that replies with <status>
    When a caller sends GET "/all/x"
    Then the caller gets 200
    And the answer names the parts of 3 shards and 1 missing
    And no part is signed by the searcher of shard 2

    Examples:
      | status       |
      | status "000" |
      | status "600" |
      | status "2xx" |

  Scenario Outline: A request that may be repeated is answered by another searcher after <status>
    # Guards against an invalid reply that ends a request with attempts left.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And the searcher that gets the first request replies with <status>
    When a caller sends GET "/read/x"
    Then the caller gets 200 with the answer of the other searcher
    And the connection with that reply is not used again

    Examples:
      | status       |
      | status "000" |
      | status "600" |
      | status "999" |
      | status "2xx" |

  Scenario: A request that may run once at most is not repeated after an invalid status
    # Guards against a second run of a request that the first searcher may have run.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And the searcher that gets the first request replies with status "000"
    When a caller sends POST "/card/x" with body "x"
    Then the caller gets 502 without a searcher's signature
    And one searcher has got the request

  Scenario Outline: An answer after <interim> reaches the caller
    # Guards against a check of the status that refuses interim replies.
    Given a routed tier with one searcher for each of 4 shards
    And a searcher "c-1" of "cards"
    And each searcher replies with <interim>
    When a caller sends GET "/read/x"
    Then the caller gets 200 with the answer of "c-1"
    When a caller sends POST "/card/x" with body "x"
    Then the caller gets 200 with the answer of "c-1"
    When a caller sends GET "/all/x"
    Then the caller gets 200

    Examples:
      | interim                                |
      | an interim 100, then "200 OK"          |
      | an interim 103, then "200 OK"          |
      | an interim 100 and 103, then "200 OK"  |

  Scenario Outline: A helper's reply with <status> is not passed on
    # Guards against a host that trusts the status of another host.
    Given 3 entry hosts that help each other, and 3 searchers of each service
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When all helpers of host 1 reply with <status>
    Then requests of each kind to host 1 get 502 without a searcher's signature
    And no helper got a request twice, and one got those that may run once

    Examples:
      | status       |
      | status "000" |
      | status "600" |
      | status "999" |
      | status "2xx" |

  Scenario: A reply of a helper with status 000 fails one request and no other
    # Guards against an invalid reply that a caller gets, or that has a second helper run
    # a request with all attempts of its route again.
    Given 3 entry hosts that help each other, and 3 searchers of each service
    When the connections of host 1 to all searchers are reset and refused
    Then host 1 finds itself cut off while callers send it requests of each kind
    When one helper of host 1 replies with status "000"
    Then 20 repeatable requests get 502 from this helper and 200 from others

  Scenario Outline: The operator's command takes no reply with <status> for an outcome
    # Guards against a command that reports a configuration as acknowledged, or as
    # refused, by a replica that is broken.
    Given a control replica that replies with <status>
    When the command sends it a configuration
    Then the command ends with 6

    Examples:
      | status       |
      | status "000" |
      | status "99"  |
      | status "600" |
      | status "999" |
      | status "2xx" |
      | no status    |

  Scenario Outline: The burn report takes no reply with <status> for minutes
    # Guards against a report that counts what a broken host sends.
    Given an entry host that sends its minutes with <status>
    When the burn report reads the host
    Then it has no minute of the host and names the problem

    Examples:
      | status       |
      | status "000" |
      | status "600" |
      | status "999" |
      | status "2xx" |
      | no status    |

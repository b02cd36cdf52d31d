Feature: Requests to all shards are answered from their parts

  Scenario: The answer holds the greatest records of all shards and their signatures
    # Guards against parts that are listed but not merged, or merged but not listed.
    Given a routed tier with one searcher for each of 4 shards
    When a caller sends GET "/all/x"
    Then the answer names the parts of 4 shards and 0 missing
    And its body is the 3 greatest records of these parts, in descending order

  Scenario: A shard that does not answer is left out when the target latency is near
    # Guards against an answer that waits for a silent shard until it is late, and
    # against one that does not report the missing shard.
    Given a routed tier with one searcher for each of 4 shards
    And the searcher of shard 2 never answers
    When a caller sends GET "/all/x"
    Then the answer names the parts of 3 shards and 1 missing
    And its body is the 3 greatest records of these parts, in descending order

  Scenario: A request below the minimum coverage fails
    # Guards against a success with less coverage than the route promises.
    Given a routed tier with one searcher for each of 4 shards
    And each searcher of the shards 1 and 2 fails
    When a caller sends GET "/all/x"
    Then the caller gets 502

  Scenario: A searcher's failure reply is not a part although it is signed
    # Guards against the signature of a failed run among those of the parts.
    Given a routed tier with one searcher for each of 4 shards
    And the searcher of shard 3 fails
    When a caller sends GET "/all/x"
    Then the answer names the parts of 3 shards and 1 missing

  Scenario: A request to a silent searcher is hedged to another one of its shard
    # Guards against a missing shard because one of its searchers paused.
    Given a routed tier with one searcher for each of 4 shards
    And a second searcher for each shard
    And 60 requests to "/all/x" were served before
    And the searcher of shard 2 never answers
    When 5 callers send GET "/all/x" one after the other
    Then each answer names the parts of 4 shards

  Scenario: A request is refused without being sent if too few shards have searchers
    # Guards against work for a request that cannot reach its minimum coverage.
    Given a routed tier with one searcher for each of 2 shards
    When a caller sends GET "/all/x"
    Then the caller is refused with 503 and told when to retry
    And no searcher got the request

Feature: Requests to all shards

  Scenario: The answer holds the greatest records of all shards and their signatures
    # Guards against parts that are named but not merged, or merged but not named.
    Given a routed tier with one searcher for each of 4 shards
    When a caller sends GET "/all/x"
    Then the answer names the parts of 4 shards and 0 missing
    And its body is the 3 greatest records of these parts, falling

  Scenario: A shard without an answer is left out once the aim is near
    # Guards against an answer that waits for a silent shard until it is late, and
    # against one that hides what is missing.
    Given a routed tier with one searcher for each of 4 shards
    And the searcher of shard 2 never answers
    When a caller sends GET "/all/x"
    Then the answer names the parts of 3 shards and 1 missing
    And its body is the 3 greatest records of these parts, falling

  Scenario: Below the minimum coverage there is no success
    # Guards against a success that covers less than its route promises.
    Given a routed tier with one searcher for each of 4 shards
    And the searchers of shards 1 and 2 fails
    When a caller sends GET "/all/x"
    Then the caller gets 502

  Scenario: A searcher's failure is not a part although it is signed
    # Guards against a signature of a failed run among the parts.
    Given a routed tier with one searcher for each of 4 shards
    And the searcher of shard 3 fails
    When a caller sends GET "/all/x"
    Then the answer names the parts of 3 shards and 1 missing

  Scenario: A silent searcher is hedged by another one of its shard
    # Guards against a pause of one searcher that costs a shard.
    Given a routed tier with one searcher for each of 4 shards
    And a second searcher for each shard
    And 60 requests to "/all/x" were served before
    And the searcher of shard 2 never answers
    When 5 callers send GET "/all/x" one after the other
    Then each answer names the parts of 4 shards

  Scenario: Too few known shards are refused at once, and nothing is sent
    # Guards against work for a request that cannot reach its coverage.
    Given a routed tier with one searcher for each of 2 shards
    When a caller sends GET "/all/x"
    Then the caller is refused with 503 and told when to come back
    And no searcher got the request

Feature: A request counts each result once and sends extra load only where it helps

  Scenario: A partition that a request names twice is counted once
    # Guards against coverage that counts the documents of a partition twice.
    # Mutation: SnapshotView.restricted_to keeps repeated names.
    Given a request for partitions "p1 p1 p2" of searchers with 3 replicas
    When every outstanding sub-request is answered
    Then the answer covers 2 partitions of 2

  Scenario: A reset that is delivered three times counts as one reset
    # Guards against counting a result again that the link delivers more than once: one
    # reset would count as three, and the retry could be mistaken for the reset attempt.
    # Mutation: Gather.on_result accepts a second result of an attempt.
    Given a request for partitions "p1 p2" of searchers with 3 replicas
    When the reset of one sub-request is delivered 3 times
    And every outstanding sub-request is answered
    Then the answer covers 2 partitions of 2
    And one searcher of the partition was reset

  Scenario: A hedge still queued at its owner when the request ends is not extra load
    # Guards against hedges that no searcher received but that stay charged to the
    # budget for a minute, so that stragglers are not hedged.
    # Mutation: Gather._resolve does not give back the budget of an extra attempt.
    Given a request for partitions "p1 p2" of searchers with 3 replicas
    When a hedge for partition "p1" is sent with room for 1
    And the first sub-requests are answered and the hedge comes back as not sent
    Then the answer covers 2 partitions of 2
    And the budget has room for 1

  Scenario: No hedge is sent if the budget cannot cover all late partitions of a request
    # Guards against hedges for a request that fails because of another late partition.
    # Mutation: hedges_needed returns 1.
    Given a request for partitions "p1 p2" of searchers with 3 replicas
    When the hedges of both partitions are due with room for 1
    Then no hedge is sent
    And the budget has room for 1

  Scenario: A restarted searcher gets less work at first and its full share later
    # Guards against a cold searcher that makes one in three answers late.
    # Mutation: start_ramps does nothing.
    Given a host that knows 3 warm replicas of a partition
    When one of them starts again with a new incarnation
    Then it is chosen least often for the next second
    And it is chosen as often as the others after 10 seconds

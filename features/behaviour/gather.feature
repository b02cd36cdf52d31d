Feature: One request counts each result once and spends the extra-load budget well

  Scenario: A partition that a request names twice is counted once
    # Guards against a coverage that counts the documents of a partition twice.
    # Mutation: SnapshotView.restricted_to keeps repeated names.
    Given a request for partitions "p1 p1 p2" of searchers with 3 replicas
    When every outstanding sub-request is answered
    Then the answer covers 2 partitions of 2

  Scenario: A reset that is delivered three times is one lost searcher
    # Guards against a link that delivers a result again: the searcher would count
    # as three, and the retry would be taken for the one that was reset.
    # Mutation: Gather.on_result accepts a second result of an attempt.
    Given a request for partitions "p1 p2" of searchers with 3 replicas
    When the reset of one sub-request is delivered 3 times
    And every outstanding sub-request is answered
    Then the answer covers 2 partitions of 2
    And one searcher of the partition was reset

  Scenario: A hedge that its owner still held when the request ended is not extra load
    # Guards against a budget that loses room for a minute with each hedge that no
    # searcher saw, so that stragglers go without a hedge.
    # Mutation: Gather._resolve does not give the room of an extra attempt back.
    Given a request for partitions "p1 p2" of searchers with 3 replicas
    When a hedge for partition "p1" is sent with room for 1
    And the first sub-requests are answered and the hedge comes back as not sent
    Then the answer covers 2 partitions of 2
    And the budget has room for 1

  Scenario: A budget that cannot serve all late partitions of a request is kept
    # Guards against hedges spent on a request that another late partition fails.
    # Mutation: hedges_needed returns 1.
    Given a request for partitions "p1 p2" of searchers with 3 replicas
    When the hedges of both partitions are due with room for 1
    Then no hedge is sent
    And the budget has room for 1

  Scenario: A searcher that has just started gets less work, and its full share later
    # Guards against a cold searcher that makes one in three answers late.
    # Mutation: start_ramps does nothing.
    Given a host that knows 3 warm replicas of a partition
    When one of them starts again with a new incarnation
    Then it is chosen least often for the next second
    And it is chosen as often as the others after 10 seconds

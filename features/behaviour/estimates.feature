Feature: Latency estimates of a partition

  Scenario: The median of a partition is accurate after its first answers
    # Guards against hedges that are sent too late while the median still moves from
    # its initial value by small steps.
    # Mutation: PartitionLatency.observe moves the median by small steps from the start.
    Given a new partition whose answers take 24 ms, and 240 ms each tenth time
    Then its median is 24 ms after 3 answers, the first of which took 240 ms
    And its median stays between 20 and 30 ms for 200 more answers

Feature: One request from a caller to the searchers and back

  Scenario: A query is answered with one snapshot and its full coverage
    # Guards against partitions that are lost on the way between the processes.
    Given a tier with 1 entry host and 3 partitions of 2 searchers
    And the profile "rider-gate" with a deadline of 2000 ms
    When a caller sends a query under "rider-gate"
    Then the answer names one snapshot and covers all 3 partitions

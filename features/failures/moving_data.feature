Feature: Snapshot roll-outs, moving partitions and lost data centres

  Scenario: A snapshot roll-out during queries does not reduce the coverage of answers
    # Guards against answers from two snapshots, against coverage that is computed
    # from the manifest of another snapshot, and against choosing the newest snapshot
    # before it has all partitions.
    Given an entry tier of 2 hosts with 3 partitions of 2 searchers
    And the entry profile "rider-gate" with 3000 ms and coverage 0.3
    When callers query under "rider-gate" while one searcher after the other takes snapshot "s2"
    And every caller has an answer from "s2"
    And one searcher after the other drops "s1"
    Then every answer is for its own query, from one snapshot, with the coverage that the records show
    And every query was answered in full, some from "s1" and the last ones from "s2"

  Scenario: A partition that moves to another searcher during queries is counted exactly
    # Guards against a change of partitions that is not propagated, and against a
    # partition that is counted while no searcher holds it.
    Given an entry tier of 2 hosts with 2 partitions of 2 searchers
    And the entry profile "rider-gate" with 3000 ms and coverage 0.4
    When callers query under "rider-gate" while every searcher of "rider-desk-02" drops it
    And every caller has an answer without "rider-desk-02"
    And the searcher "rider-desk-01-1" takes "rider-desk-02" as well
    And every caller has an answer with "rider-desk-02"
    Then every answer is for its own query, from one snapshot, with the coverage that the records show
    And the last hits for "rider-desk-02" are from "rider-desk-01-1"

  Scenario: When a data centre is lost at once, the others answer and report what is missing
    # Guards against a partition without replicas that is counted as searched, and
    # against "not_run" for a request that ran in the other data centres.
    Given an entry tier over 3 data centres with 3 partitions of 3 searchers
    And only searchers of "upper-canal" hold "rider-desk-03"
    And the entry profile "rider-gate" with 1500 ms and coverage 0.5
    And the entry profile "turn-booking" with 1500 ms and coverage 1.0
    And a query of 1000 ms under "turn-booking" that runs on every partition through entry host 2
    When all processes of "upper-canal" are killed while callers query under "rider-gate"
    And every caller of another host has an answer without "rider-desk-03"
    Then the running query was refused as "unknown"
    And new queries under "turn-booking" are refused as "not_run" once control knows of the loss
    And every answer is for its own query, from one snapshot, with the coverage that the records show

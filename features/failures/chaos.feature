Feature: Combinations of random faults

  Scenario: A short run of random faults with a fixed seed violates no guarantee
    # Guards against faults that violate a guarantee only in combination, such as a
    # lost data folder while an entry host is partitioned. Longer runs:
    # tools/run_chaos.py --steps 40.
    When the chaos run of seed 7 with 5 steps has ended
    Then it had at least 200 answers and 5 faults, and printed no violation

  Scenario Outline: The checks of a chaos run report a violated guarantee
    # Guards against checks that pass because they do not examine the record.
    Given the record of a chaos run without violations
    When the record is changed so that <change>
    Then the checks report "<violation>"

    Examples:
      | change                                 | violation                 |
      | an answer has another caller's hits    | hits of another request   |
      | an answer has another request's id     | answer of another request |
      | an answer overstates its coverage      | coverage                  |
      | an answer names another snapshot       | no record of              |
      | a refused request has run              | says not_run              |
      | a booking has run twice                | ran 2 times               |
      | a booking has two different answers    | got 2 different answers   |
      | a searcher was used beyond its cap     | its cap is                |
      | a searcher that was taken out got work | sub-requests up to        |
      | a planned stop interrupted a request   | interrupted by            |

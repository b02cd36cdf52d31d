Feature: Routed requests under random faults of processes and links

  Scenario: A short soak with a fixed seed violates no guarantee
    # Guards against faults that violate a guarantee only in combination. Longer
    # runs: tools/run_soak.py --seed N --faults 20.
    When the soak of seed 7 with 4 faults has ended
    Then it had 4 faults and answers of each kind, and found no violation

  Scenario Outline: The checks of a soak report a violated guarantee
    # Guards against checks that pass because they do not examine the record.
    Given the record of a soak without violations
    When the record of the soak is changed so that <change>
    Then the checks of the soak report "<violation>"

    Examples:
      | change                                           | violation                           |
      | an answer has another request's body             | the body belongs to another request |
      | a gathered answer names another request's parts  | parts of another request            |
      | a gathered answer conceals a missing part        | missing                             |
      | a gathered answer lacks its greatest record      | greatest records                    |
      | a request that runs at most once ran twice       | ran 2 times                         |
      | a refused request has run                        | refused, but ran                    |
      | a planned stop interrupted a request             | interrupted by                      |
      | a drained searcher ran a request after the limit | s after the limit                   |
      | an entry host reverted a version                 | reverted to a version before        |
      | an entry host did not apply a version in time    | did not apply version               |
      | the newest version was lost                      | was lost                            |
      | a version has content that was not published     | differs from the published one      |

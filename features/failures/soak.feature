Feature: Routed requests under random faults of processes and links

  Scenario: No promise is broken in a short soak with a fixed seed
    # Guards against faults that break a promise only together; longer runs:
    # tools/run_soak.py --seed N --faults 20.
    When the soak of seed 7 with 4 faults has ended
    Then it had 4 faults and answers of each kind, and found no violation

  Scenario Outline: The checks of a soak find a broken promise
    # Guards against a soak that finds nothing because it looks at nothing.
    Given the record of a soak in which all promises were kept
    When the record of the soak is changed so that <change>
    Then the checks of the soak report "<violation>"

    Examples:
      | change                                       | violation             |
      | an answer has another request's body         | another answer's body |
      | a gathered answer names another's parts      | parts of another      |
      | a gathered answer hides what is missing      | missing               |
      | a gathered answer lacks its greatest record  | greatest records      |
      | a request that runs at most once ran twice   | ran 2 times           |
      | a refused request has run                    | refused, and has run  |
      | a planned stop cut off a request             | cut off by            |
      | a drained searcher got a request too late    | too late              |
      | an entry host went back behind a version     | went back behind      |
      | an entry host lacks a version for long       | in time               |
      | the newest version was lost                  | was lost              |
      | other content is held under a version        | is not what was sent  |

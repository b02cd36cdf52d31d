Feature: Minute records per profile

  Scenario: A minute's counts follow the objectives of its profile
    # Guards against refusals or low coverage that do not count against an objective.
    Given a minute recorder started at second 120
    When at second 125 the profile "a" answers in 70 ms of 80 with 95 of 100 documents and a minimum of 0.95
    And at second 126 the profile "a" answers in 81 ms of 80 with 94 of 100 documents and a minimum of 0.95
    And at second 127 the profile "a" refuses with "coverage_not_met" and "unknown"
    And at second 128 the profile "a" refuses with "overloaded" and "not_run"
    And at second 129 the profile "a" sends 27 first and 1 extra sub-requests
    Then the recorder has closed no minute at second 179
    And the record of minute 2 closed at second 180 for "a" has these counts
      | requests | answers | late | below_promise | documents_answered | documents_total | first_sub_requests | extra_sub_requests |
      | 4        | 2       | 3    | 2             | 189                | 200             | 27                 | 1                  |

  Scenario: Minutes without requests are closed as empty and only 180 are kept
    # Guards against idle minutes that are taken for unknown, and against memory growth.
    Given a minute recorder started at second 120
    When at second 125 the profile "a" refuses with "overloaded" and "not_run"
    And the recorder next closes minutes at second 600000
    Then it returns 180 minutes of which all are empty and the last is 9999

  Scenario: A clock that is set back never reopens a closed minute
    # Guards against two different records for one host and minute.
    Given a minute recorder started at second 120
    When at second 185 the profile "a" refuses with "overloaded" and "not_run"
    And at second 130 the profile "a" refuses with "overloaded" and "not_run"
    Then the record of minute 3 closed at second 240 for "a" has these counts
      | requests |
      | 2        |

  Scenario: The minutes in which a host started and stopped are marked incomplete
    # Guards against a burn report that takes a partial minute for a whole one.
    Given a minute recorder started at second 125
    When the recorder is stopped at second 250
    Then the complete flags of its minutes are "no yes no"

  Scenario: Unpublished profile names do not grow the recorder
    # Guards against unbounded memory use through names that callers choose.
    Given a minute recorder started at second 120
    When 2000 different profiles are refused at second 125
    Then the minute closed at second 180 has at most 513 records with 2000 requests

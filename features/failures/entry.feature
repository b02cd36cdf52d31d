Feature: Entry hosts that freeze or die, and requests that crash searchers

  Scenario: An entry host frozen past its lease sends nothing after it resumes
    # Guards against an owner that sends sub-requests when its searchers may already
    # have a new owner.
    Given an entry tier of 2 hosts with 2 partitions of 2 searchers
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When entry host 1 is frozen past its lease while it gets queries
    And it resumes without any reply from control
    Then no searcher has run anything since it resumed
    And the queries are refused as "configuration_unconfirmed"

  Scenario: A request whose entry host dies is not run again by a resend
    # Guards against a second execution of a non-idempotent request.
    Given an entry tier of 2 hosts with 1 partitions of 2 searchers
    And the entry profile "turn-booking" with 1500 ms and coverage 1.0
    When entry host 1 is killed while it runs a non-idempotent request
    And the request is resent through entry host 2 until its outcome is final
    Then the searchers' records show exactly 1 execution
    And the resends report "in_progress" and finally "outcome_unknown"

  Scenario: A request that crashes searchers crashes at most two, however it is resent
    # Guards against a resend that crashes every searcher of a partition.
    Given an entry tier of 3 hosts with 2 partitions of 4 searchers
    And the entry profile "rider-gate" with 2000 ms and coverage 1.0
    And 100 queries have built up the extra-load budget of "rider-gate"
    When a crashing query is sent through every entry host in turn
    Then at most 2 searchers have crashed
    And the resends are refused as "request_quarantined"

  Scenario: An operator finds a quarantine by the refusal and lifts it
    # Guards against a harmless query that is refused for 10 minutes because it ran
    # beside a crashing one, and against a lift after which a query crashes searchers
    # without limit.
    Given an entry tier of 2 hosts with 1 partitions of 4 searchers
    And the entry profile "rider-gate" with 2000 ms and coverage 1.0
    And 100 queries have built up the extra-load budget of "rider-gate"
    When a crashing query is sent through every entry host in turn
    Then the operator finds the fingerprint of the refusals with index and searchers
    When the operator lifts the quarantine
    Then it is in force everywhere and no fingerprint is listed
    And every entry host accepts the query until 1 more searcher has crashed
    And the operator finds the fingerprint of the refusals with index and searchers

  Scenario: Silent connections are detected and replaced long before the deadline
    # Guards against sub-requests that wait on dead connections until their
    # deadline, and against "not_run" for requests that may have run.
    Given an entry tier of 2 hosts with 1 partitions of 2 searchers
    And the entry profile "turn-booking" with 40000 ms and coverage 1.0
    And 400 queries have built up the extra-load budget of "turn-booking"
    When all open connections of the searcher "rider-desk-01-1" go silent
    And non-idempotent requests are sent through all entry hosts until one is lost
    Then the lost request was refused with "unknown" before half of its 40 s had passed
    And every other request was answered and every host answers in full

  Scenario Outline: A searcher that has become slow is not treated as silent forever
    # Guards against a silence threshold that never grows because every exchange
    # that would raise it is closed as silent.
    Given an entry tier of 1 hosts with 1 partitions of 1 searchers
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    And 40 queries have built up the extra-load budget of "rider-gate"
    And searchers that <offer> the status request
    When every searcher needs 400 ms for each query
    Then every host still answers in full under "rider-gate"

    Examples:
      | offer        |
      | offer        |
      | do not offer |

  Scenario: A slow query on an otherwise fast searcher loses no attempt
    # Guards against a slow query whose connection is treated as silent because the
    # searcher answers the probe, although it is still running the query.
    Given an entry tier of 1 hosts with 1 partitions of 1 searchers
    And the entry profile "turn-booking" with 3000 ms and coverage 1.0
    And 100 queries have built up the extra-load budget of "turn-booking"
    When a non-idempotent query that takes 400 ms is sent
    Then it was answered by its only run, after the searcher was asked about it

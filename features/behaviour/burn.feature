Feature: Service-level burn

  Background:
    Given the published profile "rider-gate" with a deadline of 80 ms, 0.01 late and 0.05 extra

  Scenario: A service that met its objectives is within budget
    # Guards against a report that never states that the budget was kept.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 0 and the report starts with "WITHIN BUDGET"

  Scenario: The worst minute of all hosts together is found and named
    # Guards against evaluating each host alone, or the mean instead of the worst minute.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And entry host "e2" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And 8 more late requests of "e2" in minute 1004
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 3 and the report starts with "EXCEEDED"
    And the worst minute is 1004 with 10 of 408 late
    And the burn rate over 5 minutes is 0.5 and over 60 minutes 0.698

  Scenario Outline: A single violated objective exceeds the budget
    # Guards against an objective that is not evaluated.
    Given entry host "e1" with 10 minutes of 200 requests, <late> late and <extra> of 200 extra
    And <below> answers of "e1" below the minimum coverage in minute 1003
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is <code> and minute 1003 is violated by "<violations>"

    Examples:
      | late | extra | below | code | violations |
      | 2    | 10    | 0     | 0    |            |
      | 3    | 10    | 0     | 3    | late       |
      | 2    | 11    | 0     | 3    | extra_load |
      | 2    | 10    | 1     | 3    | coverage   |

  Scenario: A host that cannot be read is named and makes the report partial
    # Guards against "within budget" when the host that was not read exceeds it.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And an entry host that refuses connections
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 4 and the report starts with "PARTIAL"
    And the report names the host that refuses connections

  Scenario: Missing or incomplete minutes of one host make the report partial
    # Guards against a restart that hides the minutes before it.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And entry host "e2" with 4 minutes of 200 requests, 1 late and 5 of 200 extra
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 4 and the report starts with "PARTIAL"
    And the report names a gap of 6 minutes for "e2" and no burn rate above 4 minutes is complete

  Scenario: Logs give the same report, and a minute read twice counts once
    # Guards against counting a host's log and its HTTP reply as two hosts.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    When the burn of the last 10 minutes is reported over HTTP and from the same host's log
    Then the exit code is 0 and the report starts with "WITHIN BUDGET"
    And the report counts 2000 requests

  Scenario: A log with a damaged line makes the report partial
    # Guards against lines that are skipped silently because they cannot be parsed.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    When the burn of the last 10 minutes is reported from a log truncated inside its last line
    Then the exit code is 4 and the report starts with "PARTIAL"

  Scenario: A report without a readable source is never within budget
    # Guards against an empty report that is taken for success.
    Given an entry host that refuses connections
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 4 and the report starts with "PARTIAL"

  Scenario: The program reads hosts and standard input, prints JSON and writes plots
    # Guards against a program that behaves differently from its modules.
    Given entry host "e1" with 10 minutes of 200 requests, 3 late and 5 of 200 extra
    When the burn program runs over HTTP and standard input with a PNG and an SVG
    Then it exits with 3, prints JSON with 2000 requests and writes both plots

  Scenario: Real entry hosts and control provide the data and profiles of a report
    # Guards against records that entry hosts serve or log in another format.
    Given a linked tier of 1 control replicas, 2 entry hosts and 1 partitions of 1 searchers
    When 20 queries are answered by each entry host
    And the burn program reads both entry hosts and control
    Then the report is partial, since no minute may have closed
    When both entry hosts are stopped as planned and the burn program reads their logs
    Then it counts at least 40 requests of "profile-0" that were not late

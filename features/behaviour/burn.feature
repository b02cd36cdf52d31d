Feature: Service-level burn

  Background:
    Given bounds for "rider-gate" with a deadline of 80 ms, 0.01 late and 0.05 extra

  Scenario: A service that kept its promise is within budget
    # Guards against a report that cannot say yes.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 0 and the report starts with "WITHIN BUDGET"

  Scenario: The worst minute of all hosts together is found and named
    # Guards against judging each host alone, or the mean instead of the worst.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And entry host "e2" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And 8 more late requests of "e2" in minute 1004
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 3 and the report starts with "EXCEEDED"
    And the worst minute is 1004 with 10 of 408 late
    And the burn rate over 5 minutes is 0.5 and over 60 minutes 0.698

  Scenario Outline: A single broken promise exceeds the budget
    # Guards against a promise that no check looks at.
    Given entry host "e1" with 10 minutes of 200 requests, <late> late and <extra> of 200 extra
    And <below> answers of "e1" below the promised coverage in minute 1003
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is <code> and minute 1003 is violated by "<violations>"

    Examples:
      | late | extra | below | code | violations |
      | 2    | 10    | 0     | 0    |            |
      | 3    | 10    | 0     | 3    | late       |
      | 2    | 11    | 0     | 3    | extra_load |
      | 2    | 10    | 1     | 3    | coverage   |

  Scenario: A host that cannot be read is named and nothing complete is claimed
    # Guards against "within budget" while the bad host is the unread one.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    And an entry host that refuses connections
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 4 and the report starts with "PARTIAL"
    And the report names the host that refuses connections

  Scenario: Missing or half minutes of one host make the report partial
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
    # Guards against skipping what cannot be parsed.
    Given entry host "e1" with 10 minutes of 200 requests, 1 late and 5 of 200 extra
    When the burn of the last 10 minutes is reported from a log cut inside its last line
    Then the exit code is 4 and the report starts with "PARTIAL"

  Scenario: No source at all is never within budget
    # Guards against an empty report that reads as success.
    Given an entry host that refuses connections
    When the burn of the last 10 minutes is reported over HTTP
    Then the exit code is 4 and the report starts with "PARTIAL"

  Scenario: The program reads hosts and standard input, prints JSON and draws
    # Guards against a program that differs from its modules.
    Given entry host "e1" with 10 minutes of 200 requests, 3 late and 5 of 200 extra
    When the burn program runs over HTTP and standard input with a PNG and an SVG
    Then it exits with 3, prints JSON with 2000 requests and leaves both pictures

  Scenario: Real entry hosts and control give the report its data and bounds
    # Guards against records that the entry host serves or logs in another form.
    Given a linked tier of 1 control replicas, 2 entry hosts and 1 partitions of 1 searchers
    When 20 queries are answered by each entry host
    And the burn program reads both entry hosts and control
    Then it says that the report is partial, since no minute may have closed
    When both entry hosts are stopped as planned and the burn program reads their logs
    Then it counts at least 40 requests of "profile-0" that were not late

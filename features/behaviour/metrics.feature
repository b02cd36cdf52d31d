Feature: Metrics by statsd over UDP

  Scenario: Counters, timers and gauges arrive under the host's name
    # Guards against metrics that a statsd server cannot read or attribute.
    Given a statsd receiver and metrics of entry host "e.1"
    When 3 refusals "overloaded|x", a request of 12.5 ms and version 7 are flushed
    Then the receiver gets these lines
      | line                                                |
      | plantainstage.entry.e_1.refusals.overloaded_x:3\|c  |
      | plantainstage.entry.e_1.request_ms:12.500000\|ms    |
      | plantainstage.entry.e_1.version:7\|g                |

  Scenario: A flush of many values uses datagrams of bounded size
    # Guards against one system call for each value of each request.
    Given a statsd receiver and metrics of entry host "e1"
    When 100000 request times and 20000 different labels are flushed
    Then at most 5200 values arrive in datagrams of at most 1400 bytes

  Scenario Outline: Metrics never fail or block when <state>
    # Guards against a failed monitoring host that stops the tier.
    Given metrics whose receiver is <state>
    Then 20000 counts and 500 flushes raise nothing and the socket does not block

    Examples:
      | state      |
      | absent     |
      | not read   |
      | not set    |
      | closed     |

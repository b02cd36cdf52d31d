Feature: Searchers that warm up get no more requests than their service states

  Scenario Outline: <hosts> hosts stay within the bound of cold searchers in any second
    # Guards against hosts whose requests add up to more than a cold searcher takes, when
    # all searchers of a data centre are cold at once after its evacuation.
    When <hosts> hosts send <requests> requests a second to 12 searchers of rate <rate>, seed <seed>
    Then no cold searcher gets more than the bound in any second
    And the cold searchers get some requests

    Examples:
      | hosts | rate | requests | seed |
      | 1     | 10   | 400      | 1    |
      | 9     | 10   | 400      | 2    |
      | 9     | 2    | 400      | 3    |
      | 54    | 10   | 600      | 4    |
      | 54    | 2    | 600      | 5    |
      | 54    | 50   | 1500     | 6    |
      | 200   | 10   | 600      | 7    |
      | 200   | 20   | 900      | 8    |
      | 200   | 0.5  | 600      | 9    |

  Scenario: Hosts that have sent nothing for a while stay within the bound
    # Guards against permits that are held for too long and then used at one moment.
    When 9 hosts that have sent nothing for 30 s use all of their permits
    Then no cold searcher gets more than the bound in any second

  Scenario: Hosts that restart or are added stay within the bound
    # Guards against permits of hosts that do not know yet how many others there are.
    When 54 hosts, of which some restart and then 30 are added, send requests to cold searchers
    Then no cold searcher gets more than the bound in any second

  Scenario Outline: The permits of <hosts> hosts fit a bound of rate <rate>
    # Guards against a rate or a hold that uses more than the settings allow.
    Then the rate that <hosts> hosts share of <rate> keeps overage <overage> and slack <slack>

    Examples:
      | hosts | rate | overage | slack |
      | 1     | 10   | 1.5     | 5     |
      | 9     | 10   | 1.5     | 5     |
      | 54    | 3    | 1.5     | 5     |
      | 200   | 10   | 1.5     | 5     |
      | 2700  | 20   | 1.5     | 5     |
      | 54    | 10   | 1.1     | 2     |
      | 200   | 1    | 1.0     | 1     |

  Scenario: A host that does not know the number of hosts yet sends nothing to a cold one
    # Guards against a host that takes the whole rate for its own after its start.
    Given a host whose service has a warm-up of 30 s at 10 a second
    And "s-1" has started 5 s ago
    Then it may not send to "s-1", and knows when it may
    When replicas have counted 3 hosts for 4 s
    Then it gets permits for "s-1" at a third of the rate at most

  Scenario: A number of hosts that falls does not count at once
    # Guards against hosts of two sides of a partition that each take all of the rate.
    Given a host whose service has a warm-up of 30 s at 10 a second
    When replicas have counted 60 hosts for 4 s
    And replicas have counted 30 hosts for 60 s
    Then 60 hosts share the rate

  Scenario Outline: A searcher that <event> is cold from <from> s to <to> s
    # Guards against a searcher that is taken for warm while it is cold.
    Given a host whose service has a warm-up of 30 s at 10 a second
    And "s-1" has started 1000 s ago
    When this happens to "s-1": it <event>
    Then "s-1" is cold from <from> s to <to> s

    Examples:
      | event                                      | from | to   |
      | starts again with a clock that is far back | 0    | 30   |
      | starts again with a clock that is ahead    | 0    | 30   |
      | announces 12 s of warm-up                  | 0    | 13   |
      | states 12 s of warm-up in a reply          | 0    | 13   |
      | states 12 s, then 40 s in an earlier reply | 0    | 41   |

  Scenario Outline: A searcher that <event> is warm
    # Guards against a searcher that is taken for cold without a reason.
    Given a host whose service has a warm-up of 30 s at 10 a second
    And "s-1" has started 1000 s ago
    When this happens to "s-1": it <event>
    Then "s-1" is warm

    Examples:
      | event                                      |
      | states 12 s of warm-up in a 421            |
      | states an unreadable warm-up in a reply    |
      | states 12 s and then 0 s of warm-up        |
      | announces 12 s and then 0 s of warm-up     |
      | announces 12 s for a service without limit |

  Scenario: Searchers of a data centre that returns are cold until they are heard again
    # Guards against searchers that have become cold while they got no requests, of which
    # hosts know only that they were warm before the evacuation.
    Given a host whose service has a warm-up of 30 s at 10 a second
    And "s-1" has started 1000 s ago
    When the evacuation of its data centre ends with number 8
    Then "s-1" is cold
    When an announcement of "s-1" arrives that was heard after number 7
    Then "s-1" is cold
    When an announcement of "s-1" arrives that was heard after number 8
    Then "s-1" is warm

  Scenario: A reply that states that the searcher is warm counts like an announcement
    # Guards against searchers that stay cold at hosts since an older replica hears them.
    Given a host whose service has a warm-up of 30 s at 10 a second
    And "s-1" has started 1000 s ago
    When the evacuation of its data centre ends with number 8
    And this happens to "s-1": it replies with 0 s of warm-up to a request sent before the end
    Then "s-1" is cold
    When this happens to "s-1": it replies with 0 s of warm-up to a request sent after the end
    Then "s-1" is warm

  Scenario: Replicas pass on that a searcher is cold or warm, and not each countdown
    # Guards against hosts that do not learn that a searcher is cold, and against a
    # message to all hosts for each announcement.
    Given a register that knows "s-1" as warm
    When "s-1" announces these times of warm-up, a second apart
      | warm_up_ms | change |
      | 0          | no     |
      | 9000       | yes    |
      | 8000       | no     |
      | 6900       | no     |
      | 30000      | yes    |
      | 29000      | no     |
      | 0          | yes    |
      | 0          | no     |
    Then each change reaches hosts, and nothing else does

  Scenario: After an evacuation each searcher there is passed on once
    # Guards against hosts that never learn that a searcher is still warm.
    Given a register that knows "s-1" as warm
    When the evacuation of its data centre ends with number 8
    Then its next announcement reaches hosts, and the one after that does not

  Scenario: A host takes renewed warm-up times and later hearings
    # Guards against announcements that a replica passes on and a host drops.
    Then merged searchers pass on a renewed warm-up, and a hearing after an evacuation

  Scenario: Requests to a service of cold searchers only are refused at once
    # Guards against requests that wait until their deadline for permits.
    Given a routed tier whose service "cards" warms up for 600 s at 2 a second
    And its searcher "s-1" has just started
    When 30 callers send requests at the same time
    Then at most 8 of them reach "s-1", and the others get 503 with Retry-After at once
    And the host has logged that "s-1" is cold

  Scenario: A searcher that becomes cold again in mid-life gets few requests
    # Guards against a host that looks at announcements of new starts only.
    Given a routed tier whose service "cards" warms up for 1 s at 2 a second
    And its searcher "s-1" has run for long
    When 30 callers send requests at the same time
    Then all of them get 200
    When "s-1" announces that it warms up for 600 s
    And 30 callers send requests at the same time
    Then at most 8 of them reach "s-1", and the others get 503 with Retry-After at once

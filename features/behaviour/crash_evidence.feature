Feature: A request is quarantined only for searchers that have ended under it

  Scenario: Three ends quarantine a request, and an answer ends that
    # Guards against a quarantine that no evidence can end.
    Given a host without evidence
    When "s-1" ends under the request at 1 s
    And "s-2" ends under the request at 2 s
    Then the request is clear and may not be repeated
    When "s-3" ends under the request at 3 s
    Then the request is quarantined
    When a searcher answers the request at 4 s
    Then the request is clear and may be repeated

  Scenario: Searchers that end do not count for a request that was answered before
    # Guards against a quarantine of a request that many callers send: it runs on every
    # searcher that ends for another reason.
    Given a host without evidence
    When a searcher answers the request at 1 s
    And "s-1" ends under the request at 2 s
    And "s-2" ends under the request at 5 s
    And "s-3" ends under the request at 8 s
    Then the request is clear and may be repeated

  Scenario: Connections that break at a searcher which lives on prove nothing
    # Guards against refusals while searchers reset connections or cut answers short.
    Given a host without evidence
    When a connection to each of 20 searchers breaks under the request, and they live on
    Then the request is clear and may be repeated

  Scenario: Many ends in one moment put a request on trial
    # Guards against refusals of harmless requests to all shards, beside one that is not.
    Given a host without evidence
    When 10 searchers end under the request within 0.1 s
    Then the request is on trial
    When "s-99" ends under the request at 5 s
    Then the request is quarantined

  Scenario: A replica that has restarted lifts no quarantine
    # Guards against state of control that is lost, as after a restart of all replicas.
    Given a host without evidence
    When control says that 3 searchers have ended under the request
    And control says nothing of the request
    Then the request is quarantined

  Scenario: Requests that change each time use bounded memory and lift no quarantine
    # Guards against a caller that fills the records, and one that empties them so.
    Given a host without evidence
    When control says that 3 searchers have ended under the request
    And 3 searchers end under each of 5000 other requests
    Then the request is quarantined
    And the host keeps at most 1000 requests

  Scenario: A report that an answer has overtaken does not count
    # Guards against a late report that quarantines a harmless request again.
    Given a replica of control
    When it hears at 9 s that a searcher has answered the request
    And it hears at 10 s of 3 ends under the request that are 2 s old
    Then it reports no end of a searcher under the request

  Scenario Outline: A quarantine is known after a restart, <case>
    # Guards against a request that ends searchers again after all processes were killed,
    # and against a quarantine without an end.
    Given a replica of control
    When it hears of ends under the request at 96 s, 98 s and 100 s
    And it restarts at <restart> s, by which its clock has advanced by <clock> s
    Then it calls the request <standing>, with at least <remaining> s to go

    Examples:
      | case                         | restart | clock | standing    | remaining |
      | at once                      | 101     | 1     | quarantined | 590       |
      | with its clock set back      | 101     | -30   | quarantined | 590       |
      | after five minutes           | 400     | 300   | quarantined | 290       |
      | after the quarantine         | 750     | 650   | clear       | 0         |

  Scenario: A quarantine that an operator has ended is not back after a restart
    # Guards against a request that is refused again though its cause was removed.
    Given a replica of control
    When it hears of ends under the request at 96 s, 98 s and 100 s
    And an operator ends the quarantine at 101 s
    And it restarts at 110 s, by which its clock has advanced by 9 s
    Then it calls the request clear, with at least 0 s to go

Feature: Decisions about routed requests, without a network

  Scenario Outline: Extra arrivals of all hosts stay within the budget in every window
    # Guards against hosts that each keep to the ratio and together exceed it, also
    # when they restart or their number is learnt late.
    Given 8 entry hosts that share a budget of 0.2 of the requests plus 56
    When they serve <load> for 60 s and repeat whatever they may, with seed <seed>
    Then no window of 10 s has more extra arrivals than the budget allows

    Examples:
      | load                         | seed |
      | a steady load                | 1    |
      | bursts and pauses            | 2    |
      | a load with hosts that restart | 3  |

  Scenario: Scarce repeats go to few requests, so that these are completed
    # Guards against a budget that is spread over requests of which none is completed.
    Given a budget with half of its tokens left
    Then a request of rank 0.1 may be repeated and one of rank 0.9 may not

  Scenario: Requests are divided by weight
    # Guards against a service that gets more or less than its weight in the long run.
    Given services with the weights 5, 3, 2 and 0
    When 1000 requests are divided
    Then each service has its share to within 1 request

  Scenario: The longest prefix of the host wins
    # Guards against a short prefix that hides a longer one, and against a query or a
    # port that is taken for a part of the place.
    Given routes at three nested prefixes of "h.example"
    Then "/a/b/c" of "H.example:8080" is found at "/a/b/"
    And "/a/bc?x=/a/b/" of "h.example" is found at "/a/"
    And "/c" of "h.example" is found at "/"
    And "/a/b/" of "other.example" is found nowhere

  Scenario: A searcher of the own data centre is preferred until it has a queue
    # Guards against bytes between data centres without need, and against a queue at
    # the near searcher while the far one is idle.
    Given a near and a far searcher of 2 slots and work of 20 ms
    Then the near searcher is chosen with 1 request there
    And the far searcher is chosen with 6 requests at the near one

  Scenario: A searcher that pauses gets nothing until it answers
    # Guards against requests that are sent into a pause which an earlier one shows.
    Given a near and a far searcher of 2 slots and work of 20 ms
    When the near searcher has been silent for 60 ms
    Then the far searcher is chosen with 1 request at the near one

  Scenario: A slow searcher is found again after it has recovered
    # Guards against a searcher that is avoided for ever for its slow past.
    Given a near and a far searcher of 2 slots and work of 20 ms
    When the near searcher has answered 30 requests in 200 ms each
    Then the far searcher is chosen with 0 requests at the near one
    When 20 s have passed
    Then the near searcher is chosen with 0 requests there

  Scenario: A gather is answered as soon as waiting gains nothing
    # Guards against answers that wait for parts which cannot come in time.
    Given a gather of 10 shards that needs 9, answered in part from 0.1 s and ended at 1 s
    Then with 10 answered at 0.01 s it is answered
    And with 9 answered and 1 open at 0.05 s it waits
    And with 9 answered and 1 open at 0.1 s it is answered
    And with 8 answered and 2 open at 0.2 s it waits
    And with 7 answered and 1 open at 0.01 s it is given up
    And with 8 answered and 2 open at 1 s it is given up

  Scenario: What is known of a searcher never goes back within one start
    # Guards against a late announcement that undoes a departure, or that speaks for
    # an earlier start at the same id.
    Given a searcher that drained in the start 1000 with sequence 5
    Then "ready" of the start 1000 with sequence 9 changes nothing
    And "ready" of the start 900 with sequence 99 changes nothing
    And "ready" of the start 2000 with sequence 1 is believed

  Scenario: A searcher is kept while some replica vouches for it, and some time beyond
    # Guards against searchers that vanish because one replica restarts.
    Given a searcher that replicas "a" and "b" have heard
    When replica "a" says that it is silent
    Then the searcher is kept for 100 s
    When replica "b" is lost
    Then the searcher is kept for 5 s and dropped after 10 s

  Scenario: A searcher that announces itself for another service is filed anew
    # Guards against a host that stops to hear control: a forged announcement moved a
    # searcher between services, and forgetting it then failed and ended all polls.
    Given an entry host that knows "s-1" of "cards"
    When "s-1" announces itself of "books" and is then forgotten
    Then the host knows no searcher of "cards" or "books"

  Scenario Outline: A replica of another data centre is asked less often
    # Guards against polls that cost more bytes between data centres than requests do,
    # and against a host that waits long for its first configuration.
    Given an entry host of "dc-1" that has <state>
    Then it asks a replica <place> again after <seconds> s

    Examples:
      | state              | place                  | seconds |
      | a configuration    | of "dc-1"              | 0.35    |
      | a configuration    | of "dc-2"              | 1.0     |
      | a configuration    | that has not replied   | 0.35    |
      | no configuration   | of "dc-2"              | 0.06    |

  Scenario: A searcher that answers seldom is known slow after one answer
    # Guards against many hosts that each need many late answers to find it.
    Given a near and a far searcher of 2 slots and work of 20 ms
    When the near searcher answers in 160 ms, 3 s after its last answer
    Then the far searcher is chosen with 0 requests at the near one

Feature: Decisions about routed requests, without a network

  Scenario Outline: Extra requests of all hosts stay within the retry budget in every window
    # Guards against hosts that each keep to the ratio but exceed it together, also
    # after restarts or when the number of hosts becomes known late.
    Given 8 entry hosts that share a budget of 0.2 of the requests plus 56
    When they serve <load> for 60 s and retry as often as allowed, with seed <seed>
    Then no window of 10 s has more extra requests than the budget allows

    Examples:
      | load                         | seed |
      | a steady load                | 1    |
      | bursts and pauses            | 2    |
      | a load with hosts that restart | 3  |

  Scenario Outline: A restart of all hosts at once stays within the retry budget
    # Guards against tokens of new processes that add up with what the processes before
    # them have spent.
    Given <hosts> entry hosts that share a budget of 0.2 of the requests plus <slack>
    When they serve a load with one restart of all for 60 s and retry as often as allowed, with seed <seed>
    Then no window of 10 s has more extra requests than the budget allows

    Examples:
      | hosts | slack | seed |
      | 6     | 52    | 1    |
      | 70    | 180   | 2    |
      | 191   | 422   | 3    |

  Scenario: A host that sees few requests can hedge the first one
    # Guards against hosts of a large tier that have no token for a large part of their
    # life, since each of them sees few requests.
    Given 191 entry hosts that share a budget of 0.2 of the requests plus 422
    Then each host may send an extra request after its first request, but not two

  Scenario: Scarce retries go to few requests, which can then be completed
    # Guards against a budget that is spread over so many requests that none of them
    # gets all the retries it needs.
    Given a budget with half of its tokens left
    Then a request of rank 0.1 may be retried and one of rank 0.9 may not

  Scenario: Requests are divided by weight
    # Guards against a service that gets more or less than its share in the long run.
    Given services with the weights 5, 3, 2 and 0
    When 1000 requests are divided
    Then each service has its share to within 1 request

  Scenario: The first requests of many hosts are divided by weight
    # Guards against hosts that all begin with the heaviest service, so that the others
    # get too little while each host has few requests.
    Given services with the weights 5, 3, 2 and 0
    When 640 hosts that start at different phases divide 1 request each
    Then each service has its share to within 64 requests

  Scenario: A new configuration continues the division of an unchanged route
    # Guards against versions in quick succession, each of which starts anew with the
    # heaviest service.
    Given services with the weights 5, 3, 2 and 0
    When a host divides 200 requests and gets a new version before each of them
    Then each service has its share to within 2 requests

  Scenario: The longest prefix of the host wins
    # Guards against a short prefix that shadows a longer one, and against a query
    # string or port that is matched as part of the path or host.
    Given routes at three nested prefixes of "h.example"
    Then "/a/b/c" of "H.example:8080" matches the route "/a/b/"
    And "/a/bc?x=/a/b/" of "h.example" matches the route "/a/"
    And "/c" of "h.example" matches the route "/"
    And "/a/b/" of "other.example" matches no route

  Scenario: A searcher in the same data centre is preferred until it has a queue
    # Guards against unnecessary traffic between data centres, and against a queue at
    # the near searcher while the far one is idle.
    Given a near and a far searcher with 2 slots and a work time of 20 ms
    Then the near searcher is chosen with 1 request there
    And the far searcher is chosen with 6 requests at the near one

  Scenario: A paused searcher gets no requests until it answers
    # Guards against requests to a searcher whose pause is evident from an earlier
    # request.
    Given a near and a far searcher with 2 slots and a work time of 20 ms
    When requests at the near searcher have been pending for 60 ms
    Then the far searcher is chosen with 1 request at the near one

  Scenario: A slow searcher is chosen again after it has recovered
    # Guards against a searcher that is avoided forever because it was slow once.
    Given a near and a far searcher with 2 slots and a work time of 20 ms
    When the near searcher has answered 30 requests in 200 ms each
    Then the far searcher is chosen with 0 requests at the near one
    When 20 s have passed
    Then the near searcher is chosen with 0 requests there

  Scenario: A gather is answered as soon as waiting gains nothing
    # Guards against answers that wait for parts which cannot arrive in time.
    Given a gather of 10 shards that needs 9, answered in part from 0.1 s and ended at 1 s
    Then with 10 answered at 0.01 s it is answered
    And with 9 answered and 1 pending at 0.05 s it waits
    And with 9 answered and 1 pending at 0.1 s it is answered
    And with 8 answered and 2 pending at 0.2 s it waits
    And with 7 answered and 1 pending at 0.01 s it is given up
    And with 8 answered and 2 pending at 1 s it is given up

  Scenario: The known state of a searcher never reverts within one start
    # Guards against a late announcement that undoes a departure, or that belongs to an
    # earlier start with the same id.
    Given a searcher that started at 1000 and announced draining with sequence 5
    Then "ready" with start 1000 and sequence 9 changes nothing
    And "ready" with start 900 and sequence 99 changes nothing
    And "ready" with start 2000 and sequence 1 replaces it

  Scenario: A searcher is kept while any replica reports it, and for a grace period after
    # Guards against the loss of searchers when one replica restarts.
    Given a searcher that replicas "a" and "b" report
    When replica "a" reports that it is silent
    Then the searcher is kept for 100 s
    When replica "b" is lost
    Then the searcher is kept for 5 s and dropped after 10 s

  Scenario: A searcher that announces another service is moved and can be removed
    # Guards against a host that stops polling control: a forged announcement moved a
    # searcher to another service, after which its removal failed and ended all polls.
    Given an entry host that knows "s-1" of "cards"
    When "s-1" announces itself for "books" and is then removed
    Then the host knows no searcher of "cards" or "books"

  Scenario Outline: A replica in another data centre is polled less often
    # Guards against polls that cause more traffic between data centres than requests
    # do, and against a long wait for a host's first configuration.
    Given an entry host in "dc-1" that has <state>
    Then it polls a replica <place> again after <seconds> s

    Examples:
      | state              | place                  | seconds |
      | a configuration    | in "dc-1"              | 0.35    |
      | a configuration    | in "dc-2"              | 1.0     |
      | a configuration    | that has not replied   | 0.35    |
      | no configuration   | in "dc-2"              | 0.06    |

  Scenario: A slow searcher that answers seldom is recognised after one answer
    # Guards against a tier of many hosts in which each needs many late answers to
    # recognise a slow searcher.
    Given a near and a far searcher with 2 slots and a work time of 20 ms
    When the near searcher answers in 160 ms, 3 s after its last answer
    Then the far searcher is chosen with 0 requests at the near one

  Scenario: The time to open a connection counts in the choice of a searcher
    # Guards against hosts of a large tier that open a connection for almost every
    # request, since all searchers look the same to them.
    Given a near and a far searcher with 2 slots and a work time of 20 ms
    Then the far searcher is chosen if opening a connection to the near one takes 40 ms
    And the near searcher is chosen if opening a connection to each takes 40 ms

  Scenario Outline: The connections that hosts keep stay within what a searcher accepts
    # Guards against connections that a searcher resets, since more hosts than it
    # accepts connections each keep one.
    Given <hosts> entry hosts in each of <data centres> data centres
    And a service with a searcher in <places> of them, which accepts <cap> connections
    Then the hosts together keep at most 0.9 of what each searcher accepts
    And each host keeps a connection to a searcher, in its own data centre if it has one

    Examples:
      | hosts | data centres | places | cap |
      | 2     | 3            | 3      | 30  |
      | 3     | 3            | 3      | 26  |
      | 23    | 3            | 3      | 67  |
      | 18    | 3            | 3      | 76  |
      | 38    | 5            | 3      | 123 |
      | 29    | 3            | 3      | 76  |

  Scenario: A connection beyond those that are kept is closed soon after its reply
    # Guards against idle connections of many hosts that fill up a searcher.
    Given a searcher to which this host keeps 1 connection
    When 2 connections become idle at the same time
    Then one of them is closed after a while and the other one is kept

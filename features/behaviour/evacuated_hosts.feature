Feature: Entry hosts send no requests to evacuated data centres

  Scenario: The hosts turn from a data centre one after the other, within 2 s
    # Guards against the other searchers getting all of the requests at one moment.
    Given 200 hosts that have run for a while
    When they hear at the same time that "dc-2" is evacuated
    Then between a quarter and three quarters of them heed it after 1 s
    And all of them heed it after 2 s

  Scenario: A host that has just started heeds an evacuation at once
    # Guards against requests of a restarted host to an evacuated data centre.
    When a host hears with its first reply that "dc-2" is evacuated
    Then it heeds it at once

  Scenario: A lower or equal number changes nothing at a host
    # Guards against a replica that was cut off, whose reply ends an evacuation.
    Given a host that heeds evacuation 5 of "dc-2"
    When it hears of no evacuations with number 4 and with number 5
    Then "dc-2" is evacuated there
    When it hears of no evacuations with number 6
    Then no data centre is evacuated there

  Scenario: An evacuated searcher is not chosen and does not count
    # Guards against requests, hedges or repeats that a host sends to a data centre whose
    # evacuation it has heard of.
    Given a fleet with searchers "s-1" in "dc-1" and "s-2" in "dc-2"
    When the fleet heeds the evacuation of "dc-1"
    Then it chooses "s-2", and none after that was tried
    And it counts 1 searcher
    When the fleet heeds the end of the evacuation
    Then it counts 2 searchers

  Scenario: A searcher that announces itself in an evacuated data centre gets nothing
    # Guards against searchers that become known, or start anew, during an evacuation.
    Given a fleet with searchers "s-1" in "dc-1" and "s-2" in "dc-2"
    When the fleet heeds the evacuation of "dc-1"
    And "s-1" starts again and "s-3" is new in "dc-1"
    Then it chooses "s-2", and none after that was tried

  Scenario: Requests that wait for room are tried again when an evacuation begins
    # Guards against requests that wait until their deadline for searchers which have
    # become out of use.
    Given a fleet with searchers "s-1" in "dc-1" and "s-2" in "dc-1"
    And a request waits for room there
    When the fleet heeds the evacuation of "dc-1"
    Then the waiting request was tried again while no searcher counted

  Scenario: A call that waits for its connection is not sent to an evacuated searcher
    # Guards against a request that was chosen before the evacuation and sent after it.
    Given a call that waits for a connection to a searcher
    When its data centre is evacuated and the connection opens
    Then the call ends without having been sent

  Scenario: Calls that fail in an evacuated data centre do not cut a host off
    # Guards against a host that takes the loss of the evacuated searchers for a cut of
    # its own network.
    Given a fleet with searchers "s-1" in "dc-1" and "s-2" in "dc-1"
    And a request runs at "s-1"
    When the fleet heeds the evacuation of "dc-1"
    And the running request fails without a reply
    Then the fleet has recorded no failure

  Scenario Outline: The connections that hosts keep fit the searchers that are left
    # Guards against hosts of all data centres that together keep more connections than
    # the remaining searchers accept.
    Given <hosts> entry hosts in each of 4 data centres
    When one of 3 data centres with a searcher that accepts <cap> connections is evacuated
    Then the hosts together keep at most 0.9 of what each searcher accepts

    Examples:
      | hosts | cap |
      | 2     | 16  |
      | 13    | 119 |
      | 45    | 119 |
      | 45    | 30  |

  Scenario: The hosts of an evacuated data centre keep connections to the others
    # Guards against shares of before the evacuation, with which they open a connection
    # for each request.
    Given 2 entry hosts in each of 4 data centres
    When one of 3 data centres with a searcher that accepts 16 connections is evacuated
    Then each host keeps a connection to a searcher, in its own data centre if it has one

  Scenario: Requests move to another data centre and come back
    # Guards against hosts that do not poll for evacuations, or do not heed them.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-2" serves "cards" in "dc-2"
    And a request runs at "s-1"
    When the evacuation of "dc-1" is ordered and in force at the host
    Then 20 requests get 200 from "s-2" alone
    And the request that ran at "s-1" gets 200
    When the evacuation of "dc-1" is over at the host
    And the evacuation of "dc-2" is ordered and in force at the host
    Then 20 requests get 200 from "s-1" alone

  Scenario: A service with searchers only in an evacuated data centre is refused at once
    # Guards against requests that wait until their deadline.
    Given a routed tier with a searcher "s-1" of "cards"
    When the evacuation of "dc-1" is ordered and in force at the host
    Then a request gets 503 with Retry-After and the reason "service_evacuated"

  Scenario: A host that starts during an evacuation sends nothing there
    # Guards against a host without any state that does not ask for evacuations.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-2" serves "cards" in "dc-2"
    When the evacuation of "dc-1" is ordered and in force at the host
    And a further host starts during it
    Then 20 requests to that host get 200 from "s-2" alone

Feature: An entry host tells a cut from searchers that are down

  Scenario: Several searchers without any reply between them are a cut
    # Guards against callers that fail until each searcher has been tried.
    Given a host that got a reply 1 s ago
    When calls to 2 searchers fail
    And 0.2 s pass
    Then the host is not cut off
    When a call to a third searcher fails
    Then the host is cut off
    When a searcher replies
    Then the host is not cut off and reaches every service

  Scenario: Failures between replies of others are no cut
    # Guards against a host that passes on requests while some searchers are down.
    Given a host that got a reply 1 s ago
    When 40 calls fail, and after each second one another searcher replies
    Then the host is not cut off

  Scenario Outline: Refused connections in one moment are no cut, <idle> s after a reply
    # Guards against a host that gives up connections that work, and one that was idle.
    Given a host that got a reply <idle> s ago
    When calls to 5 searchers fail
    Then the host is not cut off

    Examples:
      | idle |
      | 0.01 |
      | 60   |

  Scenario: Searchers that are all slow are tried, those that refuse connections are not
    # Guards against hosts that refuse every request since all searchers are slow.
    Given a host that got a reply 1 s ago
    When 5 searchers leave requests on open connections unanswered
    Then the host is cut off, but a request tried there may succeed
    When 0.2 s pass
    And calls to 3 searchers fail
    Then the host is cut off, and a request tried there would fail

  Scenario: A service is out of reach only while all of its searchers fail
    # Guards against a request that is passed on although a searcher here could run it.
    Given a host that got a reply 0.01 s ago
    When calls to 2 searchers fail
    Then a service of these 2 is out of reach
    And a service of these 2 and another one is in reach
    When 2 s pass
    Then a service of these 2 is in reach

  Scenario Outline: Random cuts are found and their ends too, seed <seed>
    # Guards against evidence that adds up to a cut which is none, and the reverse.
    When 4000 calls go to 30 searchers with crashes, slow replies and cuts, seed <seed>
    Then each cut that lasted 2 s was found, and no host was cut off without one
    And the host was found to reach searchers after each cut

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Hosts that are cut off spread over their helpers
    # Guards against one host that helps all others.
    Given 200 hosts of which 120 are cut off
    Then each helper is named by at most 12 of them as its first, and each of them names 3
    And no host is named that is cut off

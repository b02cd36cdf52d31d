Feature: Hosts tell each other through control which searchers are in trouble

  Scenario Outline: <observed> counts as <meaning>
    # Guards against a searcher that is avoided for a single pause, and against one that
    # stays in use though all hosts find it slow or rejecting.
    When hosts observe <observed> of a searcher
    Then it counts as <meaning>

    Examples:
      | observed                                     | meaning    |
      | 3 answers that are 8 times slower            | in trouble |
      | 2 answers that are 8 times slower            | sound      |
      | 1 answer that is 8 times slower of 6         | sound      |
      | 3 rejections of 6 requests                   | in trouble |
      | 1 rejection of 6 requests                    | sound      |
      | 3 answers that are 8 times slower, 2 s ago   | sound      |

  Scenario: Replicas add up what the hosts of each of them observe
    # Guards against a searcher in trouble of which each replica hears too little, and
    # against sums that are counted twice as they arrive again.
    Given a replica whose hosts observe 1 slow answer of a searcher
    When another replica reports 2 slow answers of it, twice
    Then the searcher is in trouble with 3 answers counted

  Scenario Outline: A host with an outcome of its own <age> s old <relies>
    # Guards against a host that overrides what it has just seen with what others saw
    # earlier, and against one that trusts an outcome of long ago.
    Given a host that was answered quickly by a searcher <age> s ago
    When all hosts observe the searcher 8 times slower
    Then the host <relies>

    Examples:
      | age | relies                 |
      | 0.2 | relies on its own      |
      | 5   | relies on the others   |

  Scenario: What others observe is forgotten without a word of control
    # Guards against a searcher that is avoided for good by a host that is cut off.
    Given a host that was answered quickly by a searcher 5 s ago
    When all hosts observe the searcher 8 times slower, 2 s before the host is cut off
    Then the host relies on its own

  Scenario: A tier of few hosts exchanges no observations
    # Guards against changed decisions where each host sees enough by itself.
    Then 9 hosts that share 26 connections exchange nothing
    And 135 hosts that share 119 connections exchange observations

  Scenario: Callers of many hosts are served better by shared observations
    # Load: half of the searchers reject 6 of 10 requests for 8 s, and 135 hosts each see
    # a searcher less than once a second.
    Given the deployment "padala-bayan" with its usual load
    When it runs with seed 1 and the fault scenario "half-shedding" with shared and with own observations
    Then at most 0.85 times as many requests fail with shared observations

  Scenario: A host avoids a searcher that rejected the requests of another host
    # Guards against observations that do not travel from host to host over the polls.
    Given a tier of a replica and 2 hosts that share 1 connection to each searcher
    And searchers "s-1" and "s-2" of the service "cards", of which "s-1" rejects
    When callers of the first host send requests until "s-1" has rejected 4
    Then the second host sends its first 3 requests to "s-2" only

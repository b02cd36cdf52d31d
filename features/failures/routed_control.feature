Feature: The control group of routed requests forms and repairs itself

  Scenario: Three replicas found a group, a fourth joins by itself, and one version wins
    # Guards against a group that needs an operator or a complete list to form.
    Given a control group of 3 replicas for routed requests
    When a fourth replica starts that knows only the first three
    Then all 4 replicas become voters
    And a configuration sent to each replica is acknowledged and read back from each

  Scenario: A version that is not higher is acknowledged and changes nothing
    # Guards against an older document, or another one of the same version, that replaces
    # the held one.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When configuration 5, and another document under version 7, are sent to each replica
    Then each is acknowledged
    And each replica reads back the first document of version 7

  Scenario Outline: A configuration with <fault> is refused as a whole
    # Guards against an invalid configuration that comes into force or is acknowledged.
    Given a control group of 1 replicas for routed requests
    And configuration 7 was acknowledged
    When a configuration with <fault> is sent
    Then it is refused with 400, and the fault is named
    And each replica reads back the first document of version 7

    Examples:
      | fault                                              |
      | bytes that cannot be read                          |
      | an unknown service                                 |
      | two routes for one prefix                          |
      | two routes for one prefix and host in another case |
      | weights that add up to 0                           |
      | deep nesting                                       |
      | a version above 64 bits                            |
      | a timeout of 0                                     |
      | a prefix without a slash                           |
      | a line break in the name of a route                |
      | a line break in a host                             |
      | a blank in a path prefix                           |
      | a line break in the name of a service              |
      | a line break in a health path                      |
      | a host beyond Latin-1                              |

  Scenario: A replica that lost its folder is replaced, and then another one is lost
    # Guards against a replica with an empty folder that votes, and against a repair
    # that is considered complete too early.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a follower loses its folder and starts again at its address
    Then the group has 3 voters again
    When another replica is stopped permanently
    Then configuration 9 is acknowledged and read back from a running replica

  Scenario: A planned replacement and one lost folder leave a majority
    # Guards against a group that waits for a replica which has stopped as planned, and
    # so has no majority after the next loss.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a fourth replica starts that knows only the first three
    Then all 4 replicas become voters
    When the leader is stopped as planned, and a follower loses its folder at once
    Then configuration 9 is acknowledged and read back from a running replica
    And the group has 3 voters again

  Scenario: A restart as planned costs the group nothing
    # Guards against a replica that leaves a group which needs it, or that is not taken
    # back after its restart.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a follower is stopped as planned
    Then the group still has 3 voters
    When a fourth replica starts that knows only the first three
    And the stopped replica starts again with its folder
    Then all 4 replicas become voters

  Scenario: A folder that is lost again during its repair does not end the repairs
    # Guards against a learner that never catches up and keeps all other members out.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a follower loses its folder, and loses it again once it is a learner
    Then the group has 3 voters again
    When another replica is stopped permanently
    Then configuration 9 is acknowledged and read back from a running replica

  Scenario: A replica that lost its folder finds a leader that its settings do not name
    # Guards against a group that stays without a replaced replica, and loses its majority
    # with the next one, since the leader joined after the group was founded.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a follower loses its folder and starts again with settings without the leader
    Then the group has 3 voters again

  Scenario: All replicas restart and serve hosts before they have a leader
    # Guards against callers that wait for an election after a power loss.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    And a searcher "s-1" has announced itself
    When all replicas are stopped and one starts again alone
    Then it reports version 7 and "s-1" to entry hosts
    But it answers a read of the configuration with 503

  Scenario: A quarantine outlives a restart of all replicas
    # Guards against a request that ends searchers again after all processes were killed.
    Given a control group of 3 replicas for routed requests
    And 3 searchers have ended under a request
    When all replicas are stopped and one starts again alone
    Then it reports to entry hosts that the request is quarantined

  Scenario: A searcher that leaves is remembered by the other replicas
    # Guards against a departure that is lost with the replica that received it.
    Given a control group of 3 replicas for routed requests
    And a searcher "s-1" has announced itself
    When the searcher announces to one replica that it drains, and the replica is stopped
    Then each running replica knows that "s-1" drains

  Scenario: An entry host learns from one replica what the others hear, also when it stops
    # Guards against a searcher that is missing or used after its departure, since the
    # host polls a single replica.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    And an entry host that polls one replica
    When a searcher "s-1" announces itself to a replica that the host does not poll
    Then the host sends requests to "s-1"
    When the polled replica is stopped, and "s-1" announces to another that it drains
    Then the host sends no requests to "s-1"

  Scenario: A departure counts at a replica to which the searcher never announced itself
    # Guards against an acknowledged departure without effect, after which the searcher
    # gets requests until it exits.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    And an entry host that polls one replica
    When a searcher "s-1" announces itself to a replica that the host does not poll
    Then the host sends requests to "s-1"
    When "s-1" reports its departure to the replica that the host polls
    Then the host sends no requests to "s-1"
    And announcements of the same start do not bring "s-1" back

  Scenario: A replica takes a newer configuration that its log does not deliver
    # Guards against an old configuration on the hosts that poll a replica whose own log
    # is behind, for example because its disk stalls.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a follower's log stops, and configuration 9 is acknowledged by another replica
    Then the follower reports version 9 to entry hosts

  Scenario Outline: An announcement with <fault> registers no searcher
    # Guards against a record of another program that is taken for a searcher.
    Given a control group of 1 replicas for routed requests
    When an announcement with <fault> is sent
    Then it is refused with 400, and the fault is named
    And no searcher is known

    Examples:
      | fault                     |
      | bytes that cannot be read |
      | a missing field           |
      | slots given as text       |
      | an unknown state          |
      | a sequence above 64 bits  |
      | deep nesting              |
      | an id of 60000 letters    |

  Scenario Outline: Bodies without end to <path> do not fill the memory of a replica
    # Guards against a replica that ends, or that nobody else can use, since callers
    # send bodies without end.
    Given a control group of 1 replicas for routed requests
    When 12 callers send bodies without end to <path>
    Then each of their connections is closed after at most 24 MiB
    And the replica has held at most 40 MiB of bodies and holds none
    And configuration 9 is acknowledged, and a searcher can announce itself

    Examples:
      | path                        |
      | /v1/configuration           |
      | /v1/searchers/s/announcement |
      | /v1/searchers/s/departure   |

  Scenario: Searchers that stay silent are forgotten, and sooner in a full register
    # Guards against a replica whose memory and replies grow with each new id that
    # another writer announces once.
    Given a register in which 1000 searchers were announced once
    When 130 s have passed with one of them announcing itself
    Then only this one is known
    When as many searchers are announced as the register takes
    Then another one is refused until silent ones make room

  Scenario: The operator's command publishes, shows and refuses a configuration
    # Guards against an exit code that reports a refusal as a success, or an unknown
    # outcome as a refusal.
    Given a control group of 3 replicas for routed requests
    When the command puts configuration 3
    Then it ends with 0 and "version 3 is acknowledged"
    When the command shows the configuration
    Then it ends with 0 and prints configuration 3
    When the command puts a configuration with a timeout of 0
    Then it ends with 3 and "timeout must be greater than 0"
    When all replicas are stopped and the command puts configuration 4
    Then it ends with 6 and "No leader replied"

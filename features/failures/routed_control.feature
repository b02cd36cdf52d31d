Feature: Control of routed requests forms itself, keeps its word and repairs itself

  Scenario: Three replicas found a group, a fourth joins by itself, and one version wins
    # Guards against a group that needs an operator or a complete list to form.
    Given a control group of 3 replicas for routed requests
    When a fourth replica starts that knows only the first three
    Then all 4 replicas become voters
    And a configuration sent to each replica is acknowledged and read back from each

  Scenario: What is not higher is acknowledged and changes nothing
    # Guards against an older or another document under a version that is held.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When configuration 5, and another document under version 7, are sent to each replica
    Then each is acknowledged
    And each replica reads back the first document of version 7

  Scenario Outline: A configuration with <fault> is refused whole
    # Guards against an invalid configuration in force, or acknowledged.
    Given a control group of 1 replicas for routed requests
    And configuration 7 was acknowledged
    When a configuration with <fault> is sent
    Then it is refused with 400, and the fault is named
    And each replica reads back the first document of version 7

    Examples:
      | fault                      |
      | bytes that cannot be read  |
      | an unknown service         |
      | two routes at one place    |
      | weights that add up to 0   |
      | a timeout of 0             |
      | a prefix without a slash   |

  Scenario: A replica that lost its folder is replaced, and then another one is lost
    # Guards against an emptied folder that votes, and against a repair that counts
    # as done too early.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    When a replica that follows loses its folder and starts again at its address
    Then the group has 3 voters again
    When another replica is stopped for good
    Then configuration 9 is acknowledged and read back from a replica that runs

  Scenario: All replicas restart and serve hosts before they have a leader
    # Guards against callers that wait for an election after a loss of power.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    And a searcher "s-1" has announced itself
    When all replicas are stopped and one starts again alone
    Then it tells entry hosts of version 7 and of "s-1"
    But it answers a read of the configuration with 503

  Scenario: A searcher that leaves is remembered by the other replicas
    # Guards against a departure that is lost with the replica that heard of it.
    Given a control group of 3 replicas for routed requests
    And a searcher "s-1" has announced itself
    When the searcher says that it drains to one replica, which is then stopped
    Then each replica that runs knows that "s-1" drains

  Scenario Outline: An announcement with <fault> names no searcher
    # Guards against an entry of another writer that is taken for a searcher.
    Given a control group of 1 replicas for routed requests
    When an announcement with <fault> is sent
    Then it is refused with 400, and the fault is named
    And no searcher is known

    Examples:
      | fault                     |
      | bytes that cannot be read |
      | a missing field           |
      | slots that are a text     |
      | an unknown state          |

  Scenario: The operator's command publishes, shows and refuses a configuration
    # Guards against an exit code that calls a refusal a success, or an unknown outcome
    # a refusal.
    Given a control group of 3 replicas for routed requests
    When the command puts configuration 3
    Then it ends with 0 and "version 3 is acknowledged"
    When the command shows the configuration
    Then it ends with 0 and prints configuration 3
    When the command puts a configuration with a timeout of 0
    Then it ends with 3 and "timeout has to be above 0"
    When all replicas are stopped and the command puts configuration 4
    Then it ends with 6 and "No leader replied"

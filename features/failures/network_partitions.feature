Feature: Silent network partitions between hosts

  Scenario Outline: The tier keeps working while a control <role> is cut off for a long time
    # Guards against a cut-off replica that confirms or accepts anything, and
    # against state that is rolled back when the replica returns.
    Given a linked tier of 3 control replicas, 2 entry hosts and 2 partitions of 2 searchers
    When the control <role> is cut off silently from all other hosts
    And 25 changes are made through the other control replicas
    Then both entry hosts answer in full under the newest change
    And the cut-off replica accepts no change and shows no status
    When the cut-off replica is connected again
    Then all 3 control replicas hold the same log and every change has its first verdict

    Examples:
      | role     |
      | leader   |
      | follower |

  Scenario: An entry host that reaches only a cut-off control leader refuses
    # Guards against a lease from a leader that does not know that it lost its quorum.
    Given a linked tier of 3 control replicas, 2 entry hosts and 2 partitions of 2 searchers
    When the control leader and "entry-2" are cut off together
    Then "entry-2" starts to refuse with "configuration_unconfirmed" and "not_run"
    And "entry-2" stays unready and refuses while 10 changes are made on the other side
    And "entry-1" answers in full again
    When the cut-off replica is connected again
    Then "entry-2" answers in full again

  Scenario: An entry host that is cut off from control refuses and is not ready
    # Guards against requests that run under an unconfirmed configuration.
    Given a linked tier of 3 control replicas, 2 entry hosts and 2 partitions of 2 searchers
    When "entry-2" is cut off silently from all control replicas
    Then "entry-2" starts to refuse with "configuration_unconfirmed" and "not_run"
    And no request that "entry-2" refuses as not run has reached a searcher
    And "entry-1" answers in full again
    When "entry-2" is connected to control again
    Then "entry-2" answers in full again

  Scenario: An upstream that is taken out gets no new work even if its owner is cut off
    # Guards against a cut-off or frozen owner that continues to send to it.
    Given a linked tier of 3 control replicas, 3 entry hosts and 1 partitions of 3 searchers
    And callers that send queries continuously to every entry host
    When "entry-2" is cut off silently from all control replicas
    And the searcher that "entry-2" owns is taken out
    Then the searcher's own record has no work that started after the change was in force
    And none that started more than 3 s after the change was accepted

  Scenario: Connections that go silent permanently are replaced
    # Guards against waiting forever on a dead but established connection.
    Given a linked tier of 3 control replicas, 2 entry hosts and 6 partitions of 1 searchers
    When all connections between entry hosts go silent while new ones work
    Then both entry hosts answer in full through new connections to each other
    When all connections between entry hosts and control go silent while new ones work
    Then both entry hosts apply a change made after that

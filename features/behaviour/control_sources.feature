Feature: An entry host gets the reports of all control replicas from one of them

  Scenario: Only the preferred replica is polled while it passes on the others' reports
    # Guards against traffic between data centres that grows with hosts times replicas.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When "a" replies at 0 s and was in contact with "b, c" 200 ms before
    Then at 1 s the host polls "a"
    And the host counts itself at "a"

  Scenario: A replica that the preferred one has lost is polled directly
    # Guards against a departure or a version that does not reach a host during a
    # partition between replicas.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When "a" replies at 0 s and was in contact with "b, c" 0 ms before
    And "a" replies at 1.5 s and was in contact with "b" 0 ms before
    Then at 2 s the host polls "a, c"

  Scenario: All replicas are polled once the preferred one stops replying
    # Guards against a host that waits for a replica which has stopped.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When "a" replies at 0 s and was in contact with "b, c" 0 ms before
    Then at 2 s the host polls "a, b, c"

  Scenario: Without a replica nearby one remote replica is polled
    # Guards against replicas that each count as reported by another, so that none of
    # them is polled.
    Given an entry host in "dc-9" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When each replica replies at 0 s and was in contact with all others 0 ms before
    Then at 1 s the host polls one replica
    And the host counts itself at the replica that it polls

  Scenario: A report from before a restart does not undo the report after it
    # Guards against a searcher that has left and is used again, since a replica passes
    # on what another one reported before that one was restarted.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When "c" reports process "new" of "b" at 1 s, in contact 100 ms before
    And "a" reports process "old" of "b" at 1.2 s, in contact 900 ms before
    Then the host holds process "new" of "b"
    When "a" reports process "new" of "b" at 2 s, in contact 100 ms before
    Then the host holds process "new" of "b"

  Scenario: A replica that was out of reach reports all its searchers again
    # Guards against the loss of healthy searchers that only this replica hears: they
    # were dropped while it was out of reach, and had not changed when it returned.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When "b" reports process "p" of "b" at 0 s, in contact 0 ms before
    Then at 1 s no replica is lost
    And at 3 s "b" is lost with process "p"
    And the host asks "b" for all searchers

  Scenario: The hosts that all replicas count share the limits
    # Guards against limits that a host takes for itself since each replica counts only
    # the hosts that poll it.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When the replicas count 4, 3 and 2 hosts at 0 s
    Then at 1 s the host counts 9 hosts

  Scenario: A host without contact to control does not take the shares of the others
    # Guards against hosts that each use a whole limit while no replica is reachable.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When the replicas count 4, 3 and 2 hosts at 0 s
    Then at 9 s the host counts 9 hosts

  Scenario: Replicas that have restarted do not make a host take the shares of the others
    # Guards against a host that uses more than its share until all others have polled
    # the replicas again.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When the replicas count 4, 3 and 2 hosts at 0 s
    And the replicas count 1, 0 and 0 hosts at 9 s
    Then at 9.1 s the host counts 9 hosts
    When the replicas count 4, 3 and 2 hosts at 10 s
    Then at 10.1 s the host counts 9 hosts

  Scenario: A lower count of hosts holds once it has lasted
    # Guards against shares of hosts that are gone for good.
    Given an entry host in "dc-1" and replicas "a" in "dc-1", "b" in "dc-2", "c" in "dc-3"
    When the replicas count 4, 3 and 2 hosts at 0 s
    And the replicas count 2, 1 and 0 hosts each second from 10 s to 15 s
    Then at 15 s the host counts 3 hosts

  Scenario Outline: A mirror passes on every change of the mirrored replica
    # Guards against a change that a host misses since it asked at another moment than
    # the replica that passes it on.
    Given a mirror of a replica that is updated while <changes> changes happen, seed <seed>
    Then a host that asks the mirror and the replica at random ends with the same searchers

    Examples:
      | changes | seed |
      | 200     | 1    |
      | 200     | 2    |
      | 2000    | 3    |

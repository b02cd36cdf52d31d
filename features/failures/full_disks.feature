Feature: Disks of control replicas that are full for a while cost no later change

  Scenario Outline: Disks fill up one after another, <first> first, while changes come
    # Guards against replicas that stay without a log, or a group without a leader, once
    # the last disk has room again and no process was restarted.
    Given a control group of 3 replicas for routed requests
    And disks that the scenario can fill
    When the disk of the <first> is full until its replica has stopped its log
    And the disk of each other replica is full in turn, while changes are sent
    Then a change sent to each replica is acknowledged, and the newest is read from each
    And no change that was acknowledged is lost

    Examples:
      | first    |
      | leader   |
      | follower |

  Scenario: A disk that is full during a snapshot costs no later change
    # Guards against a snapshot that is cut off and blocks the next one.
    Given a control group of 3 replicas for routed requests
    And disks that the scenario can fill
    When the disk of the leader takes no new file while 300 changes are sent
    And the disks have room again
    Then a change sent to each replica is acknowledged, and the newest is read from each
    And no change that was acknowledged is lost

  Scenario: A replacement joins while the disk of another replica is full
    # Guards against a join that stops halfway and keeps the group from any change.
    Given a control group of 3 replicas for routed requests
    And disks that the scenario can fill
    When a follower loses its folder and starts again while the disk of the other is full
    And the disks have room again
    Then a change sent to each replica is acknowledged, and the newest is read from each
    And the group has 3 voters again

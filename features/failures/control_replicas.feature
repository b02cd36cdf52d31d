Feature: Control replicas with real files and links survive failures

  Scenario: A failed sync stops the replica and the others continue
    # Guards against a replica that acknowledges entries that it has not synced.
    Given a group of 3 control replicas with 5 committed commands
    When a sync fails at a follower
    Then that replica has stopped with StorageFailedError
    And the others commit another command

  Scenario: A proposal on a full disk of the leader is never acknowledged
    # Guards against an acknowledgement of data that is not on the disk.
    Given a group of 3 control replicas with 5 committed commands
    When the disk of the leader is full and a command is proposed
    Then the proposal has an unknown outcome
    And that replica has stopped with StorageFailedError
    And the others commit another command

  Scenario: An older copy of a folder is detected by asking the peers
    # Guards against a restored backup that votes or acknowledges again.
    Given a group of 3 control replicas with 5 committed commands
    When a follower is stopped, copied, run for 5 commands and rolled back
    Then that replica has stopped with RolledBackFolderError
    And the others commit another command

  Scenario: An older copy from the same boot is detected although all peers restarted
    # Guards against acknowledgements that the peers keep only in memory.
    Given a group of 3 control replicas with 5 committed commands
    When a follower is copied while it runs and is rolled back after 5 commands
    Then that replica has stopped with RolledBackFolderError
    And the others commit another command

  Scenario: A replica that lost its folder does not vote under its old identity
    # Guards against a majority that counts a replica without its earlier state.
    Given a group of 3 control replicas with 5 committed commands
    When a follower loses its folder and starts with an empty one
    And another follower stops permanently
    Then no replica can commit or confirm leadership
    And the replica with the empty folder knows no members

  Scenario: A repair is reported only once the new voter has all data and the old one is removed
    # Guards against a repair that is reported while a second loss would lose data.
    Given a group of 3 control replicas with 5 committed commands
    When a follower loses its folder and starts with an empty one
    Then adding it as a learner is not reported as repaired
    And promoting it is not reported as repaired
    And removing the old identity is reported as repaired
    When another follower stops permanently
    Then the others commit another command

  Scenario: A bootstrap list is refused by a folder that has state
    # Guards against a second group founded over an existing one.
    Given a group of 3 control replicas with 5 committed commands
    Then starting a follower again with the bootstrap list is refused

  Scenario: A lost folder with a bootstrap list founds no second group
    # Guards against a founder that lost its disk and founds an empty group.
    Given a group of 3 control replicas with 5 committed commands
    When the founder loses its folder and starts with the bootstrap list
    Then that replica has stopped with BootstrapRefusedError
    And the others commit another command

  Scenario: A killed group restarts with all commands that it acknowledged
    # Guards against state that only a planned stop makes durable.
    Given a group of 3 control replicas with 120 committed commands
    When all replicas stop and start again
    Then the group still has the 120 commands

  Scenario: A link without acknowledgements is closed and dialled again
    # Guards against a connection that stays established but delivers nothing.
    Given a group of 3 control replicas with 5 committed commands
    When the link from the leader to a follower stops delivering frames
    Then the leader dials the follower again and it catches up

  Scenario: A planned stop transfers leadership
    # Guards against a stop that leaves the group without a leader.
    Given a group of 3 control replicas with 5 committed commands
    When the leader stops as planned
    Then the others commit another command
    And the new leader was elected by transfer

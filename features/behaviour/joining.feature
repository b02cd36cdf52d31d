Feature: A replica with an empty folder becomes a member whatever disturbs its start

  Scenario: A folder that a stop left without members joins at its next start
    # Guards against a start that nobody can record: the members know an earlier start of
    # the folder, and the folder does not know whom to ask. A leader of an earlier release
    # ignores its requests for a snapshot.
    Given the cores A, B and C of which A leads
    When D is added whose earlier start all members have recorded
    And its requests for a snapshot are lost until its start is recorded
    Then D has joined with the membership of A

  Scenario: A leader offers a snapshot to a start that is not recorded
    # Guards against a replica of an earlier release that never joins, since it learns
    # from a snapshot only which members have to record its start.
    Given the cores A, B and C of which A leads
    When D is added whose earlier start all members have recorded
    And only its requests for a snapshot arrive
    Then A sends D a snapshot and has noted no reply of D

  Scenario: A late request for a snapshot changes nothing for a member that has the log
    # Guards against replies from before a rollback that count for the process after it.
    Given the cores A, B and C of which A leads
    When A gets a request for a snapshot of another process of B
    Then A sends B no snapshot and has noted no reply of B

  Scenario Outline: A start that is recorded joins under a leader that <leader>
    # Guards against a replica that waits for a snapshot of a leader which ignores it.
    Given the cores A, B and C of which A leads
    When D is added whose earlier start all members have recorded
    And D is recorded by A and B alone and C becomes the leader, which <known>
    Then C records the start of D although no snapshot arrives
    And D has joined with the membership of C

    Examples:
      | leader                  | known           |
      | has not recorded it     | D knows         |
      | was added after D asked | D does not know |

  Scenario: A start that waits for members that were removed asks the present ones
    # Guards against a replica that waits for good for a majority that no longer exists.
    Given the cores A, B and C of which A leads
    When D is added whose earlier start all members have recorded
    And D is recorded by A alone before E and F take the places of B and C
    Then D has joined with the membership of A

  Scenario: The leader knows what a replica that joins waits for
    # Guards against a group that is a voter short without a word on the reason.
    Given the cores A, B and C of which A leads
    When D is added whose earlier start all members have recorded
    And only its requests for a snapshot arrive
    Then A reports that D waits for a record of its start
    And A reports that D waits for nothing once it has joined

  Scenario: A replica that is added again before it is a voter is counted with its reason
    # Guards against a replica that is added and removed for ever, unnoticed.
    Given a leader that has added a learner, which waits for a record of its start
    When the learner is removed and added again
    Then the second addition is reported, with a record of its start as the reason
    And an addition after it was promoted is reported no more

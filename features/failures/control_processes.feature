Feature: Control replicas, entry hosts and operators as processes

  Scenario: A published profile is in force everywhere when the command reports it
    # Guards against a success that is reported before every host has the change.
    Given 3 control processes and 2 entry hosts
    When an operator publishes "rider-gate" and waits
    Then the command reports the change as in force everywhere
    And the status names 2 entry hosts that have applied it
    And a misspelt incarnation is not removed and not reported as done

  Scenario: Changes that are resent while the leader is killed keep their verdicts
    # Guards against a second verdict after a lost reply, and against lost changes.
    Given 3 control processes and 0 entry hosts
    When 12 changes are submitted, each twice, while the leader is killed
    Then each change was accepted once, in the order of their numbers
    When the killed replica starts again
    Then a resend of every change gets its first verdict
    And another change under a used number is reported as a conflict

  Scenario: A frozen leader that resumes does not bring back an old version
    # Guards against a leader that acknowledges or grants leases without a quorum.
    Given 3 control processes and 2 entry hosts
    When an operator publishes "rider-gate" and waits
    And the leader is frozen and a change is in force without it
    Then the command reports the change as in force everywhere
    When the frozen replica resumes
    Then it never replies with a version before that change
    And no entry host has returned to a version before that change

  Scenario: The loss of a second host right after a repair loses no change
    # Guards against a repair that is reported before the new folder has all data.
    Given 3 control processes and 0 entry hosts
    When 20 changes are submitted
    And a follower loses its data folder and a replacement is reported as done
    And another replica and its data folder are lost right afterwards
    Then a resend of every change gets its first verdict

  Scenario: Hundreds of changes survive a restart of all control processes
    # Guards against verdicts or numbers that are lost in a restart.
    Given 3 control processes and 0 entry hosts
    When 300 changes are submitted
    And all control processes are killed and started again
    Then a resend of every change gets its first verdict

  Scenario: A frozen entry host is fenced before a change is reported as in force
    # Guards against counting an unresponsive host as up to date.
    Given 3 control processes and 2 entry hosts
    When one entry host is frozen and a change is published
    Then it is in force only once the frozen host cannot hold a lease
    And the frozen host applies that change when it resumes

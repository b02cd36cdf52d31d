Feature: Control replicas, entry hosts and operators as processes

  Scenario: A published profile is in force everywhere when the command says so
    # Guards against "done" before every host has the change.
    Given 3 control processes and 2 entry hosts
    When an operator publishes "rider-gate" and waits
    Then the command reports the change as in force everywhere
    And the status names 2 entry hosts that have applied it
    And a misspelt incarnation is not removed and not reported as done

  Scenario: Changes that are resent while the leader is killed keep their verdicts
    # Guards against second verdicts after a lost reply, and against lost changes.
    Given 3 control processes and 0 entry hosts
    When 12 changes are submitted, each twice, while the leader is killed
    Then each change was accepted once, in the order of their numbers
    When the killed replica starts again
    Then a resend of every change gets its first verdict
    And another change under a used number is reported as a conflict

  Scenario: A frozen leader that runs again brings no old version back
    # Guards against a leader that acknowledges or grants without its quorum.
    Given 3 control processes and 2 entry hosts
    When an operator publishes "rider-gate" and waits
    And the leader is frozen and a change is in force without it
    Then the command reports the change as in force everywhere
    When the frozen replica runs again
    Then it never replies with a version before that change
    And no entry host has gone back behind that change

  Scenario: A second host may be lost right after a repair
    # Guards against a repair that is reported before the new folder has it all.
    Given 3 control processes and 0 entry hosts
    When 20 changes are submitted
    And a follower loses its data folder and a replacement is reported as done
    And another replica is lost right afterwards
    Then a resend of every change gets its first verdict

  Scenario: Hundreds of changes survive a restart of all control processes
    # Guards against verdicts or numbers that a restart forgets.
    Given 3 control processes and 0 entry hosts
    When 300 changes are submitted
    And all control processes are killed and started again
    Then a resend of every change gets its first verdict

  Scenario: A frozen entry host is fenced before a change is said to be in force
    # Guards against counting a silent host as informed.
    Given 3 control processes and 2 entry hosts
    When one entry host is frozen and a change is published
    Then it is in force only once the frozen host can hold no lease
    And the frozen host returns with that change when it runs again

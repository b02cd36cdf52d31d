Feature: Orders about evacuations change the replicated state once, in the log's order

  Scenario: A repeated order changes nothing and is acknowledged
    # Guards against a resent order that starts an evacuation anew, with another number
    # and age, or that is refused.
    Given a control machine
    When it applies "start dc-1" at 4 and "start dc-1" at 5
    Then all orders were carried out
    And the evacuations are "dc-1" with number 4

  Scenario: Of orders that were sent at the same time the last one in the log counts
    # Guards against an order whose effect depends on the replica that took it.
    Given a control machine
    When it applies "start dc-1" at 4 and "end dc-1" at 5
    Then the evacuations are "" with number 5
    When it applies "start dc-1" at 6
    Then the evacuations are "dc-1" with number 6

  Scenario: A replay does not pass through states of the past
    # Guards against a restarted replica that tells hosts for a moment that an evacuation
    # has ended, as it had once before.
    Given a control machine
    When it applies "start dc-1" at 4 and "end dc-1" at 5
    And it applies "start dc-1" at 6
    And another machine with its state replays the same log
    Then the other machine has told of no other state

  Scenario: A state of before does not undo a newer one
    # Guards against the file of a replica that was stopped for long, or a report of
    # another replica, which replaces what the log has delivered.
    Given a control machine
    When it applies "start dc-1" at 4
    And an earlier and a later state are restored
    Then the evacuations are "dc-2" with number 9
    When the earlier state is restored
    Then the evacuations are "dc-2" with number 9

  Scenario: Evacuations are kept in a snapshot, and their numbers grow after it
    # Guards against evacuations that are lost when the log is shortened.
    Given a control machine
    When it applies "start dc-1" at 4
    And another machine restores its snapshot and applies "start dc-2" at 7
    Then the evacuations are "dc-1 dc-2" with number 7

  Scenario: A replica that has lost changes takes them from the next order
    # Guards against replicas that differ for good, after a snapshot of an older release.
    Given a control machine
    When it applies "start dc-1" at 4
    And another machine without that state applies its next order, "start dc-2" at 7
    Then the evacuations are "dc-1 dc-2" with number 7

  Scenario: The number of evacuations is bounded
    # Guards against wrong names that fill the replies to all hosts.
    Given a control machine
    When it applies the start of 65 evacuations
    Then all orders but the last one were carried out

  Scenario Outline: The name "<name>" of a data centre is <verdict>
    # Guards against names that cannot be shown, or that fill the log.
    Then the name "<name>" of a data centre is <verdict>

    Examples:
      | name                                                              | verdict |
      | dc-1                                                              | taken   |
      | 0123456789012345678901234567890123456789012345678901234567890123  | taken   |
      | 01234567890123456789012345678901234567890123456789012345678901234 | refused |
      |                                                                   | refused |
      | dc 1                                                              | refused |
      | dé                                                                | refused |

Feature: Claims are kept and dropped safely, also when clocks are wrong

  Scenario: A leader whose clock was a year ahead does not block later requests
    # Guards against a clock step after which all bookings are refused until real time
    # has caught up with it.
    Given a claimed booking of 12:00
    When a booking of 12:01 is claimed at a leader whose clock is a year ahead
    Then that booking is refused as too old
    And the same booking is granted at a leader whose clock is right

  Scenario: A dropped claim is not granted again at a leader whose clock is behind
    # Guards against a second run of a booking whose claim was dropped.
    Given a claimed booking of 12:00
    And a claimed booking of two days later
    When the booking of 12:00 is claimed again at a leader whose clock is behind
    Then that booking is refused as too old

  Scenario: Claims older than the retention are dropped
    # Guards against a state that grows with every booking.
    Given a claimed booking of 12:00
    When a booking of two days later is claimed
    Then one claim is kept

  Scenario: An answer is dropped with its claim
    # Guards against a limit that is used up by answers that nobody can read.
    Given a claimed booking of 12:00 that was answered
    When a booking of two days later is claimed
    Then one claim is kept
    And no answer counts towards the limit

  Scenario: Beyond the limit the oldest answers are dropped, but their outcomes are kept
    # Guards against answers that fill the memory of all replicas, and against a
    # second run, or an outcome "unknown", of a request whose answer was dropped.
    Given a control service that keeps 1 MiB of answers
    When 4 bookings are answered one after another with 400 KiB each
    And all of them are sent again
    Then the first 2 are refused with "answer_not_kept" as "done"
    And the last 2 get their own answers
    And the state holds at most 1 MiB of answers

  Scenario: A replica that starts from a snapshot drops the same answers
    # Guards against replicas that answer a resent request differently.
    Given a control service that keeps 1 MiB of answers
    When 2 bookings are answered one after another with 400 KiB each
    And a replica starts from a snapshot of that state
    And another booking is answered with 400 KiB and applied by both
    Then both replicas hold equal states

  Scenario: Answers in a snapshot of an earlier release count towards the limit
    # Guards against answers that are never dropped after an upgrade.
    Given a control service that keeps 1 MiB of answers
    When 2 bookings are answered one after another with 400 KiB each
    And a replica starts from that state as an earlier release wrote it
    Then it counts 800 KiB of answers, the older one first

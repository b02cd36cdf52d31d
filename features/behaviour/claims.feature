Feature: Claims outlive wrong clocks

  Scenario: A leader whose clock was a year ahead bars no later request
    # Guards against a clock step that stops all bookings until real time has
    # caught up with it.
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
    # Guards against a state that grows with all bookings ever made.
    Given a claimed booking of 12:00
    When a booking of two days later is claimed
    Then one claim is kept

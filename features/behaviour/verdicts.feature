Feature: Verdicts of change numbers survive snapshots

  Scenario: Every kept verdict is found again after snapshots
    # Guards against a number that is decided twice because its verdict was encoded
    # in a chunk, and against a snapshot that loses verdicts.
    Given a state machine that has decided 1130 changes, every seventh rejected
    When it is restored from its own snapshot and decides 400 more changes
    Then each of the 1530 numbers still has its first verdict
    And another change with any of these numbers is told which change won
    And a replica that applied the same commands has the same snapshot

  Scenario: Verdicts are kept for exactly the stated number of changes
    # Guards against verdicts that are dropped early with the rest of their chunk,
    # and against verdicts that are never dropped.
    Given a verdict log with 100000 numbers
    When 130 more numbers are decided
    Then number 130 is too old and number 131 is found
    And 370 more numbers leave no chunk that is too old

  Scenario: A snapshot that lacks verdicts is refused
    # Guards against verdicts that are silently lost when a part of a snapshot is
    # missing.
    Given a state machine that has decided 600 changes, every seventh rejected
    When a chunk is missing from its snapshot
    Then restoring it breaks the invariant on kept verdicts

  Scenario: A number is never decided a second time
    # Guards against a second verdict that replaces the first one.
    Given a verdict log with 300 numbers
    When number 300 gets another verdict
    Then the verdict is refused and number 300 keeps its first one

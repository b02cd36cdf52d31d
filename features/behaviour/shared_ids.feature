Feature: Of two searchers announced under one id the one of a named service counts

  Scenario Outline: With <named> named, an announcement of <service> with <recency> <effect>
    # Guards against a searcher that another process with its id replaces, and against
    # one that stays replaced.
    Given a searcher of "cards" and a version that names "<named>"
    When its id is announced for "<service>" with <recency>
    Then at control and at a host it <effect>

    Examples:
      | named       | service | recency           | effect                    |
      | cards       | nobody  | a later start     | changes nothing           |
      | cards       | nobody  | a higher number   | changes nothing           |
      | cards       | cards   | a later start     | replaces the searcher     |
      | cards       | cards   | an earlier start  | changes nothing           |
      | cards later | later   | a later start     | replaces the searcher     |
      | cards later | later   | an earlier start  | changes nothing           |
      | nobody      | nobody  | an earlier start  | replaces the searcher     |
      | else        | nobody  | a later start     | replaces the searcher     |

  Scenario: A searcher that another process's announcements follow counts as silent
    # Guards against a searcher that has ended and is kept by the heartbeats of another.
    Given a searcher of "cards" and a version that names "cards"
    When its id is announced for "nobody" each second for 6 s
    Then control reports the searcher as silent

  Scenario: A replica that learns a version takes the searcher that it names back
    # Guards against a searcher that stays out since a replica knew its service too late.
    Given a searcher of "cards" and a version that names "else"
    When its id is announced for "nobody" with a later start
    And control and the host learn a version that names "cards"
    And the searcher of "cards" announces itself again
    Then at control and at a host the searcher of "cards" counts

  Scenario: A host that knows the version goes by it, whatever a replica reports
    # Guards against a host that loses a searcher while a replica is behind.
    Given a searcher of "cards" and a version that names "cards"
    And a second replica, which knows no version
    When the second replica hears the id for "nobody" with a later start
    Then at a host the searcher of "cards" counts
    When the first replica reports it as silent
    Then the host drops the searcher of "cards", and has that of "nobody" left

  Scenario: A departure that does not state a start is that of the searcher that counts
    # Guards against a departure that is kept for the other process only.
    Given a searcher of "cards" and a version that names "cards"
    And a second replica, which knows the version
    When the second replica hears the id for "nobody" with a later start
    And the searcher of "cards" reports its departure there
    Then the second replica keeps that the searcher of "cards" has left

Feature: Malformed HTTP does not stop a process

  Scenario Outline: The <interface> serves on after <kind>
    # Guards against a process that one malformed message takes down or blocks.
    Given a routed tier with a searcher "s-1" of "cards"
    When 150 connections send <kind> to the <interface>, with seed <seed>
    Then a valid request to the <interface> is answered
    And no task of a process has failed

    Examples:
      | interface                | kind                   | seed |
      | control replica          | random bytes           | 1    |
      | control replica          | altered announcements  | 2    |
      | control replica          | altered configurations | 3    |
      | entry host               | random bytes           | 4    |
      | entry host               | altered requests       | 5    |
      | readiness of entry hosts | random bytes           | 6    |

Feature: Texts of any characters cost no request and reach no searcher altered

  Scenario Outline: <count> <messages> with any texts are taken or refused, with seed <seed>
    # Guards against a text that one boundary accepts and a later one cannot write: into a
    # head, a log line, a file or a message between processes.
    Given a routed tier with one searcher for each of 4 shards
    When <count> <messages> with any texts are sent, with seed <seed>
    Then each of them was taken or refused
    And requests to all shards are answered, and each searcher got the texts unaltered
    And no task of a process has failed

    Examples:
      | count | messages            | seed |
      | 60    | announcements       | 1    |
      | 60    | announcements       | 2    |
      | 60    | departures          | 3    |
      | 60    | configurations      | 4    |
      | 60    | requests of callers | 5    |

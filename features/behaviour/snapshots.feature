Feature: Snapshots limit the log that a start replays

  Scenario Outline: A snapshot is due after <entries> entries and <kib> KiB, <age> s after one of <size> KiB: <due>
    # Guards against a start that replays the whole history, against a snapshot for
    # every few entries under load, and against rewriting a large state too often.
    Then with <entries> entries and <kib> KiB of log, <age> s after a snapshot of <size> KiB, one is <due>

    Examples:
      | entries | kib  | age | size  | due     |
      | 249     | 24   | 60  | 10    | not due |
      | 250     | 24   | 60  | 10    | due     |
      | 250     | 24   | 0.9 | 10    | not due |
      | 1999    | 190  | 0.9 | 10    | not due |
      | 2000    | 190  | 0.0 | 10    | due     |
      | 2000    | 190  | 60  | 1521  | not due |
      | 2000    | 190  | 60  | 1520  | due     |
      | 10      | 8191 | 0.0 | 99999 | not due |
      | 10      | 8192 | 0.0 | 99999 | due     |

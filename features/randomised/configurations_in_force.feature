Feature: Hosts have each acknowledged configuration in time, whatever fails

  Scenario Outline: No host in touch serves an older version for too long under <faults>, seed <seed>
    # Guards against versions that reach a host late, or never, by one of the ways around the log.
    When control and 12 hosts run for 60 s with <faults>, seed <seed>
    Then no host in touch was more than 4 s behind an acknowledged version
    And no task has failed

    Examples:
      | faults                              | seed |
      | all faults                          | 1    |
      | all faults                          | 2    |
      | all faults                          | 3    |
      | cuts, stalls                        | 4    |
      | power_losses                        | 5    |
      | power_losses, host_restarts, stalls | 6    |

  Scenario Outline: Late replies keep no host at an older version, seed <seed>
    # Guards against polls whose replies are thrown away, with the configuration in them.
    When control and 12 hosts run for 60 s with late_replies, seed <seed>
    Then no host in touch was more than 4 s behind an acknowledged version

    Examples:
      | seed |
      | 1    |
      | 2    |

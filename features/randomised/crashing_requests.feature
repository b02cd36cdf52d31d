Feature: Hosts stop a request that ends searchers, and harmless ones beside it run on

  Scenario Outline: <hosts> hosts stop it although each sees a part, <faults> faults, seed <seed>
    # Guards against hosts that each count alone, and against reports that get lost.
    When a request that ends searchers comes <rate> times a second to <hosts> hosts with <faults> faults, seed <seed>
    Then at most 3 arrivals of it are later than 4 s after its third end
    And at most 1 in 1000 harmless requests are refused

    Examples:
      | hosts | rate | faults | seed |
      | 9     | 4    | no     | 1    |
      | 9     | 4    | other  | 2    |
      | 63    | 8    | other  | 3    |
      | 200   | 20   | other  | 4    |
      | 2700  | 40   | other  | 5    |

  Scenario: Without such a request no harmless one is refused
    # Guards against a quarantine of what runs while searchers end by themselves.
    When searchers end by themselves and connections break at 9 hosts for 40 s
    Then no harmless request is refused


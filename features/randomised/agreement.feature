Feature: The replicated log keeps its guarantees in randomised runs

  Scenario Outline: No seed finds two leaders, a lost entry, a stale read or an old folder in use
    # Guards against any sequence of message losses, crashes, partitions, freezes,
    # lost or rolled-back folders and membership changes that breaks a guarantee.
    Given a simulated group of control replicas with seed <seed>
    When it runs <steps> steps with faults
    Then every check held and the group makes progress after the faults

    Examples:
      | seed | steps |
      | 101  | 20000 |
      | 102  | 20000 |
      | 103  | 20000 |
      | 104  | 20000 |
      | 105  | 20000 |
      | 106  | 20000 |

  Scenario Outline: A group that repairs itself keeps its guarantees and its size
    # Guards against a repair without an operator that removes a member too early,
    # treats an empty folder as the lost one, or never ends.
    Given a simulated group that repairs itself with seed <seed>
    When it runs <steps> steps with faults
    Then every check held and the group makes progress after the faults

    Examples:
      | seed | steps |
      | 201  | 20000 |
      | 202  | 20000 |
      | 203  | 20000 |
      | 204  | 20000 |

  Scenario Outline: A replica that is disturbed while it joins becomes a voter once it is left alone
    # Guards against a step between an empty folder and a voter at which a stop, a freeze
    # or a change of leader keeps the replica out for good, so that the next loss leaves
    # no majority.
    Given a simulated group whose joining replicas are disturbed, with seed <seed>
    When it runs <steps> steps with faults
    Then every check held and the group makes progress after the faults

    Examples:
      | seed | steps |
      | 301  | 40000 |
      | 308  | 40000 |
      | 302  | 40000 |
      | 303  | 40000 |
      | 312  | 40000 |
      | 313  | 40000 |
      | 320  | 40000 |

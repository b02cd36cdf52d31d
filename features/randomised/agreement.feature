Feature: The replicated log keeps its promises in randomised runs

  Scenario Outline: No seed finds two leaders, a lost entry, a stale read or a second life
    # Guards against any order of losses, crashes, cuts, freezes, lost or older
    # folders and member changes in which the agreement breaks a promise.
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

  Scenario Outline: A group that repairs itself keeps its promises and its size
    # Guards against a repair without an operator that removes a member too early, takes
    # a lost folder for the one that it was, or never ends.
    Given a simulated group that repairs itself with seed <seed>
    When it runs <steps> steps with faults
    Then every check held and the group makes progress after the faults

    Examples:
      | seed | steps |
      | 201  | 20000 |
      | 202  | 20000 |
      | 203  | 20000 |
      | 204  | 20000 |

Feature: Routing and queueing decisions keep their guarantees in randomised runs

  Scenario Outline: No seed finds a mixed snapshot, a wrong coverage, a second run or an exceeded cap
    # Guards against wrong answers or refusals and exceeded caps or extra-load limits
    # in any order of lost, late, duplicated and forged results, crashes, silent
    # connections, moves of ownership and expired leases.
    Given simulated entry hosts and searchers with seed <seed>
    When they serve <steps> random requests and faults
    Then every decision check held and the run had crashes, hedges and non-idempotent runs

    Examples:
      | seed | steps |
      | 1    | 2500  |
      | 2    | 2500  |
      | 3    | 2500  |
      | 4    | 2500  |
      | 5    | 2500  |
      | 6    | 2500  |

  Scenario Outline: No sliding minute has more extra sub-requests than the limit allows
    # Guards against a budget that still counts first sub-requests outside of the
    # window, or that gives budget back to another window.
    Given an extra-load budget of 5% with seed <seed>
    When it is used in <steps> bursts
    Then no exact window that ends with an extra sub-request exceeds the limit

    Examples:
      | seed | steps |
      | 1    | 600   |
      | 2    | 600   |
      | 3    | 600   |

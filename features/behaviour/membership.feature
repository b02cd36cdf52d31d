Feature: Ownership of searchers is handed over safely

  Scenario: A late renewal by a replaced process does not shorten the wait for it
    # Guards against a second owner while the earlier process has work in flight.
    Given a control service where "e1" owns a searcher, with a deadline of 2000 ms
    When "e1" restarts and a late renewal of its earlier process arrives
    Then no host may send to the searcher until lease and deadline have passed, 4000 ms

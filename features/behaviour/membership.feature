Feature: Ownership of searchers passes on safely

  Scenario: A late renewal of a replaced process does not end the wait for it
    # Guards against a second owner while the earlier process has work in flight.
    Given a control service where "e1" owns a searcher, with a deadline of 2000 ms
    When "e1" restarts and a late renewal of its earlier process arrives
    Then nobody may send to the searcher for the lease and the deadline, 4000 ms

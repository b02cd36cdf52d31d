Feature: Requests that crash searchers are distinguished from lost searchers

  Scenario: One lost searcher does not quarantine a popular query
    # Guards against refusing a harmless query for 10 minutes because it was running
    # in several slots of a searcher that was lost.
    Given an empty quarantine table
    When searcher "p1-1" of partition "p1" resets the query at 0.0 s
    And searcher "p1-1" of partition "p1" resets the query at 0.2 s
    Then the query is not quarantined at 0.3 s

  Scenario: A query that resets two searchers is quarantined
    # Guards against a request that crashes one searcher after another.
    Given an empty quarantine table
    When searcher "p1-1" of partition "p1" resets the query at 0.0 s
    And searcher "p2-3" of partition "p2" resets the query at 0.1 s
    Then the query is quarantined at 0.2 s

  Scenario: A query that resets the same searcher after its restart is quarantined
    # Guards against a request that crashes the only replica of a partition again
    # with each resend.
    Given an empty quarantine table
    When searcher "p1-1" of partition "p1" resets the query at 0.0 s
    And searcher "p1-1" of partition "p1" resets the query at 5.0 s
    Then the query is quarantined at 5.1 s

  Scenario: An answer of the partition clears its resets
    # Guards against quarantining a popular query because two searchers that were
    # running it were lost minutes apart.
    Given an empty quarantine table
    When searcher "p1-1" of partition "p1" resets the query at 0.0 s
    And partition "p1" answers the query
    And searcher "p1-2" of partition "p1" resets the query at 60.0 s
    Then the query is not quarantined at 60.1 s

  Scenario: A lifted query is quarantined again by one crash
    # Guards against a mistaken lift after which the query crashes two more searchers.
    Given an empty quarantine table
    When searcher "p1-1" of partition "p1" resets the query at 0.0 s
    And searcher "p2-3" of partition "p2" resets the query at 0.1 s
    And a configuration lists its lift in version 7 at 5.0 s
    Then the query is not quarantined at 5.1 s
    When searcher "p1-2" of partition "p1" resets the query at 6.0 s
    Then the query is quarantined at 6.1 s

  Scenario: A lift that is still listed does not end a later quarantine
    # Guards against a query that keeps crashing searchers because each new
    # configuration still lists the lift of its first quarantine.
    Given an empty quarantine table
    When a configuration lists its lift in version 7 at 5.0 s
    And searcher "p1-2" of partition "p1" resets the query at 6.0 s
    And a configuration lists its lift in version 7 at 7.0 s
    Then the query is quarantined at 7.1 s

  Scenario: A restarted control replica still knows quarantines and lifts
    # Guards against a restart that undoes a lift on hosts that receive it late, and
    # against lifts that are kept forever.
    Given a replicated state with two quarantines until 600 s, one of them lifted
    When the state is restored from its snapshot
    Then its configuration is as before, with one quarantine and one lift
    When the quarantines that end by 600 s are dropped
    Then its configuration has no quarantine and no lift

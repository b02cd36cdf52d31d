Feature: A rolling restart of the control replicas does not affect callers

  Scenario: Planned stops of each control replica under load lose no request
    # Guards against a stop that leaves a claim or a lease renewal without a reply,
    # so that bookings are lost or run twice, or entry hosts refuse requests.
    Given three control replicas, 2 entry hosts and 2 partitions of 2 searchers
    When queries and bookings are sent while each control replica restarts in turn
    Then each control replica has stopped with exit code 0
    And every query was answered in full
    And every booking was answered and has run once

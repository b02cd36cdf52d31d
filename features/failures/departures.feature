Feature: A departure is acknowledged only if no requests will follow

  Scenario: A departure is heard while another writer leaves an odd entry
    # Guards against requests to a searcher that has left, since no reply of a replica can
    # name the entry of another writer.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    And an entry host that polls one replica
    When a searcher "s-1" announces itself to a replica that the host does not poll
    Then the host sends requests to "s-1"
    When another writer announces a sequence above 64 bits to each replica
    And "s-1" reports its departure to the replica that the host polls
    Then the host sends no requests to "s-1"

  Scenario: A departure is acknowledged although the recent state cannot be written
    # Guards against a departure that is left half done by an error of the disk which
    # nobody expects.
    Given a control group of 3 replicas for routed requests
    And configuration 7 was acknowledged
    And an entry host that polls one replica
    When a searcher "s-1" announces itself to a replica that the host does not poll
    Then the host sends requests to "s-1"
    When writes of the recent state fail unexpectedly on each replica
    And "s-1" reports its departure to the replica that the host polls
    Then the host sends no requests to "s-1"

  Scenario: A replica that reaches nobody does not acknowledge a departure
    # Guards against an acknowledgement although no host can hear of the departure.
    Given a control group of 3 replicas for routed requests
    And a searcher "s-1" has announced itself
    When all replicas but one are stopped
    Then the departure of "s-1" is answered with 503
    When the stopped replica starts again with its folder
    Then the departure of "s-1" is acknowledged
    And each running replica knows that "s-1" has left

  Scenario: A replica that may not know a searcher does not acknowledge its departure
    # Guards against a replica that has just started and takes a searcher which others
    # know for one that nobody uses.
    Given a control group of 3 replicas for routed requests
    When all replicas but one are stopped
    Then the departure of "s-1" is answered with 503

  Scenario: A late departure of an earlier start changes nothing
    # Guards against a searcher that gets no requests since its last process has left.
    Given a control group of 3 replicas for routed requests
    And a searcher "s-1" has announced itself
    When the departure of an earlier start of "s-1" arrives
    Then each running replica knows that "s-1" is ready
    When the departure of this start of "s-1" arrives
    Then each running replica knows that "s-1" has left

  Scenario Outline: <announcement> does not make a departure heard that nobody has heard
    # Guards against an acknowledgement of a departure of which the other replicas got
    # another announcement under the id.
    Given a control group of 3 replicas for routed requests
    And a searcher "s-1" has announced itself
    When all replicas but one are stopped
    Then the departure of "s-1" is answered with 503
    When the others can be notified again and <announcement> arrives
    Then they have been told that "s-1" has left

    Examples:
      | announcement                      |
      | a late announcement of "s-1"      |
      | one of another process as "s-1"   |

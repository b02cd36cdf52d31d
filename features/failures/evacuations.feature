Feature: Evacuations of data centres outlast failures of control

  Scenario: An order is taken by any replica, and the list has its age
    # Guards against an order that is taken by the leader alone, or that the list of
    # another replica does not have.
    Given a control group of 3 replicas for routed requests
    When the evacuation of "dc-2" is started at each replica
    Then each order got 200
    And each replica lists the evacuation of "dc-2" with an age
    When the evacuation of "dc-2" is ended at each replica
    Then each order got 200
    And each replica lists no evacuation

  Scenario Outline: An order for <name> is refused with the reason
    # Guards against an order that seems to be accepted and cannot be carried out.
    Given a control group of 1 replicas for routed requests
    When the evacuation of <name> is ordered
    Then the order got 400 with an error

    Examples:
      | name               |
      | an empty name      |
      | a name of a blank  |
      | a name that is too long |

  Scenario: Without a majority no order is acknowledged
    # Guards against an order that was acknowledged and is lost.
    Given a control group of 3 replicas for routed requests
    When two replicas are stopped, and an evacuation of "dc-2" is ordered
    Then the order got 503

  Scenario: An order that is sent while the leader stops takes effect once
    # Guards against an acknowledged order that the next leader does not know, and
    # against one that is resent and gets another number.
    Given a control group of 3 replicas for routed requests
    When the leader stops while the evacuation of "dc-2" is sent again and again
    Then each replica lists the evacuation of "dc-2" with an age
    And all replicas know one number, which repeats do not change

  Scenario: Evacuations are kept when all replicas stop and one loses its disk
    # Guards against requests that are sent to an evacuated data centre after a restart
    # of all of control.
    Given a control group of 3 replicas for routed requests
    And the evacuation of "dc-2" was started
    When all replicas are stopped, and one of them loses its folder
    Then each replica lists the evacuation of "dc-2" with an age
    And a new evacuation of "dc-3" has a higher number at all replicas

  Scenario: A replica that starts alone reports the evacuations that it knew
    # Guards against hosts that start before control has a leader again, and send requests
    # to an evacuated data centre.
    Given a control group of 3 replicas for routed requests
    And the evacuation of "dc-2" was started
    When all replicas are stopped and one starts again alone
    Then it reports to entry hosts that "dc-2" is evacuated

  Scenario: The command starts, shows and ends evacuations
    # Guards against a command that hides a refusal, or an age.
    Given a control group of 1 replicas for routed requests
    When the command orders "evacuations start dc-2"
    Then it ends with 0 and "dc-2 is evacuated"
    When the command orders "evacuations show"
    Then it ends with 0 and "dc-2  evacuated for"
    When the command orders "evacuations end dc-2"
    Then it ends with 0 and "has ended"
    When the command orders "evacuations show"
    Then it ends with 0 and "no data centre is evacuated"
    When the command orders "evacuations start dc/é"
    Then it ends with 3 and "name of the data centre"

Feature: Calls to control replicas

  Scenario Outline: A call on a connection that is lost ends at once, and another replica is asked
    # Guards against calls that wait for a dead leader until their time is used up,
    # or that go back to it as long as the others have not noticed.
    Given a control replica that dies while it handles a call, and one that <other>
    When the first is asked with all the time of the call for one attempt
    Then the reply is the second one's

    Examples:
      | other                         |
      | leads                         |
      | first names the dead as leader |

  Scenario: A replica that takes no connection is passed over within the attempt
    # Guards against calls that wait for a replica that is down until their time is
    # used up.
    Given a control replica that is down, and one that leads
    When the first is asked with all the time of the call for one attempt
    Then the reply is the second one's

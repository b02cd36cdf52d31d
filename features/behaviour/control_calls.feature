Feature: Calls to control replicas

  Scenario Outline: A call whose connection is lost is sent to another replica at once
    # Guards against calls that wait for a failed leader until they time out, or that
    # return to it while the other replicas have not noticed its failure.
    Given a control replica that fails while it handles a call, and one that <other>
    When the first is called with an attempt timeout as long as the timeout of the call
    Then the reply is from the second one

    Examples:
      | other                                    |
      | leads                                    |
      | first names the failed replica as leader |

  Scenario: A replica that accepts no connection is skipped within the attempt
    # Guards against calls that wait for a replica that is down until they time out.
    Given a control replica that is down, and one that leads
    When the first is called with an attempt timeout as long as the timeout of the call
    Then the reply is from the second one

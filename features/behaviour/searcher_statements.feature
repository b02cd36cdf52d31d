Feature: What a searcher states of itself in its replies is heeded at once

  Scenario: A searcher that states that it leaves gets nothing more until it starts anew
    # Guards against requests to a searcher that leaves while control still calls it ready.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And "s-1" states in its answers that it leaves
    When callers send GET "/read/x" until "s-1" has got one
    And 20 callers send GET "/read/x" one after the other
    Then all callers get 200
    And "s-1" has got 1 request
    When "s-1" starts again and answers as usual
    And "s-2" states in its answers that it leaves
    Then callers that send GET "/read/x" are answered by "s-1" too

  Scenario: A searcher that asks for a pause gets nothing until it is over
    # Guards against repeats and hedges to a searcher that has just asked for a pause.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And "s-1" refuses requests and asks for a pause of 30 s
    When callers send GET "/read/x" until "s-1" has got one
    And 20 callers send GET "/read/x" one after the other
    Then all callers get 200
    And "s-1" has got 1 request

  Scenario: While all searchers want a pause callers are told at once when to come back
    # Guards against requests that wait for a deadline by which nothing can run.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-1" refuses requests and asks for a pause of 30 s
    When callers send GET "/read/x" until "s-1" has got one
    And 5 callers send GET "/read/x" one after the other
    Then each caller is refused with 503 and told to come back after 20 to 30 s
    And "s-1" has got 1 request

  Scenario Outline: A stated pause of "<text>" lasts <seconds> s
    # Guards against a value that stops a searcher for good, and against a crash.
    When a searcher refuses a request and asks for a pause of "<text>"
    Then it gets nothing for <seconds> s

    Examples:
      | text                 | seconds |
      | 2                    | 2       |
      | 0.5                  | 0.5     |
      | 0                    | 0       |
      | -1                   | 0       |
      | inf                  | 0       |
      | soon                 | 0       |
      | 1e3                  | 0       |
      | 2,2                  | 0       |
      | 999999999            | 60      |
      | 99999999999999999999 | 0       |

  Scenario Outline: A statement "<text>" that it leaves <effect>
    # Guards against values that are neither the one that is meant nor its absence.
    When a searcher states "<text>" where it says that it leaves
    Then it <effect>

    Examples:
      | text  | effect             |
      | 1     | gets nothing more  |
      | 1,1   | gets nothing more  |
      | 0     | still gets requests |
      | 1,0   | still gets requests |
      | true  | still gets requests |
      | -1    | still gets requests |

  Scenario: A pause counts for the start that asked, also when it is lost and found
    # Guards against an announcement that undoes what the searcher itself has said.
    When a searcher refuses a request and asks for a pause of "2"
    And it is lost and found again
    Then it gets nothing for 2 s
    And another start of it gets requests

  Scenario: A call that waits for its connection is not sent once its searcher leaves
    # Guards against a request that was on its way when the answer arrived.
    Given a call that waits for a connection to a searcher
    When the searcher states that it leaves and the connection opens
    Then the call ends without having been sent

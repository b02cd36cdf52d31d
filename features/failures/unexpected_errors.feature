Feature: An unexpected error in the work of a request ends in an answer to its caller

  Scenario Outline: A request to <kind> gets <statuses> if <step> fails
    # Guards against a connection that is closed without an answer, or left without one
    # until the deadline, after searchers have run a part of the request.
    Given a routed tier with one searcher for each of 4 shards
    And a searcher "c-1" of "cards"
    And <step> fails unexpectedly
    When 3 callers send GET "<target>" one after the other on one connection
    Then each caller gets one of <statuses>, and none is refused that has run
    And the host has counted and logged the errors
    When the fault is over
    And 3 callers send GET "<target>" one after the other on one connection
    Then each caller gets one of 200, and none is refused that has run

    Examples:
      | kind        | target  | step                            | statuses |
      | one service | /read/x | the construction of requests    | 503      |
      | one service | /read/x | the first step of a request     | 503      |
      | one service | /read/x | the choice of a searcher        | 503      |
      | one service | /read/x | a send that may have happened   | 502      |
      | one service | /read/x | the handling of a reply         | 502      |
      | one service | /read/x | the headers of an answer        | 502      |
      | all shards  | /all/x  | the construction of requests    | 503      |
      | all shards  | /all/x  | the send to the last shard      | 200      |
      | all shards  | /all/x  | a send that may have happened   | 502      |
      | all shards  | /all/x  | the decision on the next step   | 502, 503 |
      | all shards  | /all/x  | the merge of the records        | 502      |

  Scenario: An error of one waiting request does not keep others from room
    # Guards against a request that pays for the error of another one that waits.
    Given a routed tier with a searcher "c-1" of "cards"
    When two requests wait for room, of which the first one fails
    Then the second one is answered once there is room

  Scenario: An error with one entry of a reply of control costs no other entry
    # Guards against sound searchers of the same reply that get no requests for good: the
    # replica takes them for known.
    Given a routed tier with a searcher "c-1" of "cards"
    When a replica reports three searchers, of which the host cannot apply the second
    Then the host knows the other two and has logged the one

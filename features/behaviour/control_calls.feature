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

  Scenario Outline: A task that is cancelled while its socket closes ends, <order>
    # Guards against a process that never ends after a planned stop, since a task that
    # goes on after errors has lost its cancellation.
    Given a task that calls a server which never replies, again after each error
    When it is cancelled and its socket is closed at the same moment, <order>
    Then the task ends

    Examples:
      | order              |
      | the socket first   |
      | the task first     |

  Scenario: A handler that fails on a request does not end the server
    # Guards against a server that loses a worker with each unexpected error and in the
    # end replies to nobody, and against a failed request that is taken as not executed.
    Given a server whose handler fails on each request but those for version 7
    When 200 requests fail
    Then each of them has an unknown outcome
    And a request for version 7 is answered

  Scenario: A reply that cannot be encoded does not end the server
    # Guards against a server that loses a worker with each reply that holds a number
    # above 64 bits, and in the end replies to nobody.
    Given a server whose handler fails on each request but those for version 7
    When 200 requests get a reply that cannot be encoded
    Then each of them has an unknown outcome
    And a request for version 7 is answered

  Scenario Outline: Bytes that are no request do not end the server
    # Guards against a process that one malformed message takes down.
    Given a server whose handler fails on each request but those for version 7
    When 300 messages of <kind> are sent to it, with seed <seed>
    Then a request for version 7 is answered

    Examples:
      | kind              | seed |
      | random bytes      | 1    |
      | altered requests  | 2    |
      | deep nesting      | 3    |

  Scenario Outline: Bytes that are no frame do not end the link between replicas
    # Guards against a replica that no longer hears its group after a malformed frame.
    Given the receiving end of a link between replicas
    When 300 frames of <kind> are sent to it, with seed <seed>
    Then a valid frame is received

    Examples:
      | kind            | seed |
      | random bytes    | 3    |
      | altered frames  | 4    |

  Scenario: A frame whose handling fails does not end the link between replicas
    # Guards against a replica that no longer hears its group after one unexpected error.
    Given the receiving end of a link between replicas, which fails on the first frame
    When 1 frames of valid content are sent to it, with seed 5
    Then a valid frame is received

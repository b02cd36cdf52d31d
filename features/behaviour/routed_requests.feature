Feature: Routed requests are forwarded to searchers and answered completely

  Scenario: A request is forwarded with method, path, query and body unchanged
    # Guards against a request that is altered on its way to the searcher.
    Given a routed tier with a searcher "s-1" of "cards"
    When a caller sends POST "/card/x?a=1&b=%20" with body "write me"
    Then the caller gets 200 with the answer of "s-1"
    And "s-1" got POST "/card/x?a=1&b=%20" with body "write me" and the caller's id
    And "s-1" got its own id as the expected searcher and at most the caller's deadline

  Scenario: A host without a route answers 404 and one without a configuration 503
    # Guards against a 404 from a host that has no configuration yet.
    Given a routed tier without a configuration
    When a caller sends GET "/card/x"
    Then the caller is refused with 503 and told when to retry
    When the configuration of the scenario is published
    And a caller sends GET "/elsewhere/x"
    Then the caller gets 404

  Scenario Outline: An idempotent request succeeds although one searcher <fault>
    # Guards against a faulty reply that reaches the caller as a success.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And the searcher "s-1" <fault>
    When 6 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-2"

    Examples:
      | fault                           |
      | cuts its answers short          |
      | resets answers without a length |
      | answers with garbage            |
      | answers for another request     |
      | rejects                         |
      | resets                          |
      | fails                           |

  Scenario Outline: A searcher that <fault> costs neither memory nor the request
    # Guards against a host that reads such bytes until its memory is used up, and
    # against a caller that waits for their end.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And the searcher "s-1" <fault>
    When 6 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-2"
    And the host has closed each connection to "s-1" that was used for that
    And it has read at most 24 MiB a reply from "s-1"

    Examples:
      | fault                             |
      | sends a line without end          |
      | sends a head without end          |
      | sends a body without end          |
      | sends chunks without end          |
      | sends a chunk size without end    |
      | sends interim replies without end |
      | sends a head slowly without end   |

  Scenario Outline: An at-most-once request to a searcher that <fault> is not sent again
    # Guards against a second run, since the bytes tell nothing of the first.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And all searchers <fault>
    When a caller sends POST "/card/x" with body "book"
    Then the caller gets <status>
    And 1 searchers got the request

    Examples:
      | fault                           | status |
      | sends a line without end        | 502    |
      | sends a body without end        | 502    |
      | sends a head slowly without end | 504    |

  Scenario: Replies without end of many searchers together use a bounded amount of memory
    # Guards against a host whose memory is used up by replies that are each within the
    # limit.
    Given a routed tier with one searcher for each of 12 shards
    And all searchers sends a body without end
    When a caller sends GET "/all/x"
    Then the caller gets 502
    And the host has held at most 48 MiB of replies

  Scenario: The memory of replies without end is free as soon as they have ended
    # Guards against a host that runs out of memory before the garbage collector finds
    # what it has closed.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" sends a body without end
    When 8 callers send GET "/read/x", and no garbage is collected
    Then none of them gets an answer
    And the process holds at most 24 MiB more than before

  Scenario Outline: A <client> reads at most one reply of <kind>
    # Guards against a client of its own that keeps bytes without end.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" sends <kind>
    When a <client> is sent to "s-1"
    Then it ends without a reply
    And it has read at most 24 MiB a reply from "s-1"
    And the host holds no memory for replies

    Examples:
      | client         | kind                     |
      | health check   | a line without end       |
      | health check   | a head without end       |
      | health check   | a body without end       |
      | health check   | chunks without end       |
      | passed request | a line without end       |
      | passed request | a head without end       |
      | passed request | a body without end       |
      | passed request | chunks without end       |

  Scenario: A reply without a length is complete when its connection closes cleanly
    # Guards against the rejection of replies that are delimited by the connection.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers without a length
    When a caller sends GET "/read/x"
    Then the caller gets 200 with the answer of "s-1"

  Scenario Outline: A reply with <status>, which has no body and no length, is complete
    # Guards against a request that has run and whose caller is told that it failed, and
    # against a connection that is closed after it (review/14).
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers with <status>
    When a caller sends POST "/card/x" with body "done"
    Then the caller gets <status> with the signature of "s-1" and no body
    When a caller sends GET "/read/x"
    Then the caller gets <status> with the signature of "s-1" and no body
    And "s-1" has got both on one connection

    Examples:
      | status |
      | 204    |
      | 304    |

  Scenario: A chunked reply is forwarded completely
    # Guards against chunk sizes in the body of an answer, and against missing chunks.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers in chunks
    When 2 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-1"

  Scenario: A duplicate reply reaches no later caller
    # Guards against a duplicate reply that is taken for that of the next request.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers twice
    When 8 callers send GET "/read/x" one after the other
    Then each caller gets 200 with the answer of "s-1"
    And each answer carries the id of its own request

  Scenario Outline: If a searcher <fault>, an at-most-once request is retried only if it has not run
    # Guards against a second run of a request that may have run. A rejected request
    # has not run, so it is retried.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And all searchers <fault>
    When a caller sends POST "/card/x" with body "book"
    Then the caller gets <status>
    And <runs> searchers got the request

    Examples:
      | fault                  | status | runs |
      | resets                 | 502    | 1    |
      | cuts its answers short | 502    | 1    |
      | fails                  | 500    | 1    |
      | rejects                | 503    | 2    |

  Scenario: A searcher that rejects a long body early gets the rest of it, then the next request
    # Guards against bytes of the next request where the rest of a body is expected.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-1" rejects requests before it has read their bodies
    When 3 callers send POST "/card/x" with a body of 200000 bytes one after the other
    Then each caller is refused with 503
    And "s-1" got 3 whole bodies of 200000 bytes on one connection

  Scenario: An idempotent request succeeds after idle connections were dropped
    # Guards against a request that is lost on a connection which its searcher closed.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And 60 requests to "/read/x" were served before
    And every connection to a searcher is aborted
    When 6 callers send GET "/read/x" one after the other
    Then all callers get 200

  Scenario: A searcher's work is cancelled when the caller disconnects
    # Guards against searchers that keep working for a caller that has disconnected.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" never answers
    When a caller sends GET "/read/x" and closes its connection
    Then the searcher "s-1" sees its connection closed before it answered

  Scenario: A caller gets an answer at the route's timeout
    # Guards against a request that is held longer than the operator allows.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" never answers
    When a caller sends GET "/brief/x"
    Then the caller gets 504

  Scenario: A host that is stopped answers its running request, is not ready and exits
    # Guards against a stop that cuts off a request which was read and forwarded.
    Given a routed tier with a searcher "s-1" of "cards"
    And the searcher "s-1" answers after the stop has begun
    When the entry host is stopped while a caller waits
    Then the caller gets 200 with the answer of "s-1"
    And the entry host reports that it is not ready, and exits

  Scenario: Requests that arrive during a stop are answered and idle connections closed
    # Guards against a stop that cuts off requests which were just accepted, on kept and
    # on new connections, and against one that waits for callers to close.
    Given a routed tier with a searcher "s-1" of "cards"
    And 2 callers with a connection that is kept open after an answer
    When the entry host is stopped
    Then a request on the first connection and one on a new connection are answered
    And both answers tell the caller to close the connection
    And the second connection is closed without an answer
    And the stop ends

  Scenario Outline: A <kind> request still at work at the end of a stop gets an answer
    # Guards against a connection that ends without a word although a 502 is true.
    Given a routed tier with searchers of each shard and of "cards" that never answer
    And its routes allow 20 s for a request
    When callers send <method> "<target>" on a kept and on a new connection during a stop
    Then both get 502 before the stop ends
    And no searcher has got one of them twice

    Examples:
      | kind         | method | target  |
      | repeatable   | GET    | /read/x |
      | at-most-once | POST   | /card/x |
      | gathered     | GET    | /all/x  |

  Scenario: An error while searchers are updated does not keep a host at an old version
    # Guards against a host that refuses routes of later versions with 404 permanently:
    # a forged announcement ended the tasks that poll control (hunt-796c-31).
    Given a routed tier with a searcher "s-1" of "cards"
    And adding the searcher "s-2" raises an error, and so does removing any searcher
    When the searcher "s-2" announces itself and configuration 2 is published
    Then the host has configuration 2 in force and has logged a failed task

Feature: Entry hosts answer each caller with its own complete answer

  Scenario: Hundreds of interleaved callers get their own answers, with exact coverage
    # Guards against an answer that reaches another request, against coverage that
    # differs from the searchers' records, and against limits that hold on each
    # entry host but not across all of them.
    Given an entry tier of 3 hosts with 4 partitions of 3 searchers
    And the entry profile "rider-gate" with 2000 ms and coverage 0.5
    When 400 callers send interleaved queries under "rider-gate"
    Then at least 300 callers are answered, each with its own query echoed
    And some answers lack a partition, as their queries require
    And every answer's coverage is that of the searchers' records
    And no searcher saw more than its slots or half of its connections

  Scenario: Invalid input gets a typed refusal and affects no other request
    # Guards against a traceback, a closed connection or a wrong "run" for any
    # kind of input, and against requests that run although they were refused.
    Given an entry tier of 1 hosts with 2 partitions of 1 searchers
    And the entry profile "rider-gate" with 2000 ms and coverage 1.0
    Then these bodies are refused without any run
      | body                                                             | status | error             |
      |                                                                  | 400    | malformed         |
      | {                                                                | 400    | malformed         |
      | []                                                               | 400    | malformed         |
      | {"profile":"rider-gate"}                                         | 400    | malformed         |
      | {"profile":7,"query":1}                                          | 400    | malformed         |
      | {"profile":"rider-gate","query":{"a":}}                          | 400    | malformed         |
      | {"profile":"rider-gate","query":1,"idempotnet":true}             | 400    | malformed         |
      | {"profile":"rider-gate","query":1,"idempotent":"no"}             | 400    | malformed         |
      | {"profile":"rider-gate","query":1,"partitions":"all"}            | 400    | malformed         |
      | {"profile":"rider-gate","query":1,"partitions":["a","a"]}        | 400    | malformed         |
      | {"profile":"rider-gate","query":1,"request_id":"a b"}            | 400    | bad_request_id    |
      | {"profile":"rider-gate","query":1,"idempotent":false}            | 400    | bad_request_id    |
      | {"profile":"rider-gate","query":1,"request_id":"x-12345678","idempotent":false} | 400 | bad_request_id |
      | {"profile":"no-such","query":1}                                  | 404    | unknown_profile   |
      | {"profile":"rider-gate","query":1,"partitions":["no-such"]}      | 404    | unknown_partition |
    And a body of invalid UTF-8, one nested 100000 deep and one of 2 MiB are refused
    And a body shorter than its Content-Length and bytes that are not HTTP run nothing
    And announcements with invalid fields are refused with a remedy

  Scenario: A planned stop of an entry host and of searchers under load loses no request
    # Guards against a stop that interrupts requests, forwarded sub-requests or the
    # searchers' connections, even when the signal is sent twice.
    Given an entry tier of 3 hosts with 2 partitions of 2 searchers
    And 2 more searchers of each partition in a process of their own
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When callers send queries to ready hosts while one host and those searchers stop
    Then both stop with exit code 0
    And every caller got a full answer or was referred to another host

  Scenario: A planned stop of all entry hosts under load interrupts no request
    # Guards against a host that releases its searchers while another host still has
    # requests for them, and against a wait for a handover that cannot happen.
    Given an entry tier of 3 hosts with 2 partitions of 2 searchers
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When callers send queries to ready hosts while all hosts stop
    Then every host has stopped with exit code 0 and without a wait that timed out
    And every caller was answered in full, referred to another host, or refused a connection

  Scenario: A stopping host serves another one that still accepts requests
    # Guards against a host that assumes, when all hosts stop, that no other host
    # needs its searchers any more.
    Given 2 entry hosts of which the first drains for 2 s and the second for 0 s
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When both are stopped and the first gets queries until it refuses them
    Then it has answered every query in full until it refused one with "stopping"
    And both have stopped with exit code 0 and without a wait that timed out

  Scenario: An entry host whose port is in use reports a remedy and exits with code 2
    # Guards against a traceback, and against a host that listens on one port only.
    Given a port that another program uses
    When an entry host starts with this port as its --listen
    And an entry host starts with this port as its --forward-listen
    Then both have exited with 2, named the flag and said "choose another port"

  Scenario: An internal error ends only the request in which it occurs
    # Guards against a caller that waits forever after an invariant is violated.
    Given two requests, the first of which violates an invariant when its timer fires
    When their timers fire
    Then the first request fails with the violation and the second one finishes

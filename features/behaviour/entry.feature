Feature: Entry hosts answer each caller with its own complete answer

  Scenario: Hundreds of interleaved callers get their own answers, with exact coverage
    # Guards against answers of one request that reach another one, against
    # coverage that differs from what the searchers did, and against caps that
    # hold on each entry host but not over all of them.
    Given an entry tier of 3 hosts with 4 partitions of 3 searchers
    And the entry profile "rider-gate" with 2000 ms and coverage 0.5
    When 400 callers send interleaved queries under "rider-gate"
    Then at least 300 callers are answered, each with its own query echoed
    And some answers lack a partition, as their queries demand
    And every answer's coverage is that of the searchers' records
    And no searcher saw more than its slots or half of its connections

  Scenario: Bad input gets a typed refusal and costs nobody else anything
    # Guards against a traceback, a closed connection or a wrong "run" for input
    # of any kind, and against requests that run although they were refused.
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
    And announcements with wrong fields are refused with what to do

  Scenario: A planned stop of an entry host and of searchers under load loses no request
    # Guards against a stop that cuts off requests, forwarded sub-requests or the
    # searchers' connections, also when the signal comes twice.
    Given an entry tier of 3 hosts with 2 partitions of 2 searchers
    And 2 more searchers of each partition in a process of their own
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When callers send queries to ready hosts while one host and those searchers stop
    Then both stop with exit code 0
    And every caller got a full answer, or was told to ask another host

  Scenario: A planned stop of all entry hosts under load cuts off no request
    # Guards against a host that releases its searchers while another one still has
    # requests for them, and against a wait for a handover that cannot happen.
    Given an entry tier of 3 hosts with 2 partitions of 2 searchers
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When callers send queries to ready hosts while all hosts stop
    Then every host has stopped with exit code 0 and waited for no handover in vain
    And every caller was answered in full, told to ask another host, or came too late

  Scenario: A stopping host serves another one that still takes requests
    # Guards against a host that takes a stop of all hosts for one in which nobody
    # needs its searchers any more.
    Given 2 entry hosts of which the first drains for 2 s and the second for 0 s
    And the entry profile "rider-gate" with 3000 ms and coverage 1.0
    When both are stopped and the first gets queries until it refuses them
    Then it has answered every query in full until it said "stopping"
    And both have stopped with exit code 0 and waited for no handover in vain

  Scenario: An entry host whose port is in use says what to do and exits with 2
    # Guards against a traceback, and against a host that serves on one port only.
    Given a port that another program uses
    When an entry host starts with this port as its --listen
    And an entry host starts with this port as its --forward-listen
    Then both have exited with 2, named the flag and said "choose another port"

  Scenario: A fault of the program ends the request that met it and no other
    # Guards against a caller that waits for ever after a violated invariant.
    Given two requests of which one meets a violated invariant in its timer
    When their timers fire
    Then the one fails with the violation and the other one finishes

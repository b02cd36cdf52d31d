Feature: An owner's queue serves profiles by weight and only for its own epoch

  Scenario: Two busy profiles with weights 3 and 1 share the slots 3 to 1
    # Guards against one profile that takes all slots when both have a backlog.
    Given an owner queue with 1 slot and weights 3 for "a" and 1 for "b"
    When 40 sub-requests of each of "a" and "b" wait and 40 exchanges finish
    Then 29 to 31 of the started exchanges were for "a"

  Scenario: Non-idempotent sub-requests of a profile start in the order of arrival
    # Guards against an order or booking that overtakes an earlier one.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When 20 non-idempotent sub-requests of "a" with falling deadlines are sent
    Then they start in the order of their arrival

  Scenario: A sub-request for an earlier ownership epoch is returned as not sent
    # Guards against an owner that sends for a host with an old ownership map.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When a sub-request for epoch 0 arrives
    Then it is returned as not sent because of "not_owner"

  Scenario: Probes for silent connections stay within the profile's extra load
    # Guards against probes that come on top of the load that operators allow.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 2 probes
    When 10 sub-requests of "a" in turn get no byte until their deadline
    Then 2 probes have been sent for "a"
    And 2 sub-requests were closed as silent and 8 reached their deadline

  Scenario: A refused connection takes nothing from the extra load
    # Guards against a searcher that is down using up the hedges of a profile.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 1 probe
    When the searcher refuses every connection for 5 s of requests of "a"
    Then the extra-load budget of "a" still has room for 1 probe

  Scenario: A searcher that may not be probed is tried again with one sub-request
    # Guards against a searcher that is never used again after a fault, because
    # its requests are all refused and so make no room for a probe.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 0 probes
    When the searcher refuses every connection for 5 s of requests of "a"
    And it takes connections again
    Then the next sub-request of "a" within 1 s is started

  Scenario: A connection that goes silent while its sub-request runs is found later
    # Guards against an exchange that is believed for good once the searcher has said
    # that it runs, and against a probe for each interval of a long one.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 100 probes
    When the answer to a sub-request of "a" that runs for 3 s is lost
    Then it is closed as silent after 3 s and before 6.5 s
    And at most 7 probes have been sent

  Scenario: A cancelled exchange keeps its slot until it has ended
    # Guards against a searcher that runs more sub-requests than it has slots,
    # since a cancellation takes one hop to reach it.
    # Mutation: OwnerQueue.cancel forgets the running exchange.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When a running sub-request is cancelled while another one waits
    Then the other one starts only when the cancelled exchange has ended

  Scenario: Stragglers that are cancelled soon stop looking silent
    # Guards against a probe for each straggler, which takes the room of a hedge.
    # Mutation: OwnerQueue._observe_outcome takes nothing from a cancelled exchange.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 100 probes
    When 40 sub-requests of "a" in turn are cancelled after 0.3 s
    Then at most 4 probes have been sent

  Scenario: A deadline that passes at a searcher that replies calls for no probe
    # Guards against a probe for each straggler with a deadline below the threshold
    # for silence, which takes the room of a hedge.
    # Mutation: SilenceDetector.no_recent_reply is always true.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 100 probes
    When 20 times a sub-request of "a" is answered and the next gets no byte for 0.1 s
    Then at most 0 probes have been sent

Feature: An owner's queue serves profiles by weight and only for its ownership epoch

  Scenario: Two busy profiles with weights 3 and 1 share the slots 3 to 1
    # Guards against one profile taking all slots while both have a backlog.
    Given an owner queue with 1 slot and weights 3 for "a" and 1 for "b"
    When 40 sub-requests of each of "a" and "b" wait and 40 exchanges finish
    Then 29 to 31 of the started exchanges were for "a"

  Scenario: Non-idempotent sub-requests of a profile start in the order of arrival
    # Guards against a non-idempotent request that overtakes an earlier one.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When 20 non-idempotent sub-requests of "a" with falling deadlines are sent
    Then they start in the order of their arrival

  Scenario: A sub-request for an earlier ownership epoch is returned as not sent
    # Guards against an owner that sends for a host with an outdated ownership map.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When a sub-request for epoch 0 arrives
    Then it is returned as not sent because of "not_owner"

  Scenario: Probes for silent connections stay within the profile's extra load
    # Guards against probes that are not counted in the extra load that operators
    # allow.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 2 probes
    When 10 sub-requests of "a" in turn get no byte until their deadline
    Then 2 probes have been sent for "a"
    And 2 sub-requests were closed as silent and 8 reached their deadline

  Scenario: A refused connection takes nothing from the extra load
    # Guards against a searcher that is down using up the hedging budget of a profile.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 1 probe
    When the searcher refuses every connection for 5 s of requests of "a"
    Then the extra-load budget of "a" still has room for 1 probe

  Scenario: Without budget for a probe, one sub-request tries a searcher again
    # Guards against a searcher that is never used again after a fault: its requests
    # are all refused, so they add no budget for a probe.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 0 probes
    When the searcher refuses every connection for 5 s of requests of "a"
    And it accepts connections again
    Then the next sub-request of "a" within 1 s is started

  Scenario: A connection that goes silent while its sub-request runs is detected later
    # Guards against an exchange that is never probed again once the searcher has
    # reported it as running, and against a probe in each interval of a long one.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 100 probes
    When the answer to a sub-request of "a" that runs for 3 s is lost
    Then it is closed as silent after 3 s and before 6.5 s
    And at most 7 probes have been sent

  Scenario: A cancelled exchange keeps its slot until it has ended
    # Guards against a searcher that runs more sub-requests than it has slots: a
    # cancellation takes one hop to reach it.
    # Mutation: OwnerQueue.cancel forgets the running exchange.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When a running sub-request is cancelled while another one waits
    Then the other one starts only when the cancelled exchange has ended

  Scenario: Cancelled stragglers soon raise the threshold for silence
    # Guards against a probe for each straggler, which uses up budget for hedges.
    # Mutation: OwnerQueue._observe_outcome ignores the time of a cancelled exchange.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 100 probes
    When 40 sub-requests of "a" in turn are cancelled after 0.3 s
    Then at most 4 probes have been sent

  Scenario: A missed deadline triggers no probe while the searcher replies
    # Guards against a probe for each straggler with a deadline below the threshold
    # for silence, which uses up budget for hedges.
    # Mutation: SilenceDetector.no_recent_reply is always true.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    And the extra-load budget of "a" has room for 100 probes
    When 20 times a sub-request of "a" is answered and the next gets no byte for 0.1 s
    Then at most 0 probes have been sent

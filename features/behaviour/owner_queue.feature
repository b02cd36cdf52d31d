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

  Scenario: A cancelled exchange keeps its slot until it has ended
    # Guards against a searcher that runs more sub-requests than it has slots,
    # since a cancellation takes one hop to reach it.
    # Mutation: OwnerQueue.cancel forgets the running exchange.
    Given an owner queue with 1 slot and weights 1 for "a" and 1 for "b"
    When a running sub-request is cancelled while another one waits
    Then the other one starts only when the cancelled exchange has ended

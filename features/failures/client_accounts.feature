Feature: Keys of client accounts under faults of processes and links, and across releases

  Scenario: A request that is passed on keeps its account and not its key
    # Guards against a key that crosses the network between hosts, against requests that
    # change their account at a helper, and against quarantines that differ.
    Given 2 entry hosts with accounts that help each other
    When host 1 reaches no searcher and passes requests on
    Then searchers got the account "acme" and no key, on each call
    And the helper got the account in both headers and no key
    And both hosts computed the same fingerprint
    And a request with an unknown key to host 1 gets 401 and is not passed on
    And no log line has a key

  Scenario: An anonymous request that is passed on has no account
    # Guards against a helper that refuses a request whose host has checked it, and
    # against an account that the caller has made up.
    Given 2 entry hosts with accounts that help each other
    When host 1 reaches no searcher and passes on anonymous requests
    Then searchers got the account "" and no key, on each call
    And both hosts computed the same fingerprint

  Scenario Outline: A request that <host> passes on with <credentials> gets <status>
    # Guards against a host of an earlier release, which checks no keys, whose callers
    # need none at a helper, and against names that the helper does not expect.
    Given 2 entry hosts with accounts that help each other
    When <host> passes a request on to host 1 with <credentials>
    Then the caller gets <status>
    And the searchers' calls have the account "<account>" and no key

    Examples:
      | host                    | credentials                           | status | account |
      | a host of a72f0ac       | a valid key                           | 200    | acme    |
      | a host of a72f0ac       | a valid key and an account of its own | 200    | acme    |
      | a host of a72f0ac       | no Authorization                      | 401    |         |
      | a host of a72f0ac       | an unknown key                        | 401    |         |
      | a host with "acme"      | no Authorization                      | 200    | acme    |
      | a host with "acme"      | only an account of its own            | 200    | acme    |
      | a host with "removed"   | no Authorization                      | 200    | removed |
      | a host with ""          | no Authorization                      | 200    |         |
      | a host with ""          | only an account of its own            | 200    |         |

  Scenario: A host that has no accounts yet leaves the check to its helper
    # Guards against a host that declares a key checked which it has not checked.
    Given 2 entry hosts with accounts that help each other
    When a host without accounts passes a request with a key on
    Then the message has the key, and does not state an account

  Scenario: A caller cannot state an account by the headers between hosts
    # Guards against the header of the listener for hosts on that for callers.
    Given 2 entry hosts with accounts that help each other
    When a caller of host 1 sends the header of relayed accounts without a key
    Then the caller gets 401

  Scenario: A host of an earlier release gets no configuration with accounts
    # Guards against a host that serves such a configuration without checking keys.
    Given a control group of 1 replicas for routed requests
    And configuration 1 was acknowledged
    Then a poll without knowledge of accounts gets version 1
    When configuration 2 with accounts is acknowledged
    Then 3 polls without knowledge of accounts get no configuration, which is logged once
    And a poll with knowledge of accounts gets version 2
    When configuration 3 is acknowledged
    Then a poll without knowledge of accounts gets version 3

  Scenario: A host that restarts and reaches only a stale replica waits
    # Guards against a revoked key that is accepted since a replica without contact to its
    # group still has an old configuration.
    Given a control group of 3 replicas for routed requests
    And configuration 2 with accounts is acknowledged and in force on a host
    When one replica misses configuration 3 with another key and is alone
    And a host starts that knows only this replica
    Then the other host replies 503 to both keys, and the running host keeps configuration 3
    When the other replicas are back
    Then both hosts accept the new key, and reply 401 to the old one

  Scenario: Without accounts a host starts with what a stale replica has
    # Guards against hosts that wait for a leader although no key can have been revoked.
    Given a control group of 3 replicas for routed requests
    And configuration 2 was acknowledged
    When all replicas but one are stopped and that one is alone
    Then a poll with knowledge of accounts gets version 2

  Scenario: A replica that was suspended knows no leader until it has heard one
    # Guards against a stale configuration in the first reply after a suspension, before
    # any timer has run.
    Given a control group of 3 replicas for routed requests
    Then each replica knows a leader now, and none 1.0 s after its last event

  Scenario: Files with configurations can be read by their owner only
    # Guards against keys that other users of the machine can read.
    Given a control group of 1 replicas for routed requests
    And configuration 2 with accounts is acknowledged
    Then each file of the replica has mode 0600 and each new folder 0700

  Scenario: A file of an earlier release is restricted when it is used again
    # Guards against keys that are appended to a file which others can read.
    Given a control group of 1 replicas for routed requests
    And configuration 1 was acknowledged
    When the replica restarts with files of mode 0640
    And configuration 2 with accounts is acknowledged
    Then each file that has a key has mode 0600

  Scenario: The command shows digests, and keys only if asked
    # Guards against keys in the terminals and tickets of operators.
    Given a control group of 1 replicas for routed requests
    And configuration 2 with accounts is acknowledged
    When the command shows the configuration with digests
    Then it prints the digests of the keys and no key
    And what it has printed is refused as a configuration
    When the command shows the configuration with keys
    Then it prints what was sent

  Scenario: A malformed request with a key leaves no key in the log of the program
    # Guards against the HTTP library, which writes the value of an invalid header.
    Given the program of an entry host
    When callers send it malformed requests with a key
    Then its output has no key

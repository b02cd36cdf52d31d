Feature: Requests carry the key of a client account, and searchers get its name

  Scenario Outline: A request with <credentials> is refused at once
    # Guards against searchers that work for a caller without a valid key, and against
    # a log line from which the key can be read.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When a caller sends POST "/card/x" with <credentials>
    Then the caller gets 401 with WWW-Authenticate "Bearer"
    And no searcher got the request
    And it is logged and counted as <outcome>, without a key

    Examples:
      | credentials                     | outcome       |
      | no Authorization                | key_missing   |
      | an empty Authorization          | key_malformed |
      | an empty key                    | key_malformed |
      | a key without a scheme          | key_malformed |
      | another scheme                  | key_malformed |
      | a key with a byte beyond ASCII  | key_malformed |
      | a key and more                  | key_malformed |
      | a valid key twice               | key_malformed |
      | two valid keys                  | key_malformed |
      | an unknown key                  | key_unknown   |
      | a key in capitals               | key_unknown   |
      | a key of 8192 characters        | key_unknown   |

  Scenario Outline: A request with <credentials> runs, and only the name is forwarded
    # Guards against searchers that learn keys, or that cannot tell accounts apart.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When a caller sends POST "/card/x" with <credentials>
    Then the caller gets 200
    And searchers got the account "acme" and no key, on 1 call
    And its log line has the account "acme", and no line has a key

    Examples:
      | credentials                        |
      | a valid key                        |
      | a valid key and names in lowercase |
      | a valid key and names in capitals  |
      | a valid key and an account of its own |

  Scenario Outline: On an anonymous route <credentials> identifies <account>
    # Guards against a refusal on a route that needs no key, and against a name that the
    # caller has made up.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When a caller sends GET "/open/x" with <credentials>
    Then the caller gets 200
    And searchers got the account "<account>" and no key, on 1 call
    And its log line has the account "<account>", and no line has a key

    Examples:
      | credentials                           | account |
      | a valid key                           | acme    |
      | a valid key and an account of its own | acme    |
      | no Authorization                      |         |
      | an unknown key                        |         |
      | another scheme                        |         |
      | a valid key twice                     |         |
      | only an account of its own            |         |

  Scenario: Without accounts nothing changes but the header of accounts
    # Guards against a tier without accounts that refuses requests, or that lets callers
    # name an account to searchers.
    Given a routed tier with a searcher "s-1" of "cards"
    When a caller sends POST "/card/x" with a valid key and an account of its own
    Then the caller gets 200
    And searchers got the account "" and the caller's Authorization
    And its log line has no account

  Scenario Outline: A key is not forwarded on <calls>
    # Guards against a key on the calls that follow the first one.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    And searchers of which <fault>
    When callers send GET "<target>" with a valid key until there were <calls>
    Then searchers got the account "acme" and no key, on each call

    Examples:
      | calls   | fault                  | target   |
      | repeats | one resets connections | /read/x  |
      | hedges  | one never answers      | /read/x  |
      | gathers | all answer             | /all/x   |

  Scenario: A request without a route gets 404, and a host without a configuration 503
    # Guards against a 401 that tells a caller to change its key when the host or the path
    # is at fault.
    Given a routed tier without a configuration
    When a caller sends GET "/elsewhere/x" with an unknown key
    Then the caller is refused with 503 and told when to retry
    When accounts "acme" and "omni" get the keys "key-acme-1" and "key-omni-1"
    And a caller sends GET "/elsewhere/x" with an unknown key
    Then the caller gets 404

  Scenario: The refusal does not wait for the body, which is not kept
    # Guards against memory and time for the bodies of callers without a key, and against
    # a connection that cannot be used after a refusal.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When a caller without a key sends the head of a request, and its body once it has 401
    Then the host has kept no byte of the body
    And a request with a valid key on the same connection gets 200

  Scenario: A caller that waits for permission to send its body gets 401 and nothing else
    # Guards against an interim reply after the final one, and a body that nobody reads.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When a caller without a key asks whether to send its body
    Then it reads 401 with Connection close, and the end of the connection

  Scenario: A key that is moved or withdrawn is so on every host
    # Guards against a host that goes on with the keys of an earlier version.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    And a second entry host
    When accounts "acme" and "omni" get the keys "key-acme-2" and "key-acme-1"
    Then on each host "key-acme-1" is a key of "omni", "key-acme-2" of "acme", and "key-omni-1" gets 401

  Scenario: Accounts that come into force while a body arrives apply to the request
    # Guards against a request that is checked by a configuration no longer in force.
    Given a routed tier with a searcher "s-1" of "cards"
    When a caller without a key sends a body in whose middle accounts come into force
    Then the caller gets 401 with WWW-Authenticate "Bearer"
    And no searcher got the request

  Scenario: A key that is withdrawn while a body arrives is no longer valid
    # Guards against a check of the head that outlives its configuration.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When a caller sends a body in whose middle its key is withdrawn
    Then the caller gets 401 with WWW-Authenticate "Bearer"
    And no searcher got the request

  Scenario: An account is removed while its request runs
    # Guards against a running request that fails with its account.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When the account "acme" is removed while its request runs
    Then the caller gets 200

  Scenario: An account's priority comes before that of the route
    # Guards against an urgent account that waits behind others on a route of low priority.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    And the account "omni" has the priority -1
    When requests of "acme" and then of "omni" wait for a searcher that has no room
    Then the request of "omni" is sent first

  Scenario: Accounts share no quarantine, and the keys of one account do
    # Guards against a caller that shuts another one out, or that escapes a quarantine
    # with its second key.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1,key-acme-2" and "key-omni-1"
    Then the fingerprint of a request is the same with "key-acme-1" and "key-acme-2", and another with "key-omni-1"

  Scenario: 10000 accounts with 50000 keys are put in force
    # Guards against a limit of a message or of time that such a document exceeds.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When 10000 accounts with 50000 keys are published
    Then the last key of the last account gets 200, and "key-acme-1" 401

  Scenario Outline: A refused configuration with <fault> is answered without its keys
    # Guards against keys in replies to operators and in the log lines of control.
    Given a tier whose accounts "acme" and "omni" have the keys "key-acme-1" and "key-omni-1"
    When an operator sends accounts with <fault>
    Then control replies 400 without any key, and no line has a key

    Examples:
      | fault                     |
      | a key of two accounts     |
      | a key with a space        |
      | a key of 8192 characters  |
      | a burst without a rate    |

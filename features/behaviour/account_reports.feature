Feature: Operators see the client accounts over all hosts

  Scenario: Each replica leads to the accounts of the configuration, with digests of keys
    # Guards against keys in an operator's output, and against a replica that does not lead
    # and answers from what it knows itself.
    Given a control group of 3 replicas for routed requests
    And a configuration 5 with the accounts "acme" and "globex" was acknowledged
    When the accounts are read from each replica
    Then each answer has version 5 and the accounts "acme, globex" without reports of hosts
    And each answer has the quota and the digest of the key of "acme", and no key
    And a replica that does not lead has redirected the reader

  Scenario: The command shows what the leader's service reports, the worst first
    # Guards against a command that hides the account which is refused most.
    Given a control group of 3 replicas for routed requests
    And a configuration 5 with the accounts "acme" and "globex" was acknowledged
    And the service of each replica reports
      | name    | asked | served | over_quota | no_room | age_ms |
      | small   | 1.0   | 1.0    | 0.0        | 0.0     | 200    |
      | large   | 90.0  | 89.0   | 0.0        | 1.0     | 210    |
      | limited | 30.0  | 10.0   | 20.0       | 0.0     | 220    |
      | silent  | 0.0   | 0.0    | 0.0        | 0.0     |        |
    When the command shows accounts with ""
    Then it ends with 0 and shows the accounts "limited, large, small, silent"
    And it ends with 0 and "121.0 asked/s, 21.0 refused/s"
    And the line of "large" has the words "90.0 89.0 89% 0.0 1.0"
    And the line of "silent" has no figures of requests
    When the command shows accounts with "--top 1"
    Then it ends with 0 and shows the accounts "limited"
    And it ends with 0 and "121.0 asked/s, 21.0 refused/s"
    When the command shows accounts with "--account small"
    Then it ends with 0 and shows the accounts "small"
    When the command shows accounts with "--json --top 2"
    Then it ends with 0 and prints the rows "limited, large" of version 5

  Scenario: The command ends with its own code when it has no accounts to show
    # Guards against an empty table, and against an unknown outcome that looks like one.
    Given a control group of 3 replicas for routed requests
    When the command shows accounts with ""
    Then it ends with 6 and "No leader replied"
    Given configuration 3 was acknowledged
    When the command shows accounts with ""
    Then it ends with 0 and "version 3: the configuration has no accounts"
    When the command shows accounts with "--json"
    Then it ends with 0 and prints the rows "" of version 3
    When the command shows accounts with "--account acme"
    Then it ends with 3 and "no account 'acme'"
    When the command shows accounts with "--top 0"
    Then it ends with 2 and "--top"

  Scenario: A reply that is no report is not shown
    # Guards against a trace, or an empty table, for what another program replies.
    Given a control replica that replies with status "200"
    When the command asks it for accounts
    Then it ends with 6 and "unreadable"

Feature: Only a leader that a majority has just confirmed grants permits

  Background:
    Given an account service of a replica that leads in term 3, with an account "acme"

  Scenario: A confirmation is used for 150 ms from its start, and then made again
    # Guards against a leader that has been replaced and still grants.
    When a host reports at 0, 0.14 and 0.16 s
    Then leadership was confirmed 2 times
    And each reply has the ledger of term 3

  Scenario: A slow confirmation counts from its start
    # Guards against a leader that was suspended while it was being confirmed.
    When leadership is confirmed only after 0.2 s while a host reports
    Then the reply has no ledger and no grants

  Scenario Outline: Without a confirmation there is no grant, <case>
    # Guards against two leaders that grant at the same time.
    When a host reports to a replica that <case>
    Then the reply has no ledger and no grants
    And it names <leader>

    Examples:
      | case                    | leader            |
      | follows another one     | the other replica |
      | is refused confirmation | no leader         |
      | is not started yet      | no leader         |

  Scenario: A new term begins a new ledger
    # Guards against tokens and permits of an earlier term in a later one.
    When a host reports, and again after the replica has led in term 5
    Then the ledgers of the replies differ
    And the second ledger has empty buckets

  Scenario: Accounts are decoded once for each committed document
    # Guards against a leader that decodes thousands of accounts for each report.
    When a host reports 20 times, and a new document is committed in between
    Then documents were decoded 2 times

  Scenario: A document that cannot be read changes nothing
    # Guards against accounts without quotas since another release wrote the document.
    When a document that cannot be read is committed and a host reports
    Then the ledger still has the quota of "acme", and a line tells it

  Scenario: A report reaches the fair shares once, and their decision reaches the host
    # Guards against figures that count twice and shares that are lost on the way.
    When a host sends one report twice while "acme" is to get 0.4 of its requests
    Then the uses were passed on once
    And both replies have a share of 0.4

Feature: Client accounts share capacity that does not suffice for all

  Scenario: An account that asks for little gets all of it
    # Guards against shares in proportion to demand, with which a large account takes
    # from all others.
    When accounts that ask for 1, 4 and 95 requests a second share 30
    Then the shares are 1, 1 and about 0.263

  Scenario: The less urgent accounts keep a part while urgent ones ask for everything
    # Guards against priorities that starve the less urgent ones.
    When an urgent account that asks for 100 and another that asks for 100 share 100 a second
    Then the urgent account is served most and the other at least a quarter as often as all

  Scenario Outline: Shares never exceed the capacity and none is starved, seed <seed>
    # Guards against rounding or orders of accounts for which the shares add up wrongly.
    When <count> accounts of random size and priority share a random capacity, seed <seed>
    Then the shares use the capacity and no more
    And every account gets at least a quarter of the share of all

    Examples:
      | count | seed |
      | 1     | 1    |
      | 2     | 2    |
      | 71    | 3    |
      | 500   | 4    |

  Scenario: Without a shortage every account gets all
    # Guards against shares below 1 from a few failed requests.
    Given a leader that hosts report to
    When for 10 s hosts report 100 requests a second of which 0.05 lack room
    Then the leader's share of the account is 1

  Scenario: A shortage ends once everything is served again
    # Guards against shares that stay below 1, and against those that end at once.
    Given a leader that hosts report to
    When for 10 s hosts report 100 requests a second of which 0.4 lack room
    Then the leader's share of the account is below 0.8
    When for 1 s hosts report what the share admits as served
    Then the leader's share of the account is below 0.9
    When for 30 s hosts report what the share admits as served
    Then the leader's share of the account is 1

  Scenario: The totals forget accounts and hosts that are silent
    # Guards against memory that grows with hosts and accounts that are gone.
    Given totals by account
    When 40 hosts report 300 accounts at second 0
    Then the totals have 300 accounts with 40 hosts each
    When 1 hosts report 1 accounts at second 30
    Then the totals have 1 accounts with 1 hosts each
    And the totals know 1 hosts

  Scenario: Requests of an account are admitted in proportion to its share
    # Guards against coin flips, with which small accounts are refused by bad luck.
    When a host decides on 100 requests of one priority at the share 0.3
    Then 29 to 32 of any 100 in a row are admitted and never 4 in a row refused

  Scenario: Urgent requests of an account are admitted first and the others keep a part
    # Guards against a burst of the least urgent requests that takes the account's share.
    When a host decides on 200 requests of each of 3 priorities at the share 0.4
    Then the urgent ones are admitted most and each priority at least 20 times

  Scenario: An account over its share is told to come later than one within it
    # Guards against retries of a large account that fill what others need, and against
    # refused callers that come back all at once.
    When 100 callers of accounts at the shares 1, 0.5 and 0.1 are refused
    Then each account is told to come later than the one before
    And no two callers of an account are told the same time
    And a caller that has waited is told to come earlier

  Scenario: A host without word of the leader shares by its own counts
    # Guards against hosts that admit everything while control is out of reach.
    Given a host with two accounts and no leader
    When half of the requests lack room for 30 s, of which one account sends 9 in 10
    Then the host admits less than 0.9 of the large account and all of the small one

  Scenario: The word of the leader counts, and only while it is recent
    # Guards against a share that stays in force after the leader is lost.
    Given a host with two accounts and no leader
    When the leader states the share 0.2 for an account
    Then the host's share of the account is 0.2
    And 4 s later the host's share of the account is 1

  Scenario: Requests wait by priority, then by what their account had, then by arrival
    # Guards against a large account whose waiting requests delay those of all others.
    Given a host with two accounts and no leader
    And one account had 5 requests admitted
    When its 2 requests, 2 of the other account and an urgent one wait for room
    Then they are tried in the order urgent, other, other, first, first

  Scenario: The queue for room is bounded and keeps the requests that come first
    # Guards against a queue that grows without bound, and against one that a large
    # account fills.
    Given a host with two accounts and no leader
    And one account had 5 requests admitted
    When 256 of its requests and then one of the other account wait for room
    Then one request of the first account is refused at once as the queue is full
    And a further request of the first account is refused at once

  Scenario: A request that cannot be served before its deadline does not wait
    # Guards against callers that wait for a refusal which is known at once.
    Given a host with two accounts and no leader
    When 40 requests wait for a searcher that works 0.1 s and has room for 2
    Then a request with 1 s left is refused at once

  Scenario Outline: Accounts share what is served under the load "<load>"
    # Guards against an account or a kind of request that takes the capacity of others.
    When callers of 71 accounts send the load "<load>" for 20 s, seed <seed>, with sharing and without
    Then every account is served at least a quarter as often as all requests
    And no account below its fair share is refused for its share
    And every priority is served at least a quarter as often as all requests
    And at least as much is served as without sharing, within 0.01

    Examples:
      | load                   | seed |
      | hot                    | 1    |
      | burst                  | 1    |
      | lost-shard             | 1    |
      | hot-and-lost-shard     | 1    |
      | burst-and-repeats      | 1    |
      | repeats-and-lost-shard | 1    |

  Scenario: Callers that repeat at once do not take what other accounts need
    # Guards against retries that count for nobody.
    When callers of 71 accounts send the load "repeats" for 20 s, seed 1, with sharing and without
    Then every account is served at least a quarter as often as all requests
    And no account below its fair share is refused for its share
    And every priority is served at least a quarter as often as all requests

  Scenario: Sharing costs nothing while callers repeat at once
    # Guards against refusals of requests that would have been served in the end.
    When callers of 71 accounts send the load "repeats" for 20 s, seed 1, with sharing and without
    Then at least as much is served as without sharing, within 0.01

  Scenario: Hosts without a leader still share between accounts
    # Guards against hosts that admit everything while control is out of reach; fails
    # with sharing switched off.
    When callers of 71 accounts send the load "hot-and-lost-shard" for 20 s, seed 1, without a leader
    Then every account is served at least a quarter as often as all requests
    And the worst tenth of the accounts is served at least 1.5 times as often as without sharing

  Scenario Outline: The worst tenth of accounts is served better with sharing than without, "<load>"
    # Fails with sharing switched off: then both shares are the same.
    When callers of 71 accounts send the load "<load>" for 20 s, seed <seed>, with sharing and without
    Then the worst tenth of the accounts is served at least <factor> times as often as without sharing

    Examples:
      | load                   | seed | factor |
      | hot                    | 1    | 1.5    |
      | hot-and-lost-shard     | 1    | 1.5    |
      | repeats-and-lost-shard | 1    | 1.5    |

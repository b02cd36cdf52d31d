Feature: An account's quota holds over all hosts, whatever process is lost

  Background:
    Given a tier of 3 control processes and 2 entry hosts with accounts

  Scenario: An account over its quota gets 429 at both hosts, another is served
    # Guards against hosts that each admit the whole quota, against a refusal that does
    # not say when to come back, and against one account that pays for another.
    When "small" and "large" send 100 requests each to both hosts in turn
    Then searchers have run at most the bound of "small" in any window
    And the others of "small" got 429 with Retry-After at once
    And no request of "large" was refused but for want of a reply of the leader
    And a line of a refused request names its account, permits, leader's age and ledger
    And the leader logs once that the quota of "small" is exhausted

  Scenario: A killed leader costs no request within the quota, and the bound holds
    # Guards against hosts that stop with the leader, and against a new one that grants
    # what the old one has granted.
    Given "large" has been served at both hosts for a while
    When the leader is killed while "small" and "large" send requests to both hosts
    Then another leader has begun a ledger, which hosts use
    And searchers have run at most the bound of "small" in any window
    And at least 0.8 of the requests of "large" got 200
    And requests of "large" get 200 again

  Scenario: A frozen leader grants nothing when it goes on
    # Guards against two leaders that grant at the same time.
    Given "large" has been served at both hosts for a while
    When the leader is frozen until another one has begun a ledger
    Then the frozen leader names the other one when it goes on

  Scenario: With all of control killed hosts go on with what is reserved, then refuse
    # Guards against hosts without a leader that refuse at once, or admit for ever.
    Given "large" has been served at both hosts for a while
    When all of control is killed while "large" sends requests to both hosts
    Then some requests of "large" get 200 after more than 1 s without a leader
    And in the end "large" gets 429
    And each host has logged that it lost the leader once

  Scenario: A request that no searcher has got gives its permit back
    # Guards against a quota that is used up by requests which the tier refuses.
    When "small" sends 100 requests to a service without searchers
    Then none of them got 429
    When a searcher of that service starts
    Then "small" gets 200 from it

  Scenario: A caller that leaves while it waits for a permit is dropped
    # Guards against requests that run for callers that are gone.
    When the leader is frozen, and a caller of "fresh" leaves while it waits
    Then no request waits at the host
    And no searcher has got a request of "fresh"

  Scenario: Hosts report nothing while the configuration has no accounts
    # Guards against messages that a deployment without accounts has to pay for.
    When a configuration without accounts is in force
    And requests without an account have been served
    Then the hosts have sent no further report

  Scenario: The leader counts what hosts report, also of accounts without a quota
    # Guards against figures of accounts that lack a host, or an account.
    When "free" sends 10 requests to each host
    Then the hosts report 20 requests of "free", of which 20 were served

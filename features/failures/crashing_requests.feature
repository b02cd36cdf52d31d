Feature: A request that ends the searchers that run it is soon sent to none

  Background:
    Given 3 entry hosts and 3 replicas of control

  Scenario: Repeats of a request that ends searchers of a service stop at all hosts
    # Guards against a caller that takes down one searcher after the other.
    Given 4 searchers of each service of a single route that a request to its path "x" ends
    When a caller sends that request 60 times within 6 s, to the hosts in turn
    Then 3 searchers have ended at least
    And at most 3 arrivals of it are later than 4 s after the third end
    And no host has answered it with a 4xx status

  Scenario: Repeats of a request that ends searchers of all shards stop at all hosts
    # Guards against repeats by shard, each of which has its own attempts.
    Given 4 searchers of each service of a gathered route that a request to its path "x" ends
    When a caller sends that request 60 times within 6 s, to the hosts in turn
    Then 3 searchers have ended at least
    And at most 3 arrivals of it are later than 4 s after the third end
    And no host has answered it with a 4xx status

  Scenario: An operator finds the request and has it sent again
    # Guards against a quarantine that only time can end.
    Given 4 searchers of each service of a single route that a request to its path "x" ends
    When a caller sends that request to the hosts in turn until each one has refused it
    Then each replica lists it as quarantined
    When the searchers are mended and the command lifts what it lists as quarantined
    Then each host answers the request with 200

  Scenario: The command refuses what is no fingerprint
    # Guards against a mistyped fingerprint that is acknowledged.
    When the command lifts "not-a-fingerprint"
    Then it ends with 2 and "is not a fingerprint"

  Scenario: A host that starts anew refuses a quarantined request
    # Guards against a restart after which one host sends the request again.
    Given 4 searchers of each service of a single route that a request to its path "x" ends
    When a caller sends that request to the hosts in turn until each one has refused it
    And another host starts
    Then it refuses the request and no searcher gets it

  Scenario: Harmless requests beside it are answered
    # Guards against a quarantine of requests that ran on the searchers when they ended.
    Given 4 searchers of each service of a gathered route that a request to its path "x" ends
    When a caller sends that request to the hosts in turn until each one has refused it
    And the searchers are up again
    Then 50 other requests to the hosts are answered with 200

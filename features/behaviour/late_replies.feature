Feature: Replies of control that come late

  Scenario: A host takes a configuration from replicas that all reply later than a poll waits
    # Guards against hosts that keep an old configuration while they, their link or control are slow.
    Given a replica that replies to each poll after 1.2 s
    When a host polls it
    Then the host gets the configuration of the replica

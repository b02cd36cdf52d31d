Feature: Replies of control that come late

  Scenario: A host takes a configuration from replicas that all reply later than a poll waits
    # Guards against hosts that keep an old configuration while they, their link or control are slow.
    Given a replica that replies to each poll after 1.2 s
    When a host polls it
    Then the host gets the configuration of the replica

  Scenario: A connection that was accepted while the caller was late is used
    # Guards against an overloaded host that dials anew each time and never polls.
    Given a replica that replies to each poll after 0.0 s
    When a host calls it and is suspended for 0.5 s while the connection is accepted
    Then the host gets a reply

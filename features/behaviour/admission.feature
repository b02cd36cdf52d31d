Feature: Host admission divides an overloaded tier between profiles

  Scenario: A profile within its share keeps its requests while another one floods
    # Guards against a flood that takes the other profiles' share, also in the
    # moments in which the queues leave no room for anybody.
    # Mutation: HostAdmission._update_shares grants no profile its rate by the usual load.
    Given host admission with queues that swing between empty and full
    When "flood" sends 25 requests for each one of "steady" during 20 seconds
    Then at least 95% of the requests of "steady" are admitted
    And at most 60% of the requests of "flood" are admitted

  Scenario: The profile that offers most is refused when the queues are full
    # Guards against a protected share that keeps an overloaded tier overloaded.
    # Mutation: the profile with the most demand is protected as well.
    Given host admission with queues that stay full
    When "flood" sends 25 requests for each one of "steady" during 20 seconds
    Then at most 1% of the requests of "flood" are admitted

Feature: Host admission divides an overloaded tier between profiles

  Scenario: A profile within its share is admitted while another one floods the tier
    # Guards against a flood of one profile that takes the share of the others, also
    # at the moments at which the queues are full.
    # Mutation: HostAdmission._update_shares grants no profile its full rate for being
    # within its share of the mean admitted rate.
    Given host admission with queues that alternate between empty and full
    When "flood" sends 25 requests for each one of "steady" during 20 seconds
    Then at least 95% of the requests of "steady" are admitted
    And at most 60% of the requests of "flood" are admitted

  Scenario: The profile with the most requests is refused while the queues stay full
    # Guards against a guaranteed share that keeps the tier overloaded.
    # Mutation: the profile with the highest demand is also granted its rate.
    Given host admission with queues that stay full
    When "flood" sends 25 requests for each one of "steady" during 20 seconds
    Then at most 1% of the requests of "flood" are admitted

Feature: Answers to callers under load and searcher faults, simulated in virtual time

  Scenario Outline: Without faults nearly all answers are complete and in time
    # Guards against routing decisions that lose or delay answers when nothing fails;
    # the target is 99 in 100 in time.
    Given the deployment "<deployment>" with its usual load
    When it runs for 5 s of virtual time with seed 1 and the fault scenario "calm"
    Then at most 1 in 100 answers is late and none fails

    Examples:
      | deployment  |
      | kogi-basin  |
      | etain-grave |

  Scenario: Many hosts detect slow searchers although each gets few answers from them
    # Guards against hosts that each need many answers to detect a slow searcher: the
    # target on the grown deployment is 0.76 of the possible credit.
    Given the deployment "etain-grave-grown" with its usual load
    When it runs for 8 s of virtual time with seed 1 and the fault scenario "slow"
    Then callers get at least 0.76 of the possible credit

  Scenario Outline: Extra arrivals stay within the budget during faults
    # Guards against hedges and repeats that overload faulty searchers.
    Given the deployment "<deployment>" with its usual load
    When it runs for 5 s of virtual time with seed 2 and the fault scenario "<fault>"
    Then extra arrivals stay within the budget of the deployment

    Examples:
      | deployment  | fault    |
      | kogi-basin  | shedding |
      | etain-grave | dark     |

  Scenario Outline: Searchers that state a limit get what it allows and callers are served
    # Guards against requests beyond a limit, and against refusals while other searchers
    # of the shard have room.
    Given the deployment "<deployment>" with its usual load
    When it runs for 10 s of virtual time with seed 3 and the fault scenario "limited"
    Then every limited searcher stays within what its limit allows
    And callers get at least 0.95 of the possible credit

    Examples:
      | deployment        |
      | kogi-basin        |
      | etain-grave       |
      | etain-grave-grown |

  Scenario Outline: A request that ends searchers soon reaches none of a deployment
    # Guards against a request of one caller that takes the searchers of all others.
    Given the deployment "<deployment>" with its usual load
    When it runs for 8 s of virtual time with seed 2 and the fault scenario "ending"
    Then at least 3 searchers have ended
    And such a request arrives at most 3 times later than 4 s after the third end

    Examples:
      | deployment        |
      | kogi-basin        |
      | etain-grave       |
      | etain-grave-grown |

  Scenario: Searchers of a shard that all state limits get what these allow
    # Guards against requests beyond the limits when no other searcher is left.
    Given the deployment "etain-grave" with its usual load
    When it runs for 10 s of virtual time with seed 4 and the fault scenario "all-limited"
    Then every limited searcher stays within what its limit allows
    And more urgent requests are served as often as less urgent ones

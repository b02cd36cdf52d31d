Feature: What callers get under load and troubles of searchers, played in virtual time

  Scenario Outline: On a calm day nearly all answers are whole and in time
    # Guards against decisions that cost answers where nothing is wrong; the target is
    # 99 in 100 in time.
    Given the deployment "<deployment>" with its usual load
    When it is played for 5 s with seed 1 and the trouble "calm"
    Then at most 1 in 100 answers is late and none fails

    Examples:
      | deployment  |
      | kogi-basin  |
      | etain-grave |

  Scenario: Many hosts find slow searchers although each hears of them seldom
    # Guards against hosts that need many answers each to learn that a searcher is slow:
    # the target on the grown deployment is 0.76 of what is owed.
    Given the deployment "etain-grave-grown" with its usual load
    When it is played for 8 s with seed 1 and the trouble "slow"
    Then callers earn at least 0.76 of what is owed

  Scenario Outline: Extra arrivals stay within the budget under trouble
    # Guards against hedges and repeats that overload searchers which are in trouble.
    Given the deployment "<deployment>" with its usual load
    When it is played for 5 s with seed 2 and the trouble "<trouble>"
    Then extra arrivals stay within the budget of the deployment

    Examples:
      | deployment  | trouble  |
      | kogi-basin  | shedding |
      | etain-grave | dark     |

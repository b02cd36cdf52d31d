Feature: Claims and outcomes that are pending together are sent in one message

  Scenario: A batch whose reply was lost is sent again unchanged
    # Guards against a second attempt, or a claim that is taken for another host's,
    # when only the reply was lost.
    Given an entry host's batches whose first reply is lost
    When 3 claims are sent together and a fourth while their batch is in flight
    Then the same message of 3 claims was sent twice and then one with the fourth
    And every claim was granted as attempt 1 and is kept with one nonce

  Scenario: Members of a batch get their own results
    # Guards against a result that reaches another member or refuses the whole batch.
    Given a request that was answered and one whose outcome is unknown
    When one batch has a new claim, resends of both, an id reused and an outcome
    Then each member got the reply that it gets outside a batch

  Scenario: A batch is bounded in members and bytes
    # Guards against log entries and messages whose size grows with the load.
    Given an entry host's batches
    When 300 claims and then 5 outcomes of 400 KiB are sent together
    Then no message had more than 256 members or 1 MiB of answers
    And all of them got their replies
    When the 5 requests are sent again together
    Then no reply had more than 1 MiB of answers
    And each resend read its own answer

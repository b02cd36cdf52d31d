Feature: Metrics by client account have a bounded number of series

  Scenario: Ten thousand accounts make no more than 105 series
    # Guards against a scraper, or a host's memory, that grows with the accounts.
    Given counters by account
    When 10000 accounts each have a request of every outcome, in 5 rounds of 10 s
    Then there are at most 105 series, and at most 20 accounts have their own
    And no request is lost from the sum of all increases

  Scenario: The largest and the worst accounts have series of their own
    # Guards against a large account, or one that is refused all the time, that nobody
    # can see among the others.
    Given counters by account
    When 10000 accounts have 1 request each that is served
    And 10 accounts "large" have 100 requests each that are served
    And 10 accounts "refused" have 20 requests each that are over quota
    And the counters are 10 s older
    And 10000 accounts have 1 request each that is served
    And 10 accounts "large" have 100 requests each that are served
    And 10 accounts "refused" have 20 requests each that are over quota
    Then exactly the accounts "large" and "refused" have series of their own
    And each account "large" counts 100 served requests
    And each account "refused" counts 20 requests over quota

  Scenario: An account that has become quiet gives its series to another one
    # Guards against labels that are kept for ever, so that later accounts are not shown.
    Given counters by account
    When 20 accounts "early" have 100 requests each that are served
    And the counters are 300 s older
    And 20 accounts "late" have 100 requests each that are served
    And the counters are 10 s older
    And 20 accounts "late" have 100 requests each that are served
    Then 10 accounts "late" and no account "early" have series of their own

  Scenario: Counters never decrease while accounts come and go
    # Guards against a rate that jumps when an account is counted among the others again.
    Given counters by account
    When accounts take turns at being the largest ones for 50 rounds of 10 s
    Then no series has decreased from one round to the next

  Scenario: An account whose name is that of all others is not told apart from them
    # Guards against two series with the same labels, which a scraper refuses.
    Given counters by account
    When 1 accounts "other" have 50 requests each that are served
    Then there is one series for "other"

  Scenario Outline: An answer with status <status> for the reason <reason> counts as <outcome>
    # Guards against a refusal that counts as an answer.
    Then an answer with status <status> for the reason <reason> has the outcome <outcome>

    Examples:
      | status | reason             | outcome     |
      | 200    | answered           | served      |
      | 204    | answered           | served      |
      | 429    | over_quota         | over_quota  |
      | 503    | account_over_share | refused     |
      | 429    | status 429         | failed      |
      | 502    | invalid_reply      | failed      |
      | 504    | timed_out          | failed      |
      | 404    | status 404         | failed      |
      | 0      | caller_left        | caller_left |

  Scenario: Requests of an account are counted at its entry host, others are not
    # Guards against a hook that is never called, and against a label for no account.
    Given a routed tier with a searcher "s-1" of "cards"
    When 3 callers of the account "acme" and 2 callers of none send GET "/read/x"
    Then the metrics of the entry host count 3 served requests of "acme" and no others

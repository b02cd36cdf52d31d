Feature: Searchers that state a rate limit get no more requests than that

  Scenario Outline: All hosts together stay within a limit of <limit> a second
    # Guards against hosts whose requests add up to more than a searcher in need accepts,
    # also if they notice its limit late, hold unused permits or restart.
    When <hosts> hosts get <requests> requests a second for <searchers> limited searchers, seed <seed>
    Then no searcher gets more than its limit allows in any 4 s

    Examples:
      | hosts | searchers | limit | requests | seed |
      | 1     | 1         | 14    | 60       | 1    |
      | 9     | 1         | 14.2  | 30       | 2    |
      | 9     | 3         | 14.2  | 90       | 3    |
      | 9     | 2         | 0.5   | 90       | 4    |
      | 9     | 2         | 0     | 90       | 5    |
      | 9     | 2         | 200   | 90       | 6    |
      | 68    | 3         | 13    | 80       | 7    |
      | 68    | 1         | 2     | 40       | 8    |
      | 200   | 3         | 10    | 63       | 9    |
      | 200   | 2         | 0     | 63       | 10   |

  Scenario: Limits that change hold from then on
    # Guards against hosts that stay with a limit that a searcher has lowered.
    When 9 hosts get 60 requests a second for 2 searchers that lower and raise their limits
    Then no searcher gets more than its limit allows in any 4 s

  Scenario: Hosts use most of a limit while there are enough requests
    # Guards against permits of which most lapse, so that requests are refused in vain.
    When 9 hosts get 90 requests a second for 3 limited searchers of 14 a second
    Then the searchers get at least 0.9 of what they accept

  Scenario Outline: A stated limit of "<text>" counts as <meaning>
    # Guards against a value that ends a program, or a limit, since it is no number.
    Then a stated limit of "<text>" counts as <meaning>

    Examples:
      | text                 | meaning        |
      | 14.2                 | 14.2 a second  |
      | 0                    | 0 a second     |
      | 0.0                  | 0 a second     |
      | 999999999            | 999999999 a second |
      | -1                   | unreadable     |
      | nan                  | unreadable     |
      | inf                  | unreadable     |
      | 1e3                  | unreadable     |
      | 14.2, 17             | unreadable     |
      | 99999999999999999999 | unreadable     |
      | many                 | unreadable     |
      | .                    | unreadable     |

  Scenario: A limit ends with a success that states none
    # Guards against a host that keeps to a limit which the searcher no longer states.
    Given a host that has learnt a limit of 1 a second from "s-1"
    When "s-1" answers a request sent later without a limit
    Then the host knows no limit of "s-1"
    And it has logged "searcher_limited" and "searcher_limit_ended"

  Scenario Outline: A limit stays after <reply>
    # Guards against a host that forgets a limit which the searcher still states.
    Given a host that has learnt a limit of 1 a second from "s-1"
    When the host gets <reply> from "s-1"
    Then the host knows a limit of 1 a second of "s-1"

    Examples:
      | reply                                     |
      | a success of a request sent earlier       |
      | a rejection without a limit               |
      | a failure without a limit                 |
      | a success with an unreadable limit        |
      | a misdirected reply with another limit    |

  Scenario: A rejection that states a limit is heeded
    # Guards against a host that learns limits from successes only.
    Given a host that knows no limit
    When "s-1" rejects a request and states a limit of 1 a second
    Then the host knows a limit of 1 a second of "s-1"

  Scenario: A searcher that is lost and found keeps its limit, one that restarts does not
    # Guards against a limit that ends since announcements were lost for a moment, and
    # one that holds for the next process.
    Given a host that has learnt a limit of 1 a second from "s-1"
    When "s-1" is lost and found again
    Then the host knows a limit of 1 a second of "s-1"
    When "s-1" starts again
    Then the host knows no limit of "s-1"

  Scenario: Requests beyond a limit are refused at once and told when to come back
    # Guards against requests that wait for their deadline although no searcher may take
    # them, and against a refusal that says nothing of the limit.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-1" states a limit of 0 a second in its answers
    And a caller has sent GET "/read/x"
    When 5 callers send GET "/read/x" one after the other
    Then each caller is refused with 503 before its deadline and told to wait for a permit
    And "s-1" has got 1 request
    And 5 requests count as excluded by limits

  Scenario: Requests go to the other searchers of a service
    # Guards against refusals while a searcher without a limit has room.
    Given a routed tier with a searcher "s-1" of "cards"
    And a searcher "s-2" of "cards"
    And "s-1" states a limit of 0 a second in its answers
    When 20 callers send GET "/read/x" one after the other
    Then all callers get 200
    And "s-1" has got at most 2 requests

  Scenario: Callers do not get the limit of a searcher
    # Guards against a header between the tier and searchers that callers come to use.
    Given a routed tier with a searcher "s-1" of "cards"
    And "s-1" states a limit of 1000 a second in its answers
    When a caller sends GET "/read/x"
    Then the caller gets 200 without the limit

  Scenario: Shards whose searchers are limited are left out while the others suffice
    # Guards against an answer that waits for shards which may get no request.
    Given a routed tier with one searcher for each of 4 shards
    And the searchers of 1 shard state a limit of 0 a second in their answers
    And a caller has sent GET "/all/x"
    When a caller sends GET "/all/x"
    Then the answer names the parts of 3 shards and 1 missing

  Scenario: A request that too many limited shards exclude costs the others nothing
    # Guards against work at shards for a request that cannot be answered.
    Given a routed tier with one searcher for each of 4 shards
    And the searchers of 2 shards state a limit of 0 a second in their answers
    And a caller has sent GET "/all/x"
    When 5 callers send GET "/all/x" one after the other
    Then each caller is refused with 503 before its deadline and told to wait for a permit
    And each shard has got 1 request

  Scenario: Less urgent requests do not use the permits that more urgent ones need
    # Guards against priority that is lost since a less urgent route may leave out more
    # shards, and against a less urgent route that gets nothing.
    When requests of priorities 1 and 2 want permits, of which there are too few
    Then as large a share of priority 1 as of priority 2 is served, and some of both

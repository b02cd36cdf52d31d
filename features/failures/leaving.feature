Feature: An upstream that drains or is taken out gets no more sub-requests

  Scenario Outline: A queued sub-request is not sent once its searcher is <state>
    # Guards against an owner that applies the change, so that it is reported in
    # force, and then sends what is still in its queue.
    Given an owner whose searcher has one slot, one sub-request running and one queued
    When the owner applies a configuration in which the searcher is <state>
    And the running sub-request is answered
    Then the queued one was returned as not sent and the running one as answered
    And a new sub-request is returned as not sent
    And the searcher has received 1 sub-request

    Examples:
      | state    |
      | out      |
      | draining |
      | lost     |

  Scenario: A searcher that is put back in is used again
    # Guards against an owner that never sends to the searcher again.
    Given an owner whose searcher has one slot, one sub-request running and one queued
    When the owner applies a configuration in which the searcher is out
    And the running sub-request is answered
    And the owner applies a configuration in which the searcher is serving
    And another sub-request is sent and answered
    Then the searcher has received 2 sub-requests

  Scenario Outline: A searcher that announces draining gets no more sub-requests before control records it
    # Guards against sub-requests to a draining searcher while control has no leader.
    Given an entry host whose searcher has one slot, one sub-request running and one queued
    When <host> learns that the searcher drains, and control does not reply
    And the running sub-request is answered
    Then the queued one was returned as not sent and the running one as answered
    And a new sub-request is returned as not sent
    And the searcher has received 1 sub-request
    When the owner applies a configuration in which the searcher is serving
    Then a new sub-request is returned as not sent
    And the other entry hosts <notified> by this one

    Examples:
      | host               | notified          |
      | the entry host     | were notified     |
      | another entry host | were not notified |

  Scenario: A searcher that drained is used again after a restart
    # Guards against a drain notice that is applied to a later incarnation.
    Given an entry host whose searcher has one slot, one sub-request running and one queued
    When another entry host learns that the searcher drains, and control does not reply
    And the running sub-request is answered
    And the searcher has restarted and serves
    And another sub-request is sent and answered
    Then the searcher has received 2 sub-requests

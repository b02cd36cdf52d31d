Feature: An upstream that leaves gets nothing more from its owner

  Scenario Outline: Work that waits for a searcher is not sent once it is <state>
    # Guards against an owner that applies the change, so that it is reported in
    # force, and then sends what still waits in its queue.
    Given an owner whose searcher has one slot, one sub-request running and one waiting
    When the owner applies a configuration in which the searcher is <state>
    And the running sub-request is answered
    Then the waiting one has come back as not sent and the running one as answered
    And a new sub-request comes back as not sent
    And the searcher has received 1 sub-request

    Examples:
      | state    |
      | out      |
      | draining |
      | lost     |

  Scenario: A searcher that is put back in is used again
    # Guards against an owner that never sends to it again.
    Given an owner whose searcher has one slot, one sub-request running and one waiting
    When the owner applies a configuration in which the searcher is out
    And the running sub-request is answered
    And the owner applies a configuration in which the searcher is serving
    And another sub-request is sent and answered
    Then the searcher has received 2 sub-requests

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

  Scenario Outline: A searcher that announces that it drains gets nothing more before control has it
    # Guards against work for a leaving searcher while control has no leader.
    Given an entry host whose searcher has one slot, one sub-request running and one waiting
    When <way> hears that the searcher drains, and control does not reply
    And the running sub-request is answered
    Then the waiting one has come back as not sent and the running one as answered
    And a new sub-request comes back as not sent
    And the searcher has received 1 sub-request
    When the owner applies a configuration in which the searcher is serving
    Then a new sub-request comes back as not sent
    And the other entry hosts <were told> by this one

    Examples:
      | way                | were told     |
      | the entry host     | were told     |
      | another entry host | were not told |

  Scenario: A searcher that drained is used again after it has started anew
    # Guards against a notice that outlives the start that it is about.
    Given an entry host whose searcher has one slot, one sub-request running and one waiting
    When another entry host hears that the searcher drains, and control does not reply
    And the running sub-request is answered
    And the searcher has started anew and serves
    And another sub-request is sent and answered
    Then the searcher has received 2 sub-requests

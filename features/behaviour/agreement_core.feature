Feature: The Raft core follows the consensus rules for each single message

  Scenario: A read is not confirmed by answers to an earlier heartbeat
    # Guards against stale reads from a deposed leader, which counts replies that
    # were in flight before the read arrived.
    Given the cores A, B and C of which A leads
    When a heartbeat of A is answered but the replies are still in flight
    And a read starts at A whose own round of heartbeats is lost
    Then the replies in flight do not confirm the read
    And the replies to the next round confirm it

  Scenario: Entries of an earlier term are not committed by counting
    # Guards against a committed entry that a later leader can still replace.
    Given the cores A, B and C of which A leads, with one entry per message
    When A appends an entry that reaches no other core and is elected again
    And a majority has the old entry but not the one of the new term
    Then A has not committed the old entry
    And both are committed once a majority has the new one

  Scenario: A snapshot never drops acknowledged entries that follow it
    # Guards against the loss of committed entries: a delayed snapshot removes
    # entries from a follower whose acknowledgement already counted.
    Given the cores A, B and C of which A leads
    When B has acknowledged 10 entries and a snapshot of the first 8 arrives late
    Then B still has all entries that it acknowledged

  Scenario: A replica that was partitioned does not depose a working leader
    # Guards against a replica that raises its term while it is isolated and then
    # forces an election.
    Given the cores A, B and C of which A leads
    When C is isolated for 10 seconds and then connected again
    Then A still leads in the same term

  Scenario: A leader without replies from a majority steps down
    # Guards against clients that wait indefinitely for an isolated leader.
    Given the cores A, B and C of which A leads
    When A is isolated for 2 seconds
    Then A no longer leads and its reads have failed

  Scenario: Proposals of one batch cost one sync and one message to each follower
    # Guards against a sync for every single claim.
    Given the cores A, B and C of which A leads
    When 50 commands are proposed to A in one batch
    Then A has synced once and sent one message to each follower
    And all 50 are applied after one round

  Scenario: Leadership is transferred to a replica that has the whole log
    # Guards against a planned stop that leaves the group without a leader.
    Given the cores A, B and C of which A leads
    When A transfers leadership
    Then another core leads in the next term and A accepts no proposals before that

  Scenario Outline: The step "<step>" of a member change is refused when <when>
    # Guards against two disjoint majorities, and against a voter that lacks
    # committed entries.
    Given the cores A, B and C of which A leads
    When <when>
    Then the step "<step>" is refused with <problem>

    Examples:
      | when                                    | step          | problem          |
      | another change is not committed         | add_learner E | CHANGE_PENDING   |
      | A has committed nothing in its term     | add_learner D | TERM_NOT_STARTED |
      | the learner D lacks a committed entry   | promote D     | NOT_CAUGHT_UP    |
      | nothing else happens                    | promote D     | NOT_MEMBER       |
      | nothing else happens                    | promote B     | NOT_LEARNER      |
      | nothing else happens                    | add_learner B | ALREADY_MEMBER   |
      | only A is left                          | remove A      | LAST_VOTER       |

  Scenario: A removed leader steps down once its removal is committed
    # Guards against a leader that is not a member.
    Given the cores A, B and C of which A leads
    When A removes itself
    Then A no longer leads and B can be elected by B and C alone

  Scenario: A folder rolled back to before a vote does not vote again
    # Guards against two leaders in one term.
    Given the cores A, B and C of which A leads
    When B votes for C in a new term and is rolled back while its vote is in flight
    Then B refuses its vote to A in that term

  Scenario: Acknowledgements of a process before a rollback do not count
    # Guards against a commit that counts entries which the rollback removed.
    Given the cores A, B and C of which A leads
    When B acknowledges an entry and is rolled back before the reply arrives
    Then A does not count the acknowledgement

  Scenario: A candidate with a shorter log gets no vote
    # Guards against a leader that lacks committed entries.
    Given the cores A, B and C of which A leads
    When A and B commit an entry that C lacks
    Then C gets neither a pre-vote nor a vote of B

  Scenario: A replica that was down while the others were replaced joins again
    # Guards against a replica that asks only members which were removed, and so
    # never joins although the group needs it for a majority.
    Given the cores C, D and E of which D leads
    When C restarts with a log from the time when A and B were its peers
    Then C joins once D and E have recorded its boot

  Scenario: An earlier boot is refused by a member that knows the later one from the leader
    # Guards against a rolled-back folder that asks only members which have not
    # recorded its later boot themselves.
    Given the cores A, B and C of which A leads
    When C has restarted and B learned of it only through A
    Then a copy of C from before that restart is refused by B alone

  Scenario: Records of the members are repeated until the receiver has confirmed them
    # Guards against a member that never learns a record since the request with it was
    # lost, and against heartbeats that repeat records which every member has.
    Given the cores A, B and C of which A leads, with one entry per message
    When two entries are sent to B, of which only the first arrives, answered twice
    Then the next heartbeat of A to B carries the records of 3 members
    And once B has answered all entries it carries the records of 0 members

  Scenario: The log kept after a snapshot is bounded in entries and bytes
    # Guards against a tail of up to 1000 large entries that stays in memory.
    Given a log of 10 entries of 100 bytes each
    Then the tail of at most 1000 entries and 250 bytes follows entry 8
    And the tail of at most 3 entries and 1000 bytes follows entry 7

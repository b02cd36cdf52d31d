Feature: The agreement's rules hold for each single message

  Scenario: A read is not confirmed by answers to an earlier heartbeat
    # Guards against a deposed leader that serves old state from answers that
    # were under way before the read arrived.
    Given the cores A, B and C of which A leads
    When a heartbeat of A is answered but the answers are still under way
    And a read arrives at A whose own round is lost
    Then the answers under way do not confirm the read
    And the answers to the next round confirm it

  Scenario: Entries of an earlier term are not committed by counting
    # Guards against a committed entry that a later leader may still replace.
    Given the cores A, B and C of which A leads, with one entry a message
    When A appends an entry that reaches nobody and is elected again
    And a majority has the old entry but not the one of the new term
    Then A has not committed the old entry
    And both are committed once a majority has the new one

  Scenario: A snapshot never drops entries after it that were acknowledged
    # Guards against the loss of a majority by a snapshot that arrives late.
    Given the cores A, B and C of which A leads
    When B has acknowledged 10 entries and a snapshot of the first 8 arrives late
    Then B still has all entries that it acknowledged

  Scenario: A replica that was cut off does not depose a working leader
    # Guards against a term that rises while a replica is alone.
    Given the cores A, B and C of which A leads
    When C hears nobody for 10 seconds and then comes back
    Then A still leads in the same term

  Scenario: A leader that no majority answers stops leading
    # Guards against a leader that keeps clients waiting for ever.
    Given the cores A, B and C of which A leads
    When A hears nobody for 2 seconds
    Then A no longer leads and its reads have failed

  Scenario: Proposals that wait together cost one sync and one message each
    # Guards against one sync for each claim.
    Given the cores A, B and C of which A leads
    When 50 commands are proposed to A in one batch
    Then A has synced once and sent one message to each follower
    And all 50 are applied after one round

  Scenario: Leadership is handed to a replica that has the whole log
    # Guards against a planned stop that leaves a gap without a leader.
    Given the cores A, B and C of which A leads
    When A transfers leadership
    Then another core leads in the next term and A takes no proposals before that

  Scenario Outline: The step "<step>" of a member change is refused when <when>
    # Guards against two majorities that do not overlap, and against a voter
    # that lacks the log.
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

  Scenario: A leader that is removed stops leading once that is committed
    # Guards against a leader that is no member.
    Given the cores A, B and C of which A leads
    When A removes itself
    Then A no longer leads and B can be elected by B and C alone

  Scenario: A folder rolled back to before a vote does not vote again
    # Guards against two leaders of one term.
    Given the cores A, B and C of which A leads
    When B votes for C in a new term and is rolled back while its vote is under way
    Then B refuses its vote to A in that term

  Scenario: Acknowledgements of a process before a rollback do not count
    # Guards against a commit that counts entries which are gone.
    Given the cores A, B and C of which A leads
    When B acknowledges an entry and restarts before the answer arrives
    Then A does not count the acknowledgement

  Scenario: A candidate with a shorter log gets no vote
    # Guards against a leader without committed entries.
    Given the cores A, B and C of which A leads
    When A and B commit an entry that C lacks
    Then C gets neither a pre-vote nor a vote of B

  Scenario: A replica that was away while the others were replaced joins again
    # Guards against a replica that asks only members which are gone, and never
    # takes part when a majority needs it.
    Given the cores C, D and E of which D leads
    When C restarts with a log from the time when A and B were its peers
    Then C joins once D and E have recorded its boot

  Scenario: An earlier boot is refused by a member that knows the later one from the leader
    # Guards against an older copy that asks only members which did not record
    # its later boot themselves.
    Given the cores A, B and C of which A leads
    When C has started again but B heard of it only through A
    Then a copy of C from before that start is refused by B alone

  Scenario: What is kept of the log after a snapshot is bounded in entries and bytes
    # Guards against a thousand large answers that stay in memory.
    Given a log of 10 entries of 100 bytes each
    Then the tail of at most 1000 entries and 250 bytes follows entry 8
    And the tail of at most 3 entries and 1000 bytes follows entry 7

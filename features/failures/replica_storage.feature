Feature: A control replica handles disk failures and damaged files

  Scenario Outline: A tail torn by a crash is truncated and the log stays usable
    # Guards against a start that fails or reads a partial frame as entries.
    Given a store with 5 synced batches of entries
    When the process is killed while it writes a frame that ends <how>
    Then the store opens with exactly the 5 synced batches
    And another batch is appended and survives a restart

    Examples:
      | how                 |
      | inside its header   |
      | inside its body     |
      | with a garbled body |

  Scenario Outline: Damage that no crash can cause is refused with a remedy
    # Guards against a store that drops acknowledged entries silently.
    Given a store with 5 synced batches of entries
    When <damage> is damaged
    Then the store refuses to open with CorruptLogError and a remedy

    Examples:
      | damage               |
      | the second batch     |
      | the segment's header |
      | the identity         |

  Scenario: A damaged snapshot is refused with a remedy
    # Guards against a start from an empty state instead of the snapshot.
    Given a store with 5 synced batches of entries
    And a snapshot of all of them
    When the snapshot is damaged
    Then the store refuses to open with CorruptLogError and a remedy

  Scenario: A folder that has lost its log is refused
    # Guards against a replica that keeps its identity and votes with an empty log.
    Given a store with 5 synced batches of entries
    When the segments are removed
    Then the store refuses to open with CorruptLogError and a remedy

  Scenario Outline: Nothing is acknowledged after <operation> failed
    # Guards against acknowledging entries that are not durable.
    Given a store with 5 synced batches of entries
    When a <operation> fails with <failure>
    Then the store raised StorageFailedError and refuses any further write
    And the store opens with exactly the 5 synced batches

    Examples:
      | operation | failure |
      | write     | ENOSPC  |
      | sync      | EIO     |

  Scenario: Two processes cannot use one folder
    # Guards against two processes that write to one log.
    Given a store with 1 synced batches of entries
    Then a second store on the same folder raises FolderInUseError

  Scenario: A snapshot replaces the log that it covers
    # Guards against a log size and a restart time that grow without bound.
    Given a store with 5 synced batches of entries
    And a snapshot of all of them
    Then the folder has one segment without entries
    And the store opens with the snapshot and no entries

  Scenario: Entries of earlier starts count towards the next snapshot
    # Guards against a log that grows without bound because the replica restarts often.
    Given a store with 5 synced batches of entries
    Then the store opens with exactly the 5 synced batches
    And 15 entries and their bytes count since the last snapshot

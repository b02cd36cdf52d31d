Feature: A control replica survives what a disk does to its files

  Scenario Outline: A tail torn by a crash is cut off and the log goes on
    # Guards against a start that fails, or that reads half a frame as entries.
    Given a store with 5 synced batches of entries
    When the process is killed while it writes a frame that ends <how>
    Then the store opens with exactly the 5 synced batches
    And another batch is appended and survives a restart

    Examples:
      | how               |
      | inside its header |
      | inside its body   |
      | with garbled body |

  Scenario Outline: Damage that no crash explains is refused with a remedy
    # Guards against silently dropping acknowledged entries.
    Given a store with 5 synced batches of entries
    When <damage> is damaged
    Then the store refuses to open with CorruptLogError and a remedy

    Examples:
      | damage               |
      | the second batch     |
      | the segment's header |
      | the identity         |

  Scenario: A damaged snapshot is refused with a remedy
    # Guards against a start from an empty state in the place of a snapshot.
    Given a store with 5 synced batches of entries
    And a snapshot of all of them
    When the snapshot is damaged
    Then the store refuses to open with CorruptLogError and a remedy

  Scenario: A folder whose log has vanished is refused
    # Guards against an old identity that votes with an empty log.
    Given a store with 5 synced batches of entries
    When the segments are removed
    Then the store refuses to open with CorruptLogError and a remedy

  Scenario Outline: Nothing is acknowledged after <operation> failed
    # Guards against acknowledging what is not durable.
    Given a store with 5 synced batches of entries
    When a <operation> fails with <failure>
    Then the store raised StorageFailedError and refuses any further write
    And the store opens with exactly the 5 synced batches

    Examples:
      | operation | failure |
      | write     | ENOSPC  |
      | sync      | EIO     |

  Scenario: Two processes cannot use one folder
    # Guards against two writers of one log.
    Given a store with 1 synced batches of entries
    Then a second store on the same folder raises FolderInUseError

  Scenario: A snapshot replaces the log that it covers
    # Guards against a log, and with it a restart time, that grows for ever.
    Given a store with 5 synced batches of entries
    And a snapshot of all of them
    Then the folder has one segment without entries
    And the store opens with the snapshot and no entries

  Scenario: Entries of earlier starts count towards the next snapshot
    # Guards against a log that grows for ever because the replica restarts often.
    Given a store with 5 synced batches of entries
    Then the store opens with exactly the 5 synced batches
    And 15 entries and their bytes count since the last snapshot

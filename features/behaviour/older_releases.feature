Feature: Releases that run side by side read what the other writes and sends

  Scenario Outline: <content> of a landed release is read
    # Guards against a field or a type that a release of before does not know, on disk or
    # on the wire: machines are replaced one after the other, and an operator may go back.
    Then <content> of a landed release is read with its values

    Examples:
      | content             |
      | the recent file     |
      | a command           |
      | a snapshot          |
      | a poll of a host    |
      | a reply to a host   |
      | a poll of a replica |
      | a reply to a replica |
      | a notice            |
      | a request to join   |
      | a membership        |

  Scenario: A message of a host with accounts is what an older helper forwards
    # Guards against a helper of a landed release, which reads no account, whose searchers
    # learn no name or the key.
    Then a request that is passed on has the account in the searchers' header and no key

  Scenario Outline: <content> of this release is read by a landed one
    # Guards against an old process that stops applying its log, or that loses its recent
    # state, since it cannot read what a new one has written.
    Then <content> of this release is read by the types of a landed one

    Examples:
      | content             |
      | the recent file     |
      | a command           |
      | a poll of a replica |
      | a poll of a host    |
      | a reply to a host   |
      | an announcement     |
      | an evacuation order |
      | a snapshot          |
      | a poll of a host    |
      | a reply to a host   |
      | a reply to a replica |

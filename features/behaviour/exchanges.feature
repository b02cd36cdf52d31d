Feature: Exchanges on one connection to a searcher

  Scenario Outline: A reply <kind> of <length> bytes in pieces of <size> is read completely
    # Guards against a reading coroutine that is not resumed when further bytes
    # arrive, or after tornado has yielded to other work, which it does after it
    # has read 262,144 bytes.
    Given a connection to a searcher
    When a request is sent and a reply <kind> of <length> bytes arrives in pieces of <size>
    Then the exchange ends with the complete reply
    And the connection is closed only if the reply ended with it

    Examples:
      | kind                   | length | size  |
      | of stated length       | 600000 | 65536 |
      | of stated length       | 262144 | 65536 |
      | of stated length       | 100000 | 997   |
      | in chunks              | 600000 | 4001  |
      | until the stream's end | 600000 | 65536 |

  Scenario Outline: A stream that ends <moment> counts as sent and reset
    # Guards against the outcome "not sent" when bytes may have reached the
    # searcher, and against an exchange that never ends.
    Given a connection to a searcher
    When a request is sent and the stream ends <moment>
    Then the exchange ends as "reset", with bytes sent
    And the closed connection is reported once

    Examples:
      | moment                  |
      | before any byte         |
      | in the middle of a head |
      | in the middle of a body |

  Scenario: A reply that is not HTTP ends the exchange as invalid
    # Guards against a reading coroutine that fails without ending its exchange.
    Given a connection to a searcher
    When a request is sent and "HTTP/1.1 two hundred" arrives as a head
    Then the exchange ends as "invalid_reply", with bytes sent
    And the closed connection is reported once

  Scenario Outline: A reply with the status line "<line>" ends the exchange as invalid
    # Guards against a reply that is counted as the searcher's although HTTP has no such
    # status, and against a connection that is used again after it.
    Given a connection to a searcher
    When a request is sent and "<line>" arrives as a head
    Then the exchange ends as "invalid_reply", with bytes sent
    And the closed connection is reported once

    Examples:
      | line                |
      | HTTP/1.1 000 None   |
      | HTTP/1.1 099 None   |
      | HTTP/1.1 99 None    |
      | HTTP/1.1 600 None   |
      | HTTP/1.1 999 None   |
      | HTTP/1.1 1000 None  |
      | HTTP/1.1 0200 OK    |
      | HTTP/1.1 2xx OK     |
      | HTTP/1.1 -200 OK    |
      | HTTP/1.1 OK         |
      | HTTP/1.1            |

  Scenario Outline: A reply after <interim> is read completely
    # Guards against an interim reply that is taken for the final one or refused.
    Given a connection to a searcher
    When a request is sent and <interim> and a reply of 9 bytes arrive
    Then the exchange ends with the complete reply

    Examples:
      | interim             |
      | a reply 100         |
      | a reply 103         |
      | replies 100 and 103 |

  Scenario: No request is sent on a stream that has ended
    # Guards against the outcome "may have run" for a request of which no byte was
    # sent, and against a request that is written to a closing stream.
    Given a connection to a searcher
    When the stream ends while the connection is idle
    And a request is sent
    Then the exchange ends as "connection_closed", with no bytes sent

  Scenario: The bytes read while no request is open are bounded
    # Guards against a searcher that fills the memory of an entry host through
    # an idle connection.
    Given a connection to a searcher
    When 65536 bytes arrive while the connection is idle
    Then nothing more is read from the stream
    When a request is sent
    Then the stream is read again

  Scenario: Each request states its own length and each reply is read by its own head
    # Guards against a cached head that is used for a body of another length.
    Given a connection to a searcher
    When requests and replies of 9, 10, 100 and 9 bytes are exchanged
    Then each request has stated its length
    And each exchange has ended with its own reply

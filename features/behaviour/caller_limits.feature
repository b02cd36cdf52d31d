Feature: Limits of what callers may send

  Scenario Outline: A limit of <part> that changes from <before> to <after> bytes holds for the next request of an open connection
    # Guards against requests that are refused, or served, by the limits of an earlier
    # version (issue 49, review/15).
    Given a host that allows <part> of <before> bytes, and a caller with an open connection
    When it allows <part> of <after> bytes and the caller sends <part> of <sent> bytes
    Then the request is <result>

    Examples:
      | part   | before | after  | sent   | result  |
      | bodies | 1000   | 300000 | 200000 | taken   |
      | bodies | 300000 | 1000   | 200000 | refused |
      | heads  | 16384  | 32768  | 20000  | taken   |
      | heads  | 32768  | 16384  | 20000  | refused |

  Scenario Outline: A wait for a request that began <waited> s ago is closed <left> s after the idle timeout changes from <before> to <after> s
    # Guards against a changed timeout that open connections do not heed, and against one
    # that closes connections which their callers still may use.
    When the idle timeout changes from <before> to <after> s, <waited> s after a wait began
    Then the connection is closed <left> s later, and a margin

    Examples:
      | before | after | waited | left |
      | 15     | 30    | 10     | 20   |
      | 15     | 5     | 2      | 5    |
      | 15     | 5     | 12     | 3    |
      | 15     | 15    | 10     | 5    |

  Scenario: A head that does not end is given up before the idle timeout
    # Guards against connections that are held by heads that have begun.
    Given a host that allows heads of 16384 bytes, and a caller with an open connection
    When the caller sends half of a head
    Then its connection is closed without an answer

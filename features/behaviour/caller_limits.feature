Feature: Limits of what callers may send

  Scenario: A raised limit of bodies holds for the next request of an open connection
    # Guards against proper requests that are refused by the limits of an earlier version.
    Given a host with a limit of 1000 bytes and a caller that has sent a request to it
    When the limit is raised to 300000 bytes and the caller sends a body of 200000 bytes
    Then the request is not refused as malformed

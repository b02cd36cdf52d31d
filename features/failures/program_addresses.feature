Feature: Programs whose addresses are in use

  Scenario Outline: "<program>" runs without metrics if their port is in use
    # Guards against a program that ends for want of an optional part.
    Given the metrics port is in use
    And "<program>" starts with a settings file that is complete
    Then "<program>" starts
    And it has logged that metrics are unavailable

    Examples:
      | program |
      | front   |
      | core    |

  Scenario: A program waits for an address that an earlier process holds
    # Guards against a restart that fails since the earlier process is still ending.
    Given the address for callers is in use
    And "front" starts with a settings file that is complete
    When "front" has logged that the address is in use
    And the address is free again
    Then "front" starts

  Scenario: A program whose address stays in use names it
    # Guards against a program that waits for an address without end.
    When a program listens on an address that stays in use
    Then it gets a typed error that names the setting and the address

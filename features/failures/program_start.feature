Feature: Programs that cannot start say why

  Scenario Outline: A program whose settings file <fault> names the fault and ends
    # Guards against a start that fails with a trace in place of a reason.
    When "<program>" starts with a settings file that <fault>
    Then it logs a failure of type "SettingsFileError" that names "<name>"
    And it exits with 2

    Examples:
      | program | fault                   | name             |
      | front   | does not exist          | No such file     |
      | front   | is empty                | node             |
      | front   | lacks the node          | node             |
      | core    | has a port that is text | internalPorts[0] |
      | core    | has no ports            | internalPorts    |
      | core    | lacks the data folder   | dataDir          |
      | front   | lacks its address       | listen.front     |

  Scenario: A program whose settings file is cut short waits until it is whole
    # Guards against programs that end since a file is being written at their start.
    Given "front" starts with a settings file that is cut short
    When the settings file is completed
    Then "front" starts

  Scenario: A program starts without the bounds that are not in force
    # Guards against a deployment whose settings lack a bound that has a default.
    Given "front" starts with a settings file that lacks the bounds
    Then "front" starts

  Scenario: A settings file that becomes unreadable leaves the last one in use
    # Guards against a program that ends since a later version is cut short.
    Given "front" starts with a settings file that is complete
    When the settings file is cut short
    Then "front" logs that the last settings stay in use

  Scenario: A program without a dependency names it
    # Guards against an import error that only a trace tells.
    When "front" starts without its dependencies
    Then it logs a failure of type "ModuleNotFoundError" that names "No module named"
    And it exits with 3

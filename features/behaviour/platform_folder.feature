Feature: The folder that speaks the users' platform

  Scenario: Only the folder knows the platform's names
    # Guards against names of the platform that leak into the product.
    Then no source file outside the folder holds a name of the platform

  Scenario: The folder does not shadow the standard library's module
    # Guards against an import of the standard module platform that finds the folder.
    Then the standard module is found from the root and from the folder

  Scenario: The daemons load no plotting library
    # Guards against memory and start-up time for what only reports need.
    Then neither program of the folder loads a plotting library

  Scenario Outline: A heartbeat with <fault> is refused
    # Guards against a forged or unreadable heartbeat that names a searcher.
    Then a heartbeat with <fault> is refused

    Examples:
      | fault                     |
      | no start                  |
      | a start that is a text    |
      | a start that is true      |
      | an unknown state          |
      | an address without a port |
      | no slots                  |
      | bytes that are no JSON    |

  Scenario: A configuration of the platform becomes the product's own
    # Guards against a field that is read as another one.
    Then the routes of a platform's configuration have the product's types

  Scenario: The entry host loads no control replica
    # Guards against memory and start-up time, which callers wait for after a loss of
    # power, for what another program does.
    Then the program "front" loads none of the modules that only "core" needs

  Scenario: A control replica can answer entry hosts before it has loaded the rest
    # Guards against entry hosts that wait for modules which they do not need.
    Then the program "core" starts without its later modules, each of which exists

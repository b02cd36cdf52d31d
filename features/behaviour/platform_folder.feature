Feature: The folder that adapts the product to the users' platform

  Scenario: Only the folder contains names of the platform
    # Guards against product code that depends on names of the platform.
    Then no source file outside the folder contains a name of the platform

  Scenario: The folder does not shadow the standard library's module
    # Guards against an import of the standard module platform that finds the folder.
    Then the standard module is found from the root and from the folder

  Scenario: The daemons load no plotting library
    # Guards against memory and start-up time for modules that only reports need.
    Then neither program of the folder loads a plotting library

  Scenario Outline: A heartbeat with <fault> is refused
    # Guards against searchers that a forged or malformed heartbeat adds, and against
    # a value that a later message cannot carry, which ends all replies that name it.
    Then a heartbeat with <fault> is refused

    Examples:
      | fault                     |
      | no start                  |
      | a start that is a string  |
      | a start that is true      |
      | an unknown state          |
      | an address without a port |
      | no slots                  |
      | bytes that are not JSON   |
      | a sequence above 64 bits  |
      | a start above 64 bits     |
      | slots above 64 bits       |
      | warm-up above 64 bits     |
      | deep nesting              |
      | a port out of range       |
      | a port of 5000 digits     |
      | a zone of 60000 letters   |

  Scenario Outline: A configuration with <fault> is refused by the platform's format
    # Guards against a reply 500 to an operator, and against a document that is stored
    # though no message can carry it.
    Then a platform's configuration with <fault> is refused

    Examples:
      | fault                    |
      | deep nesting             |
      | a version above 64 bits  |
      | a timeout above 64 bits  |
      | a weight of 1e300        |

  Scenario: A configuration of the platform is converted to the product's types
    # Guards against a field that is decoded as another one.
    Then the routes of a platform's configuration have the product's types

  Scenario: The entry host does not load the modules of a control replica
    # Guards against memory and start-up time for modules of another program. After a
    # power failure callers wait until an entry host has started.
    Then the program "front" loads none of the modules that only "core" needs

  Scenario: A control replica starts without the modules that it loads later
    # Guards against entry hosts that wait while a control replica loads modules which
    # it does not need to answer them.
    Then the program "core" starts without its later modules, each of which exists

Feature: The operator's command reports what is known, as text and exit code

  # Guards against a command that reports success, or failure, without knowing it.
  Scenario Outline: <arguments> exits with <code>
    Given a control process with the profile "rider-gate" as change 1
    When an operator runs <arguments>
    Then the command exits with <code> and reports "<outcome>"

    Examples:
      | arguments                                                | code | outcome        |
      | profile publish ward --index turns --deadline-ms 80      | 0    | in_force       |
      | profile retire rider-gate --no-wait                      | 0    | accepted       |
      | wait 2                                                   | 0    | in_force       |
      | profile retire nobody                                    | 3    | rejected       |
      | upstream out nobody                                      | 3    | rejected       |
      | quarantine lift 00                                       | 3    | rejected       |
      | replica remove control-9 00                              | 3    | rejected       |
      | profile retire rider-gate --number 1 --operator bo       | 4    | conflict       |
      | profile retire rider-gate --number 9                     | 7    | not_considered |
      | change show 9                                            | 7    | not_considered |

  Scenario: A change that a host lacks is reported as not yet in force at the time-out
    # Guards against reporting "in force" because the wait timed out.
    Given a scripted control replica that accepts changes which "entry-2" lacks
    When an operator runs profile retire rider-gate for 1 s
    Then the command exits with 5 and reports "not_yet_in_force"
    And the report names "entry-2" and the accepted change

  Scenario: A change whose reply is lost is sent again under its number
    # Guards against a second change instead of a resend, and against reporting a
    # verdict that was not received.
    Given a scripted control replica whose replies to changes are lost
    When an operator runs profile retire rider-gate for 3 s
    Then the command exits with 6 and reports "unknown"
    And all changes sent were the same, and more than one
    And the remedy names the number to send again

  Scenario: An unknown outcome is never shown as a verdict
    # Guards against reporting a loss of leadership as a rejection or a success.
    Given a scripted control replica that replies with an unknown outcome
    When an operator runs profile retire rider-gate for 1 s
    Then the command exits with 6 and reports "unknown"

  Scenario: A control replica whose address is in use names a remedy
    # Guards against a traceback instead of a remedy.
    Given a control process with the profile "rider-gate" as change 1
    When another control process starts on its address
    Then it exits with 2 and names the address in use and a remedy

Feature: Bad settings are refused with all that an operator needs

  # Guards against a program that starts with a wrong setting, stops at the first
  # of several, or names neither the flag nor what to do.
  Scenario Outline: <program> refuses <change>
    When "<program>" starts with <change>
    Then it exits with 2 and prints "<flag>: '<value>' is not valid; expected <range>" with a remedy

    Examples: plantainstage-burn
      | program | change                            | flag       | value             | range                                       |
      | burn    | --minutes ten                     | --minutes  | ten               | a whole number from 1 to 180 minutes        |
      | burn    | --minutes 181                     | --minutes  | 181               | a whole number from 1 to 180 minutes        |
      | burn    | --minutes ''                      | --minutes  |                   | a whole number from 1 to 180 minutes        |
      | burn    | --timeout nan                     | --timeout  | nan               | a number from 0.1 to 600 seconds            |
      | burn    | --entry localhost:80              | --entry    | localhost:80      | IP:port with a port from 1 to 65535         |
      | burn    | --entry 127.0.0.1:7200            | --entry    | 127.0.0.1:7200,127.0.0.1:7200 | at least 0 distinct addresses   |
      | burn    | --log /no/such/file               | --log      | /no/such/file     | a file that this process may read           |
      | burn    | --plot /dev/null/burn.png         | --plot     | /dev/null         | a folder that this process may write        |
      | burn    | --plot burn.gif                   | --plot     | burn.gif          | a path that ends in .png or .svg            |
      | burn    | --control 127.0.0.1:7100          | --profiles | /dev/null         | either --control or --profiles              |
      | burn    | PLANTAINSTAGE_BURN_MINUTES=0      | --minutes  | 0                 | a whole number from 1 to 180 minutes        |
      | burn    | PLANTAINSTAGE_BURN_FORMAT=yaml    | --format   | yaml              | one of text, json                           |

    Examples: plantainstage-entry
      | program | change                            | flag             | value          | range                                                    |
      | entry   | --entry-id 'a b'                  | --entry-id       | a b            | 1 to 63 of [A-Za-z0-9_.-], the first a letter or a digit |
      | entry   | --listen localhost:80             | --listen         | localhost:80   | IP:port with a port from 1 to 65535                      |
      | entry   | --forward-listen 127.0.0.1:7200   | --forward-listen | 127.0.0.1:7200 | another address than --listen                            |
      | entry   | --drain-delay soon                | --drain-delay    | soon           | a number from 0.0 to 600.0 seconds                       |
      | entry   | PLANTAINSTAGE_ENTRY_LOG_LEVEL=all | --log-level      | all            | one of DEBUG, INFO, WARNING, ERROR                       |

  # Guards against several rounds of correction, one for each wrong setting.
  Scenario Outline: <program> names every wrong setting of one start
    When "<program>" starts with <change>
    Then it exits with 2 and its errors name exactly <flags>

    Examples:
      | program | change                                                      | flags                                |
      | burn    | --minutes 0 --format xml --timeout x --plot a.gif           | --format --minutes --plot --timeout  |
      | burn    | --minutes 0 PLANTAINSTAGE_BURN_TIMEOUT=-1                   | --minutes --timeout                  |
      | entry   | --data-centre '' --listen x --drain-delay -1                | --data-centre --drain-delay --listen |

  # Guards against a misspelt flag that is silently ignored.
  Scenario Outline: <program> refuses an unknown flag
    When "<program>" starts with <change>
    Then it exits with 2 and its text contains "<text>"

    Examples:
      | program | change      | text                         |
      | burn    | --minuets 5 | No such option               |

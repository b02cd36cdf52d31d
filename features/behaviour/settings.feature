Feature: Invalid settings are refused with the flag, the valid range and a remedy

  # Guards against a program that starts with an invalid setting, or whose message
  # lacks the flag, the valid range or the remedy.
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

    Examples: plantainstage-gateway and plantainstage-registry
      | program  | change                                | flag           | value          | range                               |
      | gateway  | --registry registry:80                | --registry     | registry:80    | IP:port with a port from 1 to 65535 |
      | gateway  | --retry-ratio 2                       | --retry-ratio  | 2              | a number from 0.0 to 1.0            |
      | gateway  | --quota-slack 1                       | --quota-slack  | 1              | a number from 4.0 to 1000000.0 requests |
      | gateway  | --quota-window 0                      | --quota-window | 0              | a number from 0.5 to 60.0 s         |
      | registry | --quota-overage nan                   | --quota-overage | nan           | a number from 0.0 to 10.0           |
      | gateway  | --warm-up-overage 0.5                 | --warm-up-overage | 0.5         | a number from 1.0 to 100.0          |
      | gateway  | --warm-up-slack 0                     | --warm-up-slack | 0             | a number from 1.0 to 1000000.0 requests |
      | gateway  | --listen USED                         | --listen       | USED           | an address of this host with a free port |
      | gateway  | PLANTAINSTAGE_GATEWAY_STOP=0          | --stop         | 0              | a number from 1.0 to 600.0 s        |
      | registry | --heartbeat never                     | --heartbeat    | never          | a number from 0.05 to 60.0 s        |
      | registry | --data-folder /dev/null/x             | --data-folder  | /dev/null/x    | a folder that this process may write |
      | registry | --found --seed 127.0.0.1:1            | --found        | True           | --listen among the addresses of --seed |

    Examples: plantainstage-entry
      | program | change                               | flag             | value          | range                                |
      | entry   | --drain-delay soon                   | --drain-delay    | soon           | a number from 0.0 to 600.0 seconds   |
      | entry   | --drain-delay 601                    | --drain-delay    | 601            | a number from 0.0 to 600.0 seconds   |
      | entry   | --entry-id 'rider desk'              | --entry-id       | rider desk     | 1 to 63 of [A-Za-z0-9_.-]            |
      | entry   | --data-centre ''                     | --data-centre    |                | 1 to 63 of [A-Za-z0-9_.-]            |
      | entry   | --listen localhost:7200              | --listen         | localhost:7200 | IP:port with a port from 1 to 65535  |
      | entry   | --listen 127.0.0.1:65536             | --listen         | 127.0.0.1:65536 | IP:port with a port from 1 to 65535 |
      | entry   | --listen USED                        | --listen         | USED           | an address of this host with a free port |
      | entry   | --forward-listen USED                | --forward-listen | USED           | an address of this host with a free port |
      | entry   | --forward-listen 192.0.2.1:7300      | --forward-listen | 192.0.2.1:7300 | an address of this host with a free port |
      | entry   | --control 127.0.0.1                  | --control        | 127.0.0.1      | IP:port with a port from 1 to 65535  |
      | entry   | --control 127.0.0.1:7100             | --control        | 127.0.0.1:7100,127.0.0.1:7100 | at least 1 distinct addresses |
      | entry   | --statsd-address statsd:8125         | --statsd-address | statsd:8125    | IP:port with a port from 1 to 65535  |
      | entry   | --log-level LOUD                     | --log-level      | LOUD           | one of DEBUG, INFO, WARNING, ERROR   |
      | entry   | PLANTAINSTAGE_ENTRY_DRAIN_DELAY=-1   | --drain-delay    | -1             | a number from 0.0 to 600.0 seconds   |

    Examples: plantainstage-control
      | program | change                               | flag             | value          | range                                |
      | control | --replica-id '' | --replica-id     |                | 1 to 63 of [A-Za-z0-9_.-]            |
      | control | --listen 127.0.0.1 | --listen         | 127.0.0.1      | IP:port with a port from 1 to 65535  |
      | control | --listen USED | --listen         | USED           | an address of this host with a free port |
      | control | --kept-answers-mib 0 | --kept-answers-mib | 0 | a whole number from 1 to 1024 MiB |
      | control | --peer-listen USED --data-folder FOLDER --bootstrap | --peer-listen    | USED           | an address of this host with a free port |
      | control | --data-folder /dev/null/data --bootstrap | --data-folder    | /dev/null/data | a folder that this process may write |
      | control | --peers control-2 --data-folder FOLDER --bootstrap | --peers          | control-2      | ID=CLIENT,PEER with two addresses    |
      | control | --log-level LOUD | --log-level      | LOUD           | one of DEBUG, INFO, WARNING, ERROR   |
      | control | PLANTAINSTAGE_CONTROL_LOG_LEVEL=LOUD | --log-level      | LOUD           | one of DEBUG, INFO, WARNING, ERROR   |

    Examples: plantainstage-ctl
      | program | change                               | flag               | value | range                                 |
      | ctl     | profile publish rider --index i --deadline-ms soon                   | --deadline-ms      | soon  | a whole number                        |
      | ctl     | profile publish rider --index i --deadline-ms 0                      | --deadline-ms      | 0     | a whole number                        |
      | ctl     | profile publish rider --index i --deadline-ms 80 --late-fraction 2 | --late-fraction    | 2     | a number                              |
      | ctl     | profile publish rider --index i --deadline-ms 80 --minimum-coverage nan | --minimum-coverage | nan   | a number                              |
      | ctl     | profile publish rider --index i --deadline-ms 80 --operator 'a b' | --operator         | a b   | 1 to 63 of [A-Za-z0-9_.-]             |
      | ctl     | profile publish rider --index i --deadline-ms 80 --number x | --number           | x     | a whole number                        |
      | ctl     | profile publish rider --index i --deadline-ms 80 PLANTAINSTAGE_CTL_TIMEOUT=0 | --timeout          | 0     | a number from 0.1 to 3600.0 seconds   |

    Examples: plantainstage-control, further settings
      | program | change                                 | flag               | value          | range                                                    |
      | control | --listen localhost:7100 | --listen           | localhost:7100 | IP:port with a port from 1 to 65535                      |
      | control | PLANTAINSTAGE_CONTROL_LISTEN=7100 | --listen           | 7100           | IP:port with a port from 1 to 65535                      |
      | control | --replica-id a/b | --replica-id       | a/b            | 1 to 63 of [A-Za-z0-9_.-], the first a letter or a digit |
      | control | --log-level LOUD | --log-level        | LOUD           | one of DEBUG, INFO, WARNING, ERROR                       |
      | control | --data-folder /dev/null/x --join | --data-folder      | /dev/null/x    | a folder that this process may write                     |
      | control | --data-folder run/c | --bootstrap/--join | None           | one of the two exactly when --data-folder is given       |
      | control | --data-folder run/c --bootstrap --peers x | --peers         | x              | ID=CLIENT,PEER with two addresses of IP:port             |
      | control | --data-folder run/c --join --peer-listen 127.0.0.1:7100 | --peer-listen | 127.0.0.1:7100 | another address than --listen               |

    Examples: plantainstage-ctl, further commands
      | program | change                                          | flag          | value | range                                       |
      | ctl     | profile publish rider --index i --deadline-ms 0 | --deadline-ms | 0     | a whole number from 1 to 60000 ms           |
      | ctl     | profile retire rider --number 0                 | --number      | 0     | a whole number from 1 to 9007199254740992   |
      | ctl     | wait 3 --timeout nan                            | --timeout     | nan   | a number from 0.1 to 3600.0 seconds         |
      | ctl     | status --control x                              | --control     | x     | IP:port with a port from 1 to 65535         |
      | ctl     | replica add c1 ab --client-address x --peer-address 127.0.0.1:1 | --client-address | x | IP:port with a port from 1 to 65535 |

    Examples: plantainstage-entry, further settings
      | program | change                            | flag             | value          | range                                                    |
      | entry   | --entry-id 'a b'                  | --entry-id       | a b            | 1 to 63 of [A-Za-z0-9_.-], the first a letter or a digit |
      | entry   | --listen localhost:80             | --listen         | localhost:80   | IP:port with a port from 1 to 65535                      |
      | entry   | --listen 127.0.0.1:7200 --forward-listen 127.0.0.1:7200 | --forward-listen | 127.0.0.1:7200 | another address than --listen                            |
      | entry   | --drain-delay soon                | --drain-delay    | soon           | a number from 0.0 to 600.0 seconds                       |
      | entry   | PLANTAINSTAGE_ENTRY_LOG_LEVEL=all | --log-level      | all            | one of DEBUG, INFO, WARNING, ERROR                       |

  # Guards against a program that stops at the first of several invalid settings, so
  # that an operator needs one start to find each of them.
  Scenario Outline: <program> reports every invalid setting of one start
    When "<program>" starts with <change>
    Then it exits with 2 and its errors name exactly <flags>

    Examples:
      | program | change                                                      | flags                                |
      | burn    | --minutes 0 --format xml --timeout x --plot a.gif           | --format --minutes --plot --timeout  |
      | burn    | --minutes 0 PLANTAINSTAGE_BURN_TIMEOUT=-1                   | --minutes --timeout                  |
      | entry   | --entry-id '' --drain-delay x --log-level X --control y --listen USED | --control --drain-delay --entry-id --listen --log-level |
      | entry   | --drain-delay x PLANTAINSTAGE_ENTRY_LOG_LEVEL=X             | --drain-delay --log-level            |
      | control | --replica-id '' --log-level X --listen USED --data-folder /dev/null/x --peers x --bootstrap --peer-listen FREE | --data-folder --listen --log-level --peers --replica-id |
      | ctl     | profile publish rider --index i --deadline-ms 0 --late-fraction 2 --operator '' --timeout 0 | --deadline-ms --late-fraction --operator --timeout |
      | control | --listen x --replica-id ? --log-level no --statsd-address y | --listen --log-level --replica-id --statsd-address |
      | ctl     | profile publish rider --deadline-ms x --weight 0 --timeout y --number z --operator ? | --deadline-ms --index --number --operator --timeout --weight |
      | entry   | --data-centre '' --listen x --drain-delay -1                | --data-centre --drain-delay --listen |

  # Guards against misspelt flags that are silently ignored.
  Scenario Outline: <program> refuses an unknown flag
    When "<program>" starts with <change>
    Then it exits with 2 and its text contains "<text>"

    Examples:
      | program | change      | text                         |
      | burn    | --minuets 5 | No such option               |
      | entry   | --drian 5   | No such option               |
      | control | --replica x | No such option               |
      | ctl     | --dead 5    | No such option               |

Feature: Versions of hosts that pass requests on to each other

  Scenario Outline: A helper at version <helper> with <its route> <does> a request from version <origin>
    # Guards against a caller that sees an older version again, as its host passes on to newer helpers.
    When a helper with version <helper> and <its route> is asked from version <origin>
    Then it <does> the request

    Examples:
      | helper | origin | its route     | does                       |
      | 2      | 2      | the route     | takes                      |
      | 1      | 2      | the route     | takes                      |
      | 3      | 2      | the route     | takes                      |
      | 1      | 2      | another route | refuses as older_configuration |
      | 1      | 2      | no route      | refuses as older_configuration |
      | 3      | 2      | another route | refuses as newer_configuration |
      | 3      | 2      | no route      | refuses as no_route        |

Feature: The build of a deployment

  Scenario Outline: A build replaces a dependency folder that <state>
    # Guards against programs that end at their start for want of a module.
    Given a checkout whose dependency folder <state>
    When the checkout is built
    Then its programs can load their dependencies

    Examples:
      | state                     |
      | is empty                  |
      | lacks a file of a package |
      | belongs to another lock   |
      | belongs to another Python |

  Scenario: A build after an interrupted one installs the dependencies
    # Guards against a folder that is taken for whole since it exists.
    Given a checkout in which a build was killed while it installed
    When the checkout is built
    Then its programs can load their dependencies

  Scenario: Builds at the same time leave a whole dependency folder
    # Guards against builds that move packages from under each other.
    Given a new checkout
    When the checkout is built 4 times at once
    Then its programs can load their dependencies

  Scenario: A build that cannot install fails and says so
    # Guards against a build that succeeds without its dependencies.
    Given a checkout whose lock names a package that cannot be had
    Then its build fails and names the lock

  Scenario: A build that cannot install keeps the folder of an earlier lock
    # Guards against a folder that is removed before its successor is whole.
    Given a built checkout whose lock then names a package that cannot be had
    Then its build fails and names the lock
    And its programs can load their dependencies

  Scenario: A build with unchanged dependencies installs nothing
    # Guards against builds that need the registry without a reason.
    Given a built checkout
    When the checkout is built without an installer
    Then its programs can load their dependencies

  Scenario: A build of whole dependencies writes nothing
    # Guards against a build that fails in a checkout which its user may only read.
    Given a built checkout whose build lock cannot be opened
    When the checkout is built without an installer
    Then its programs can load their dependencies

  Scenario: Other users can read a dependency folder
    # Guards against programs that run as another user than the build.
    Given a new checkout
    When the checkout is built with a private file mode
    Then all users can read its dependency folder

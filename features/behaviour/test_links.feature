Feature: Test links that inject network faults

  Scenario Outline: A link injects the fault <fault>
    # Guards against failure scenarios that pass because no fault took effect.
    Given an echo server behind a link and a connection that has echoed
    When the link injects the fault <fault>
    Then the old connection <old> and a new connection <new>
    And after release the old connection <later>

    Examples:
      | fault            | old         | new         | later       |
      | hold             | is silent   | is silent   | echoes late |
      | silence_existing | is silent   | echoes      | is silent   |
      | drop             | is silent   | is silent   | loses bytes |
      | reset            | is reset    | echoes      | is reset    |
      | delay            | echoes      | echoes      | echoes      |

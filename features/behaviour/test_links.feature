Feature: Links that scenarios can cut

  Scenario Outline: A link behaves as a <fault> network
    # Guards against failure scenarios that pass because no failure took place.
    Given an echo server behind a link and a connection that has echoed
    When the link is told to <fault>
    Then the old connection <old> and a new connection <new>
    And after release the old connection <later>

    Examples:
      | fault            | old         | new         | later       |
      | hold             | stays mute  | stays mute  | echoes late |
      | silence_existing | stays mute  | echoes      | stays mute  |
      | drop             | stays mute  | stays mute  | has a gap   |
      | reset            | is reset    | echoes      | is reset    |
      | delay            | echoes      | echoes      | echoes      |

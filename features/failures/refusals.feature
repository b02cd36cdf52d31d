Feature: A searcher's refusal counts only for the sub-request that it names

  Scenario Outline: A reply of <status> that names <named> ends a sub-request as <outcome>
    # Guards against "not_run" from the refusal of an earlier sub-request, on a
    # connection whose replies have lost step with its requests.
    Given a searcher that replies <status> and names <named>
    When its owner sends it one sub-request
    Then the sub-request ends as <outcome>
    And the connection is kept only if the refusal was for this sub-request

    Examples:
      | status | named       | outcome   |
      | 503    | the sent    | refused   |
      | 409    | the sent    | refused   |
      | 499    | the sent    | cancelled |
      | 503    | another one | invalid   |
      | 409    | another one | invalid   |
      | 499    | another one | invalid   |
      | 503    | none        | invalid   |

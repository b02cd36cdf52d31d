Feature: A searcher's refusal counts only for the sub-request that it names

  Scenario Outline: A reply of <status> with <named> ends a sub-request as <outcome>
    # Guards against reporting "not_run" because of the refusal of an earlier
    # sub-request, on a connection whose replies no longer match its requests.
    Given a searcher that replies <status> with <named>
    When its owner sends it one sub-request
    Then the sub-request ends as <outcome>
    And the connection is kept only if the refusal was for this sub-request

    Examples:
      | status | named       | outcome   |
      | 503    | the sent id | refused   |
      | 409    | the sent id | refused   |
      | 499    | the sent id | cancelled |
      | 503    | another id  | invalid   |
      | 409    | another id  | invalid   |
      | 499    | another id  | invalid   |
      | 503    | no id       | invalid   |

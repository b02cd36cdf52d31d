Feature: An answer that a searcher breaks off is never passed on as a whole one

  Scenario Outline: A searcher that breaks off <place> gives no success, <kind>
    # Guards against a success with an empty or short body that is framed as whole.
    Given a routed tier with one searcher for each of 4 shards
    And a searcher "c-1" of "cards"
    And answers of each searcher end <place>
    When a caller sends <method> "<target>" with body "x"
    Then the caller gets 502

    Examples:
      | place                        | kind         | method | target  |
      | inside the status line       | repeatable   | GET    | /read/x |
      | inside a header              | repeatable   | GET    | /read/x |
      | before the end of the head   | repeatable   | GET    | /read/x |
      | after the head               | repeatable   | GET    | /read/x |
      | inside the body              | repeatable   | GET    | /read/x |
      | inside a chunk size          | repeatable   | GET    | /read/x |
      | inside a chunk               | repeatable   | GET    | /read/x |
      | after a chunk                | repeatable   | GET    | /read/x |
      | before the end of a trailer  | repeatable   | GET    | /read/x |
      | inside the status line       | at-most-once | POST   | /card/x |
      | inside a header              | at-most-once | POST   | /card/x |
      | before the end of the head   | at-most-once | POST   | /card/x |
      | after the head               | at-most-once | POST   | /card/x |
      | inside a chunk size          | at-most-once | POST   | /card/x |
      | after a chunk                | at-most-once | POST   | /card/x |
      | before the end of a trailer  | at-most-once | POST   | /card/x |
      | inside the status line       | gathered     | GET    | /all/x  |
      | inside a header              | gathered     | GET    | /all/x  |
      | before the end of the head   | gathered     | GET    | /all/x  |
      | after the head               | gathered     | GET    | /all/x  |
      | inside a chunk size          | gathered     | GET    | /all/x  |
      | after a chunk                | gathered     | GET    | /all/x  |
      | before the end of a trailer  | gathered     | GET    | /all/x  |

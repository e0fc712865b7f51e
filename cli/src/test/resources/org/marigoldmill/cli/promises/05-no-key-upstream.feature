Feature: No upstream sees a caller's key

  Scenario: keys in every place where a caller may put them
    Given the system
    When "lookups" is called at "a1" by "tuul" with "plain"
    And "lookups" is called at "a1" by "tuul" with the key in header "X-Api-Key"
    And "lookups" is called at "a1" by "tuul" with the key in header "Cookie"
    And "lookups" is called at "a1" by "tuul" with the key in header "X-Custom"
    And "lookups" is called at "a1" by "tuul" with the key in its query
    And "lookups" is called at "a1" by "tuul" with the key in its body
    And "status" is called at "a1" by "tuul" with "open route"
    Then the answers are "200, 200, 200, 400, 400, 400, 200"
    And no upstream has received a key
    And no log of an entry instance holds a key

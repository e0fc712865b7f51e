Feature: The failure of one request or connection does not spread

  Scenario: a request that crashes what runs it is stopped after two upstreams
    Given the system
    And 2 more upstreams of pool "records" in zone "a"
    And "records-a1" crashes on requests that contain "poison"
    And "records-a2" crashes on requests that contain "poison"
    And "records-a3" crashes on requests that contain "poison"
    And "records-b1" crashes on requests that contain "poison"
    When "lookups" is called at "a1, a2, b1, a1, a2, b1" with "poison"
    Then at least 2 of "records-a1, records-a2, records-a3, records-b1" are alive
    And the answers are "422, 422, 422, 422, 422, 422"

  Scenario: open connections go silent while new ones work
    Given the system
    And "records-a1" is reached through a relay
    And "records-b1" is marked as leaving
    When calls to "lookups" continue while all open connections to "records-a1" go silent
    Then every answer belongs to its request
    And at most 1 in 100 calls was refused

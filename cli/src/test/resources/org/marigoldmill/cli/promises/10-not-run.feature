Feature: A refusal saying "not run" is true

  Scenario: upstreams freeze, lose answers and die
    Given the system
    And "records-b1" is frozen
    When 10 calls to "bookings" are made at "a1"
    And "records-a1" loses the answers to 5 requests
    And 10 calls to "bookings" are made at "a1"
    And "records-a1" is killed
    And 10 calls to "bookings" are made at "a1"
    And "records-b1" is marked as leaving
    And 10 calls to "bookings" are made at "a1"
    And "records-b1" is resumed
    Then no call that was refused as not run has run
    And some calls were refused as not run
    And some calls were refused as maybe run

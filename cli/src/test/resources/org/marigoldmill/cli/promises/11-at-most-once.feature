Feature: A non-idempotent request runs at most once

  Scenario: answers are lost and upstreams die
    Given the system
    And "records-a1" loses the answers to 4 requests
    And "records-b1" loses the answers to 4 requests
    When 20 calls to "bookings" are made at "a1"
    Then no call has run more than once

  Scenario: the caller sends the same idempotency key to another instance
    Given the system
    And "records-a1" loses the answers to 1 request
    And "records-b1" loses the answers to 1 request
    When "bookings" is called at "a1, a2, b1" with the idempotency key "booking-7"
    Then no call has run more than once

  Scenario: the instance that took a request on is killed before the caller asks again
    Given the system
    And "records-a1" loses the answers to 1 request
    And "records-b1" loses the answers to 1 request
    When "bookings" is called at "a1" with the idempotency key "booking-8"
    And "a1" is killed
    And "bookings" is called at "b1, a2" with the idempotency key "booking-8"
    Then no call has run more than once

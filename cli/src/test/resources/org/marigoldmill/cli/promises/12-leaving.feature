Feature: A leaving upstream gets no new work after a few seconds

  Scenario: an upstream is marked as leaving under load
    Given the system
    When calls to "lookups" continue while "records-a1" is marked as leaving
    Then "records-a1" runs nothing that began 5 seconds after it was marked
    And every answer belongs to its request
    And at most 0 in 20 calls was refused

Feature: No sample is older than the agreed bound

  Scenario: an engine stays behind for good
    Given the system
    When the trainer of "sheets" runs 5 steps
    And the trainer has finished 1 step
    And "engine-a1" refuses all requests to "/weights"
    Then the trainer finishes within 60 seconds
    And the trainer has counted 0 samples over the bound

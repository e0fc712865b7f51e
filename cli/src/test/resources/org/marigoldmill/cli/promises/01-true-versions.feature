Feature: Every sample names the weight versions that truly produced it

  Scenario: weights switch in mid-generation and some switches fail
    Given the system
    And "engine-a2" refuses 3 requests to "/weights"
    When the trainer of "sheets" runs 12 steps in quick succession
    Then the trainer finishes within 60 seconds
    And the trainer has counted 0 wrong versions

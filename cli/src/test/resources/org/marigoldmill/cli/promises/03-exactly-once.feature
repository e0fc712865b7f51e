Feature: Every sample is delivered exactly once

  Scenario: the process that assembles a job is killed in mid-step
    Given the system
    When the trainer of "sheets" runs 5 steps
    And the trainer has finished 1 step
    And the owner of job "sheets" is killed
    Then the trainer finishes within 60 seconds
    And the trainer has counted 0 duplicates and 0 missing samples

  Scenario: the process that assembles a job is frozen and wakes up beside its successor
    Given the system
    When the trainer of "sheets" runs 8 steps
    And the trainer has finished 1 step
    And the owner of job "sheets" is frozen for 4 seconds
    Then the trainer finishes within 60 seconds
    And the trainer has counted 0 duplicates and 0 missing samples

  Scenario: the log is out
    Given the system
    When the trainer of "sheets" runs 5 steps
    And the trainer has finished 1 step
    And "log" is frozen
    Then the trainer finishes within 60 seconds
    And the trainer has counted 0 duplicates and 0 missing samples

  Scenario: two processes both own the job, because their zones are cut off from each other
    Given the system with zones that can be cut off from each other
    When the trainer of "sheets" runs 8 steps
    And the trainer has finished 1 step
    And the zones are cut off from each other
    And the zones reach each other again
    Then the trainer finishes within 60 seconds
    And the trainer has counted 0 duplicates and 0 missing samples
    And the trainer has counted 0 samples over the bound

Feature: Every planned stop is a graceful shutdown and cuts off no request

  Scenario: an instance is stopped while answers stream
    Given the system
    When 6 long answers stream to "tuul" at "a1"
    And "a1" receives SIGTERM
    Then all 6 answers are complete
    And "a1" has exited with code 0

  Scenario: calls and draws go on while instances are replaced one by one
    Given the system
    When the trainer of "sheets" runs 6 steps
    And calls to "lookups" continue while "a1, a2" are restarted one by one
    Then at most 0 in 20 calls was refused
    And the trainer finishes within 60 seconds
    And the trainer has counted 0 duplicates and 0 missing samples

  Scenario: an instance is stopped while the body of a call arrives
    Given the system
    When the first half of a call to "lookups" is sent to "a1"
    And "a1" receives SIGTERM
    And the second half follows after 4000 ms
    Then the call in halves gets status 200
    And "a1" has exited with code 0

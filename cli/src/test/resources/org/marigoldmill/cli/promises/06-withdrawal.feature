Feature: A withdrawn key stops working within seconds

  Scenario: on every instance, and for streams that are open
    Given the system
    When a long answer streams to "tuul" at "b1"
    And the key of "tuul" is withdrawn at "a1"
    Then within 5 seconds the key of "tuul" is refused at "a1, a2, b1"
    And the open answer is cut within 5 seconds

  Scenario: while the log is out
    Given the system
    And "log" is frozen
    When the key of "tuul" is withdrawn at "a1"
    Then within 5 seconds the key of "tuul" is refused at "a1, a2, b1"
    And after "log" goes on the withdrawal is in the log

  Scenario: a publication that leaves a key out
    Given the system
    When a declaration without the key of "tuul" is published at "a1"
    Then within 5 seconds the key of "tuul" is refused at "a1, a2, b1"

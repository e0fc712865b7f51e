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
    And after "log" is resumed the withdrawal is in the log

  Scenario: a publication that leaves a key out
    Given the system
    When a declaration without the key of "tuul" is published at "a1"
    Then within 5 seconds the key of "tuul" is refused at "a1, a2, b1"

  Scenario: a zone that is cut off refuses where stale knowledge is not allowed, and serves the rest
    Given the system with zones that can be cut off from each other
    And zone "b" is cut off from the platform
    And the zones are cut off from each other
    When the key of "tuul" is withdrawn at "a1"
    Then within 10 seconds calls to "guarded" by "tuul" are answered with 503 at "b1"
    And within 1 seconds calls to "lookups" by "feldplan" are answered with 200 at "b1"
    When the zones reach each other again
    Then within 10 seconds calls to "lookups" by "tuul" are answered with 401 at "b1"

  Scenario: with the log out for everyone, knowledge that comes from all peers is not stale
    Given the system
    And "log" is frozen
    And 5 seconds pass
    Then within 1 seconds calls to "guarded" by "tuul" are answered with 200 at "b1"
    When the key of "tuul" is withdrawn at "a1"
    Then within 5 seconds calls to "guarded" by "tuul" are answered with 401 at "b1"

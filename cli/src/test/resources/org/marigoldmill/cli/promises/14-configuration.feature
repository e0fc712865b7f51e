Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: two operators publish against the same revision
    Given the system
    When declarations are published at "a1" and "b1" against the same revision
    Then exactly one is accepted and the other is refused with a conflict
    And within 5 seconds "a1, a2, b1" have the same revision in force

  Scenario: an instance starts anew while the log is out
    Given the system
    And a second revision is published at "a1"
    And "log" is frozen
    When "a2" is killed and started again
    Then within 10 seconds "a1, a2, b1" have the same revision in force

  Scenario: the log has trimmed the declaration
    Given the system with a log that keeps 60 records
    When 100 records have been appended
    And "a2" is killed and started again
    Then within 10 seconds "a1, a2, b1" have the same revision in force

  Scenario: a zone is cut off from the platform and hears from its peers
    Given the system
    And zone "b" is cut off from the platform
    When a second revision is published at "a1"
    Then within 10 seconds "a1, a2, b1" have the same revision in force

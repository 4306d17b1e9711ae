Feature: New configurations

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |

  Scenario: A new configuration is in force everywhere within seconds
    Given 30 open flows to "classroom-desk"
    When "classroom-desk" is published with a warm-up of 3 s
    Then the new version of "classroom-desk" is in force in all processes
    And no flow is broken

  Scenario: A configuration goes on spreading while the platform is down
    Given 30 open flows to "classroom-desk"
    When "classroom-desk" is published with a warm-up of 3 s
    And the platform goes down
    Then the new version of "classroom-desk" is in force in all processes
    And no flow is broken

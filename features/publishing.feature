Feature: Publishing under faults

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 2       | 2     |

  Scenario: A publish whose answer is lost reports what is true
    Given the platform loses the answer of the next write
    When "classroom-desk" is published with a warm-up of 3 s
    Then the new version of "classroom-desk" is in force in all processes

  Scenario: Of two publishers at the same moment, one wins
    When two operators publish different changes of "classroom-desk"
    Then exactly one publish succeeded, the other reports a conflict and diff
    And the winner's version is in force in all processes

  Scenario: A process that starts during an outage gets the highest version
    When "classroom-desk" is published with a warm-up of 3 s
    Then the new version of "classroom-desk" is in force in all processes
    When the platform goes down
    And a balancer joins
    Then the new version of "classroom-desk" is in force in all processes

Feature: Targets and agents fail

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |

  Scenario: A target that dies breaks its own flows only
    Given 60 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the process "classroom-desk-2" is killed
    And 60 more requests have finished
    And every flow has gone on
    Then only flows of "classroom-desk-2" are broken
    And every request got a whole answer or ran at most once

  Scenario: An agent that dies ends its target's flows only
    Given 60 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the process "agent-classroom-desk-2" is killed
    And 60 more requests have finished
    And every flow has gone on
    Then only flows of "classroom-desk-2" are broken
    And every request got a whole answer or ran at most once

  Scenario: An agent that is paused past its lease runs nothing twice
    Given 20 requests a second to "classroom-desk"
    When the agent of "classroom-desk-2" is paused until it counts as dead
    And 40 more requests have finished
    And the agent of "classroom-desk-2" goes on
    And 40 more requests have finished
    Then only flows of "classroom-desk-2" are broken
    And every request got a whole answer or ran at most once

  Scenario: A balancer that is stopped cuts no request in progress
    Given 60 open flows to "classroom-desk"
    And 8 long requests a second to "classroom-desk"
    When a balancer is stopped
    And the fabric learns of it
    And 20 more requests have finished
    And every flow has gone on
    Then no flow is broken
    And no request in progress was cut
    And every request got a whole answer or ran at most once

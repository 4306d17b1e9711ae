Feature: Processes die, pause and lose each other

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 4       | 2     |

  Scenario: An agent that is killed takes down its own flows only
    Given 80 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the agent of "classroom-desk-1" is killed
    And 200 more requests have ended
    And every flow has gone on
    Then only flows of "classroom-desk-1" are broken
    And every request got a whole answer or ran at most once

  Scenario: A target that is killed takes down its own flows only
    Given 80 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the target "classroom-desk-2" is killed
    And 200 more requests have ended
    And every flow has gone on
    Then only flows of "classroom-desk-2" are broken
    And every request got a whole answer or ran at most once

  Scenario: An agent that is paused past its lease does nothing twice
    Given 80 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the agent of "classroom-desk-3" is paused
    And its lease is fenced
    And 100 more requests have ended
    And the agent of "classroom-desk-3" resumes
    And 200 more requests have ended
    Then only flows of "classroom-desk-3" are broken
    And every request got a whole answer or ran at most once

  Scenario: An agent that restarts knows nothing of its former requests
    Given 20 requests a second to "classroom-desk"
    When the agent of "classroom-desk-1" is killed
    And the agent of "classroom-desk-1" starts again
    And 200 more requests have ended
    Then every request got a whole answer or ran at most once

  Scenario: Lost and doubled packets on every link break nothing
    Given all links lose 2% and double 2% of their packets
    And 80 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When a balancer is killed
    And the target "classroom-desk-2" of "classroom-desk" drains
    And 200 more requests have ended
    And every flow has gone on
    Then no flow is broken
    And every request got a whole answer or ran at most once

  Scenario: A failure domain that is cut off for 30 s does nothing twice
    Given 80 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the failure domain "tainan-a" is cut off for 30 s
    And 100 more requests have ended
    And all members are alive again everywhere
    Then every request got a whole answer or ran at most once

  Scenario: Several failures at once
    Given all links lose 2% and double 2% of their packets
    And 80 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the platform goes down
    And a balancer is killed
    And the agent of "classroom-desk-3" is paused
    And the agent of "classroom-desk-1" is killed
    And its lease is fenced
    And the agent of "classroom-desk-3" resumes
    And the agent of "classroom-desk-1" starts again
    And 300 more requests have ended
    Then every request got a whole answer or ran at most once

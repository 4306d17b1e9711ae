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
    And every flow was answered again or has failed
    Then only flows of "classroom-desk-2" are broken
    And every request got a complete answer or ran at most once

  Scenario: An agent that dies ends its target's flows only
    Given 60 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the process "agent-classroom-desk-2" is killed
    And 60 more requests have finished
    And every flow was answered again or has failed
    Then only flows of "classroom-desk-2" are broken
    And every request got a complete answer or ran at most once

  Scenario: An agent that is paused past its lease runs nothing twice
    Given 20 requests a second to "classroom-desk"
    When the agent of "classroom-desk-2" is paused until it counts as dead
    And 40 more requests have finished
    And the agent of "classroom-desk-2" is resumed
    And 40 more requests have finished
    Then only flows of "classroom-desk-2" are broken
    And every request got a complete answer or ran at most once

  Scenario: A balancer that is stopped cuts no request in progress
    Given 60 open flows to "classroom-desk"
    And 8 long requests a second to "classroom-desk"
    When a balancer is stopped
    And the fabric forwards to the running balancers only
    And 20 more requests have finished
    And every flow was answered again or has failed
    Then no flow is broken
    And no request in progress was cut
    And every request got a complete answer or ran at most once

  Scenario: An agent that restarts knows nothing of its former requests
    Given 20 requests a second to "classroom-desk"
    When the process "agent-classroom-desk-1" is killed
    And the process "agent-classroom-desk-1" starts again
    And 200 more requests have finished
    Then every request got a complete answer or ran at most once

  Scenario: Lost and doubled packets on every link break nothing
    Given all links lose 2% and duplicate 2% of their packets
    And 60 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When a balancer is killed
    And the target "classroom-desk-2" of "classroom-desk" drains
    And 200 more requests have finished
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once

  Scenario: A failure domain that is cut off for 30 s does nothing twice
    Given 60 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the failure domain "tainan-a" is cut off for 30 s
    And 100 more requests have finished
    And all members are alive again everywhere
    Then every request got a complete answer or ran at most once

  Scenario: Several failures at once run nothing twice
    Given all links lose 2% and duplicate 2% of their packets
    And 60 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the platform goes down
    And a balancer is killed
    And the process "agent-classroom-desk-1" is killed
    And the agent of "classroom-desk-3" is paused until it counts as dead
    And the agent of "classroom-desk-3" is resumed
    And the process "agent-classroom-desk-1" starts again
    And 300 more requests have finished
    Then every request got a complete answer or ran at most once

Feature: Everything restarts, or the platform stays away

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |

  Scenario: All balancers and agents restart at once
    Given 30 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When all balancers and agents are killed and start again
    And 30 new flows to "classroom-desk" are open
    And 60 more requests are done
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once
    And all processes still run

  Scenario: The platform is down while a balancer dies and a target drains
    Given 10 new flows a second to "classroom-desk"
    And 10 requests a second to "classroom-desk"
    When the platform goes down
    And a balancer is killed
    And the target "classroom-desk-2" of "classroom-desk" drains
    And the fabric forwards to the running balancers only
    And new flows open after the limit for a draining target
    And 60 more requests are done
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once
    And the drained target got no new work after the limit

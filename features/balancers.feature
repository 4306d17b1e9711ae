Feature: Balancers die and join

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |

  Scenario: A balancer that is killed under traffic breaks no flow
    Given 60 open flows to "classroom-desk"
    And 10 requests a second to "classroom-desk"
    When a balancer is killed
    And every flow was answered again or has failed
    And the fabric forwards to the running balancers only
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once

  Scenario: A balancer that joins under traffic breaks no flow
    Given 60 open flows to "classroom-desk"
    And 10 requests a second to "classroom-desk"
    When a balancer joins
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once

Feature: Targets drain

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |

  Scenario: A target that drains under traffic keeps its flows only
    Given 10 new flows a second to "classroom-desk"
    And 10 requests a second to "classroom-desk"
    When the target "classroom-desk-2" of "classroom-desk" drains
    And new flows open after the limit for a draining target
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once
    And the drained target got no new work after the limit

Feature: Links between failure domains fail

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |

  Scenario: A short cut of a failure domain breaks no flow
    Given 60 open flows to "classroom-desk"
    And 10 requests a second to "classroom-desk"
    When "pingtung-c" is cut off until "classroom-desk-2" counts as suspect
    And "pingtung-c" is connected again until "classroom-desk-2" counts as alive
    And every flow was answered again or has failed
    Then no flow is broken
    And every request got a complete answer or ran at most once

  Scenario: A long cut of a failure domain runs nothing twice
    Given 60 open flows to "classroom-desk"
    And 10 requests a second to "classroom-desk"
    When "pingtung-c" is cut off until "classroom-desk-2" counts as dead
    And 30 more requests have finished
    And "pingtung-c" is connected again until "classroom-desk-2" counts as alive
    And 30 more requests have finished
    Then only flows of "classroom-desk-2" are broken
    And every request got a complete answer or ran at most once

Feature: The timeline tells what happened

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |
      | packet-press   | 127.1.0.2:7000 | 1       | 2     |

  Scenario: The timeline tells how a killed agent was replaced
    Given 30 open flows to "classroom-desk"
    And 20 requests a second to "classroom-desk"
    When the agent of "classroom-desk-2" is killed
    And the siblings of "classroom-desk-2" serve requests again
    Then the timeline shows these events of "classroom-desk-2" in order
      | event          |
      | target suspect |
      | target dead    |
      | lease fenced   |
      | sibling fenced |
    And each sibling was granted the fence before it acquired buckets
    And each sibling acquired buckets before it served a request
    And at least 4 processes report events
    And the process of "classroom-desk-2" is named as unreachable
    And the filters by service and host leave out all other events
    And the picture has a lane for each process
    And only flows of "classroom-desk-2" are broken
    And every request got a complete answer or ran at most once

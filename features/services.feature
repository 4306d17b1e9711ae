Feature: Services stay apart

  Background:
    Given a deployment behind the fault proxy with these services
      | service        | address        | targets | slots |
      | classroom-desk | 127.1.0.1:7000 | 3       | 2     |
      | packet-press   | 127.1.0.2:7000 | 2       | 2     |

  Scenario: Packets for one service never reach another
    Given 30 open flows to "classroom-desk"
    And 30 open flows to "packet-press"
    When malformed, unknown-address and misdirected datagrams are sent
    And every flow was answered again or has failed
    Then no flow is broken
    And no target got a payload of another service
    And all processes still run

Feature: A keyed order runs at most once, and a "not run" is true

  Background:
    Given a fleet of three daemons and two runners that keep orders

  Scenario: An order that was answered is not run again
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the answers are "completed" and "completed"
    And the two answers are the same
    And the order ran 1 time

  Scenario Outline: The runner gives no answer to its call
    Given both runners will <fault> the next call
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the answers are "may_have_run" and "may_have_run"
    And the order ran <runs> time

    Examples:
      | fault          | runs |
      | cut before run | 0    |
      | cut after run  | 1    |
      | fail after run | 1    |

  Scenario: Runners that refuse leave the key free
    Given both runners will refuse the next call
    When an order is sent to daemon 0
    And the runners take calls again
    And it is sent again to daemon 1
    Then the answers are "not_run" and "completed"
    And the order ran 1 time

  Scenario: The platform loses the answers of its changes
    Given the platform will lose 3 answers
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the answers are "completed" and "completed"
    And the order ran 1 time

  Scenario: The platform is down
    Given the platform is down
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the answers are "not_run" and "may_have_run"
    And the order ran 0 time

  Scenario: A key is used for another request
    When an order is sent to daemon 0
    And a different order is sent with its key to daemon 1
    Then the answers are "completed" and "not_run"
    And the second code is "key_reused"
    And the order ran 1 time

  Scenario: A daemon is killed while the runner works
    Given the runners take 1 second for a call
    When an order is on its way through daemon 2
    And daemon 2 is killed once the order runs
    And it is sent again to daemon 1
    Then the answers are "lost" and "may_have_run"
    And the order ran 1 time

  Scenario: A daemon is paused between its claim and the call
    Given the platform takes 0.3 seconds for a call
    When an order is on its way through daemon 2
    And daemon 2 is paused once the claim is entered
    And the platform is quick again
    And it is sent again to daemon 1
    And daemon 2 goes on
    Then the second answer is "may_have_run"
    And the order ran at most once

  Scenario: The daemon that writes a busy segment is paused
    When daemon 2 is paused
    And 6 orders whose keys carry their time are sent to daemons 0 and 1
    And daemon 2 goes on
    Then all of them are answered
    And no order ran twice

  Scenario: A daemon cannot reach the platform
    Given daemon 2 is cut off from the platform
    When 24 orders with keys of both kinds are sent to all daemons
    Then all of them are answered
    And no order ran twice

  Scenario: A daemon that writes for the others stops as planned
    Given the runners take 1 second for a call
    When orders are sent to all ready daemons while daemon 2 stops
    Then daemon 2 exits with status 0
    And all of them are answered
    And each is answered the same when it is sent again
    And no order ran twice

  Scenario: A runner that fails each call is left out
    Given the runner that is taken first fails each call
    When 40 orders are sent to daemon 0
    Then only the calls failed that its ejections allow
    And no order ran twice

  Scenario: Runners that have all failed are not left out
    Given both runners fail each call
    When 8 orders are sent to daemon 0
    And the runners take calls again
    And an order is sent to daemon 0
    Then the answers are "completed"

  Scenario: Orders are sent again through random daemons under faults
    When 30 orders are sent 1 to 5 times while faults come and go
    Then no order ran twice
    And no order that ran was answered "not_run"

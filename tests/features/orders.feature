Feature: A keyed order runs at most once, and each "not_run" verdict is true

  Background:
    Given a fleet of three daemons and two runners that store orders

  Scenario: An order that completed is not run again
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the verdicts are "completed" and "completed"
    And the two responses are the same
    And the order ran 1 time

  Scenario Outline: The runner fails its call
    Given both runners fail the next call by "<fault>"
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the verdicts are "may_have_run" and "may_have_run"
    And the order ran <runs> time

    Examples:
      | fault          | runs |
      | cut before run | 0    |
      | cut after run  | 1    |
      | fail after run | 1    |

  Scenario: Runners that refuse an order leave its key free
    Given both runners fail the next call by "refuse"
    When an order is sent to daemon 0
    And the runners accept calls again
    And it is sent again to daemon 1
    Then the verdicts are "not_run" and "completed"
    And the order ran 1 time

  Scenario: The platform loses the responses to changes
    Given the platform will lose 3 responses
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the verdicts are "completed" and "completed"
    And the order ran 1 time

  Scenario: The platform is down
    Given the platform is down
    When an order is sent to daemon 0
    And it is sent again to daemon 1
    Then the verdicts are "not_run" and "may_have_run"
    And the order ran 0 time

  Scenario: A key is reused for a different order
    When an order is sent to daemon 0
    And a different order is sent with its key to daemon 1
    Then the verdicts are "completed" and "not_run"
    And the second code is "key_reused"
    And the order ran 1 time

  Scenario: A daemon is killed while the runner executes its order
    Given the runners take 1 second for a call
    When an order is in flight through daemon 2
    And daemon 2 is killed once the order runs
    And it is sent again to daemon 1
    Then the verdicts are "lost" and "may_have_run"
    And the order ran 1 time

  Scenario: A daemon is paused between its claim and the call
    Given the platform takes 0.3 seconds for a call
    When an order is in flight through daemon 2
    And daemon 2 is paused once its claim is stored
    And the platform responds without delay again
    And it is sent again to daemon 1
    And daemon 2 resumes
    Then the second verdict is "may_have_run"
    And the order ran at most once

  Scenario: The daemon that writes a busy segment is paused
    When daemon 2 is paused
    And 6 orders with time-based keys are sent to daemons 0 and 1
    And daemon 2 resumes
    Then all of them complete
    And no order ran twice

  Scenario: A daemon cannot reach the platform
    Given daemon 2 is cut off from the platform
    When 24 orders with time-based and other keys are sent to all daemons
    Then all of them complete
    And no order ran twice

  Scenario: A daemon that writes for the others is stopped as planned
    Given the runners take 1 second for a call
    When orders are sent to all ready daemons while daemon 2 stops
    Then daemon 2 exits with status 0
    And all of them complete
    And each receives its stored response when it is sent again
    And no order ran twice

  Scenario: A runner that fails every call is ejected
    Given the runner that is chosen first fails every call
    When 40 orders are sent to daemon 0
    Then no more calls failed than its ejections allow
    And no order ran twice

  Scenario: Runners are not ejected if all of them fail
    Given both runners fail every call
    When 8 orders are sent to daemon 0
    And the runners accept calls again
    And an order is sent to daemon 0
    Then the only verdict is "completed"

  Scenario: Orders are sent repeatedly through random daemons under faults
    When 30 orders are sent 1 to 5 times while faults come and go
    Then no order ran twice
    And no order that ran has the verdict "not_run"

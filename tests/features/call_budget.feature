Feature: Daemons stay within their budget of calls to the platform

  Scenario: An outage and the recovery from it, with more orders than the budget allows
    Given three daemons with a budget of 5 reads and 5 changes a second, under load
    When the platform is down for 10 seconds
    Then no daemon called it more often than its backoff allows
    When the platform is back for 8 seconds
    Then no daemon called it more often than its budget allows
    And all idempotent requests received their complete response
    And no order ran twice and no "not_run" verdict was false

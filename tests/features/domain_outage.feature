Feature: All hosts of a fabric domain fail at once

  Scenario Outline: All hosts of one domain fail and come back
    Given three domains of two groups each, under load; number of daemons: <daemons>
    When all hosts of one domain are <fault> for 10 seconds
    Then no request started on its groups later than 2 seconds after the fault
    And each other domain started requests in each fifth of the outage
    And its ledger changed only by renewals, one in 3 seconds
    And no engine of the other domains received a command
    And each host of the domain was probed at most 8 times in 10 seconds
    When its hosts come back
    Then its groups serve again with the same members
    And no host was in two groups
    And all requests sent later than 2 seconds after the fault completed
    And no response was wrong, doubled or a false "not_run"

    Examples:
      | fault  | daemons |
      | dead   | 3       |
      | frozen | 3       |
      | dead   | 1       |

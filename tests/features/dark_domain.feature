Feature: A whole fabric domain goes dark at once

  Scenario Outline: All hosts of one domain go dark and come back
    Given three domains of two groups each, under load through daemons: <daemons>
    When all hosts of one domain are <fault> for 10 seconds
    Then no request started on its groups later than 2 seconds after
    And each other domain started requests in each fifth of that time
    And its ledger had no change but renewals, one in 3 seconds
    And no engine of the other domains got an order
    And each dark host was probed at most 8 times in 10 seconds
    When its hosts come back
    Then its groups serve again as they were
    And no host was in two groups
    And requests sent later than 2 seconds after the fault were all answered
    And no answer was wrong, doubled or falsely told not run

    Examples:
      | fault  | daemons |
      | dead   | 3       |
      | frozen | 3       |
      | dead   | 1       |

Feature: A whole fabric domain goes dark and comes back

  Scenario: Hosts that were only unreachable
    Given two fabric domains, under load
    When all hosts of one domain are unreachable for 16 seconds
    Then hosts of the dark domain got few probes and no order
    And the ledgers were written no more often than at rest
    And the other domain served on unchanged
    When the hosts come back as they were
    Then the dark domain serves with its old groups and got no order

  Scenario: Hosts that have lost what they held
    Given two fabric domains, under load
    When all hosts of one domain are unreachable for 6 seconds
    And the hosts come back without weights
    Then the dark domain serves with new groups
    And at most 4 hosts loaded weights at once
    And the other domain served on unchanged

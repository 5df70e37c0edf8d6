Feature: A fabric domain recovers after all its hosts were unreachable

  Scenario: The hosts come back with their groups and weights
    Given two fabric domains, under load
    When all hosts of one domain are unreachable for 16 seconds
    Then its hosts received few probes and no command
    And the ledgers were written no more often than without a fault
    And the other domain kept its groups and served
    When the hosts come back with their groups and weights
    Then the domain serves with its old groups and received no command

  Scenario: The hosts come back without their groups and weights
    Given two fabric domains, under load
    When all hosts of one domain are unreachable for 6 seconds
    And the hosts come back without their groups and weights
    Then the domain serves with new groups
    And at most 4 hosts loaded weights at once
    And the other domain kept its groups and served

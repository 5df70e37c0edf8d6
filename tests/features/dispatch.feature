Feature: Requests are dispatched by rank, and continue without their dispatcher

  Scenario: An urgent request overtakes waiting background requests
    Given a fleet of three daemons
    When an urgent request arrives after 30 background ones
    Then each response is complete and belongs to its caller
    And it runs before the background requests that waited

  Scenario Outline: Requests continue while the dispatcher is <fault>
    Given a fleet of three daemons
    When the cell's dispatcher is <fault> while 40 requests wait at it through the others
    Then each response is complete and belongs to its caller
    And the dispatcher recovers and requests through it are answered

    Examples:
      | fault  |
      | frozen |
      | killed |

  Scenario: A new dispatcher prefers the groups that cache a prompt's prefix
    Given a fleet of three daemons and two groups
    And each of two prompts is cached on a different group
    When the cell's dispatcher is killed and the next one has read the cache events
    Then each of the two prompts runs on its group again

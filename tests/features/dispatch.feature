Feature: Requests are dispatched by rank, and go on without their dispatcher

  Scenario: Urgent requests go first under a background flood
    Given a fleet of three daemons
    When an urgent request comes behind 30 background ones
    Then each answer is complete and belongs to its caller
    And it runs before the background requests that waited

  Scenario Outline: Requests go on while the dispatcher's daemon is <fault>
    Given a fleet of three daemons
    When the cell's owner is <fault> while 40 requests wait at it through the others
    Then each answer is complete and belongs to its caller
    And the owner comes back and requests through it are answered

    Examples:
      | fault  |
      | frozen |
      | killed |

  Scenario: A new owner prefers the groups that hold a prompt's head
    Given a fleet of three daemons and two groups
    And each of two prompts is cached on a group of its own
    When the cell's owner is killed and the next one has read the cache events
    Then each of the two prompts runs on its group again

Feature: Daemons that are partitioned from each other keep the guarantees

  Scenario Outline: Both sides of a partition keep serving
    Given four daemons under load, two of them on each side
    When the sides are partitioned by <cause> and the platform is reached by <reach>
    And a member dies and a configuration is submitted
    And 16 seconds pass
    Then no byte passed from the first side to the second
    And no request started on the broken group later than 2 seconds after the fault
    When the partition heals, between daemons first
    Then within 25 seconds all roles have one owner and the newest configuration is in force
    And no group started a request with a member missing for more than 2 seconds
    And no guarantee was violated on either side
    And each host applied commands in the order of their fencing tokens

    Examples:
      | cause                   | reach           |
      | lost packets            | both sides      |
      | lost packets            | the first side  |
      | lost packets            | the second side |
      | lost packets            | no side         |
      | closed connections      | the second side |
      | packets lost in one way | both sides      |

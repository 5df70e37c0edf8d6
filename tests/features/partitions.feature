Feature: Daemons that are cut off from each other go on safely

  Scenario Outline: Both sides of a split run on
    Given four daemons under load, two of them on each side
    When the sides are split by <split> and the platform is reached by <reach>
    And a member dies and a configuration is submitted
    And 16 seconds pass
    Then no byte of a daemon has crossed the split
    And no request started on the broken group later than 2 seconds after
    When the split heals, between daemons first
    Then within 25 seconds all roles have one owner and the newest configuration is in force
    And no request started on a group that missed a member for longer
    And no promise was broken on either side
    And each host obeyed keepers in the order of their terms

    Examples:
      | split                   | reach           |
      | lost packets            | both sides      |
      | lost packets            | the first side  |
      | lost packets            | the second side |
      | lost packets            | no side         |
      | closed connections      | the second side |
      | packets lost in one way | both sides      |

Feature: A grant that has lapsed is not used

  Scenario: A daemon is paused when its grant comes
    Given a group with one slot, taken, and a request that waits through a daemon
    When the daemon is paused and the slot is granted to it
    And a member of the group freezes and the daemon goes on later
    Then the request does not reach the group while the member is missing
    And it is answered whole once the member is back

Feature: A granted request is not sent later than its grant allows

  Scenario: A daemon is paused when it receives its grant
    Given a group whose only slot is taken, and a request that waits through a daemon
    When the daemon is paused and the slot is granted to it
    And a member of the group freezes and the daemon resumes too late to use its grant
    Then the request does not reach the group while the member is frozen
    And it completes later, or its verdict "not_run" is true

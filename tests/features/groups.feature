Feature: A group serves only with all its members

  Scenario Outline: A group with a failed member receives no request
    Given a fleet with a spare host, under load
    When a member other than the leader is <fault>
    Then a group without the member serves within 5 seconds
    And no request started on the old group later than 2 seconds after that
    And after its return the member serves only on command

    Examples:
      | fault  |
      | dead   |
      | frozen |

  Scenario: Groups serve while the platform is down
    Given a fleet with a spare host, under load
    When the platform is down for 12 seconds and a member dies meanwhile
    Then no host applied a command and the groups of live hosts are intact
    And only requests on the broken group failed
    And a group without the member serves within 20 seconds

  Scenario Outline: A leaving host receives no new request and interrupts none
    Given a fleet with a spare host, under load
    When a member leaves because of <cause>
    Then a group without the member serves within 20 seconds
    And no request started on the old group later than 3 seconds after that
    And no request was interrupted

    Examples:
      | cause               |
      | the platform's list |
      | its own report      |
      | an operator's drain |
      | its low speed       |

  Scenario Outline: A controller that is paused past its lease has no effect
    Given three daemons and engines that <treat> old fencing tokens
    When the controller is paused until another daemon has formed a new group
    And the former controller resumes
    Then no command of the former controller took effect

    Examples:
      | treat  |
      | refuse |
      | ignore |

Feature: Groups serve whole or not at all

  Scenario Outline: A group that misses a member gets no request
    Given a fleet with a spare host, under load
    When a member that does not lead is <fault>
    Then a group without the member serves within 5 seconds
    And no request started on the old group later than 2 seconds after
    And after its return the member serves only when ordered

    Examples:
      | fault  |
      | dead   |
      | frozen |

  Scenario: Groups serve on while the platform is down
    Given a fleet with a spare host, under load
    When the platform is down for 12 seconds and a member dies meanwhile
    Then the ledger and the groups of living hosts are as before
    And only requests on the broken group failed
    And a group without the member serves within 20 seconds

  Scenario Outline: A leaving host gets no new request and cuts none
    Given a fleet with a spare host, under load
    When a member leaves by <sign>
    Then a group without the member serves within 20 seconds
    And no request started on the old group later than 3 seconds after
    And no request was cut

    Examples:
      | sign                |
      | the platform's list |
      | its own word        |
      | an operator's drain |
      | its slowness        |

  Scenario Outline: A keeper frozen past its lease gives no order
    Given three daemons and engines that <treat> old fencing numbers
    When the keeper is frozen until another daemon has formed a new group
    And the keeper is thawed
    Then no order of the former keeper took effect

    Examples:
      | treat  |
      | refuse |
      | ignore |

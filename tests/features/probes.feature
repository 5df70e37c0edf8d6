Feature: Daemons share the probes of a fabric domain

  Scenario Outline: A daemon that probes a group stops
    Given four daemons that share the probes of a domain, under load
    Then each host is probed by one daemon
    When the prober of a group is <fault> and a member of the group dies
    Then a group without the member serves
    And no request started on the old group later than 2 seconds after
    And the groups that other daemons probe served meanwhile

    Examples:
      | fault  |
      | frozen |
      | killed |

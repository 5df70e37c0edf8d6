Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change reaches all daemons
    Given a fleet of 9 daemons
    When a configuration is submitted
    Then it is in force on all daemons within 2 seconds
    And no daemon reverted to an older version

  Scenario: A change reaches daemons that are cut off from the platform
    Given a fleet of 9 daemons
    When a third of the daemons is cut off from the platform
    And a configuration is submitted
    Then it is in force on all daemons within 13 seconds
    And no daemon reverted to an older version

  Scenario: An invalid document never replaces a valid one
    Given a fleet of 9 daemons
    When an invalid document is written to the platform
    Then all daemons stay ready with their current configuration
    When a configuration is submitted
    Then it is in force on all daemons within 2 seconds

  Scenario: A restarted daemon gets the configuration from its peers during an outage
    Given a fleet of 9 daemons
    When the platform is down and a daemon is killed and restarted
    Then it is ready only with the newest configuration
    And no daemon reverted to an older version

  Scenario: A restarted daemon does not use an outdated configuration from the platform
    Given a fleet of 9 daemons
    When the platform returns old versions, peers are paused and a daemon is restarted
    Then it is ready only with the newest configuration
    And no daemon reverted to an older version

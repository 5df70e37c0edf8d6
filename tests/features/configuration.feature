Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change reaches all daemons
    Given a fleet of 9 daemons
    When a configuration is submitted
    Then it is in force on all daemons within 2 seconds
    And no daemon went back to an older version

  Scenario: A change reaches daemons that are cut off from the platform
    Given a fleet of 9 daemons
    When a third of the daemons is cut off from the platform
    And a configuration is submitted
    Then it is in force on all daemons within 13 seconds
    And no daemon went back to an older version

  Scenario: A broken document never replaces a good one
    Given a fleet of 9 daemons
    When a broken document is written to the platform
    Then all daemons stay ready with the configuration they have
    When a configuration is submitted
    Then it is in force on all daemons within 2 seconds

  Scenario: A fresh daemon during an outage learns from its peers
    Given a fleet of 9 daemons
    When the platform is down and a daemon is killed and started anew
    Then it is ready only with the newest configuration
    And no daemon went back to an older version

  Scenario: A fresh daemon does not believe a platform that lags
    Given a fleet of 9 daemons
    When the platform answers with old versions, peers are slow and a daemon is started anew
    Then it is ready only with the newest configuration
    And no daemon went back to an older version

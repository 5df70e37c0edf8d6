Feature: Daemons come, go and are cut off

  Scenario: A daemon that hears neither platform nor peers turns unready
    Given three daemons
    When one is cut off from the platform and the others are paused
    Then it turns unready within 20 seconds
    When all is well again
    Then all daemons are ready within 20 seconds

  Scenario: A planned stop under load cuts off no request
    Given three daemons
    When a daemon is stopped under load from callers that keep connections
    Then it exits with status 0 while an idle connection stays open
    And all requests were answered whole

  Scenario: Work goes on while the platform is down
    Given three daemons
    When the platform is down for 15 seconds under load
    Then all requests were answered whole

  Scenario: A fresh daemon serves while the platform is down
    Given three daemons
    When the platform is down and all daemons but one are killed and started anew
    Then each serves idempotent requests within 20 seconds
    And none of them gives an order or claims one
    When all is well again
    Then all daemons are ready within 20 seconds

  Scenario: A daemon is replaced by another at the same address
    Given three daemons
    When a daemon is replaced by one of another name at its address
    Then the others count the new one and not the old one

  Scenario: A port in use gives one clear line
    Given three daemons
    When a second daemon is started with the addresses of the first
    Then it exits with status 1 and names the address

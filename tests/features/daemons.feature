Feature: Daemons start, stop and lose their connections

  Scenario: A daemon that reaches neither the platform nor its peers becomes unready
    Given three daemons
    When one is cut off from the platform and the others are paused
    Then it becomes unready within 20 seconds
    When all faults are removed
    Then all daemons are ready within 20 seconds

  Scenario: A planned stop under load interrupts no request
    Given three daemons
    When a daemon is stopped under load from callers with persistent connections
    Then it exits with status 0 while an idle connection stays open
    And all requests received their complete response

  Scenario: Daemons serve while the platform is down
    Given three daemons
    When the platform is down for 15 seconds under load
    Then all requests received their complete response

  Scenario: A restarted daemon serves while the platform is down
    Given three daemons
    When the platform is down and all daemons but one are killed and restarted
    Then each serves idempotent requests within 20 seconds
    And none of them sends a command or claims an order
    When all faults are removed
    Then all daemons are ready within 20 seconds

  Scenario: A daemon is replaced by another one at the same address
    Given three daemons
    When a daemon is replaced by one with another name at its address
    Then the others count the new daemon and not the old one

  Scenario: An address in use gives one clear error line
    Given three daemons
    When a second daemon is started with the addresses of the first
    Then it exits with status 1 and names the address

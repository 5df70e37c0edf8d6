Feature: Operators change the fleet safely and read the report of the day

  Scenario: The report agrees with the records of the stand-ins
    Given a small fleet for operators
    When 80 requests of all kinds are sent to both daemons
    And the daemons have written their status
    Then the report counts the responses that the callers received
    And the report counts the orders that the stand-ins ran
    And the first line of the printed report starts with yes or no

  Scenario: Log lines of daemons contain no keys and no prompts
    Given a small fleet for operators
    When 20 requests of all kinds are sent to both daemons
    And the daemons have written their status
    Then each log line is flat JSON without keys and prompts

  Scenario: Of two concurrent submissions one succeeds and the other shows the difference
    Given a small fleet for operators
    When another operator submits just before mine
    Then my submission ends with exit code 3 and shows the difference

  Scenario: A submission whose response is lost is resolved by reading back
    Given a small fleet for operators
    When the responses to the next 1 changes of the configuration are lost
    Then my submission ends with exit code 0 and is in force at all daemons

  Scenario: The stored text is the submitted text
    Given a small fleet for operators
    When a document formatted by the settings library is submitted
    Then the platform stores its text byte for byte

  Scenario Outline: Mistakes give one clear error line and an exit code
    Given a small fleet for operators
    When the tool is run with "<arguments>"
    Then it ends with exit code <code> and a line about "<words>"

    Examples:
      | arguments                              | code | words          |
      | status --platform 127.0.0.1:1          | 4    | does not       |
      | status --platform nonsense             | 2    | expected ip    |
      | check /nonexistent.json                | 2    | cannot read    |
      | drain nobody                           | 2    | no host        |
      | undrain nobody                         | 1    | not drained    |
      | explain group nobody                   | 1    | no group       |
      | report --day 1999-01-01                | 1    | no daemon wrote |
      | submit /nonexistent.json               | 2    | cannot read    |
      | report --day yesterday                 | 2    | expected YYYY  |
      | explain group                          | 2    | Missing argument |
      | nonsense                               | 2    | No such command |
      | drain nobody --json                    | 2    | no host        |

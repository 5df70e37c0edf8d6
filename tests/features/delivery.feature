Feature: Each caller receives its complete response despite faults

  Background:
    Given a fleet of two daemons and two groups

  Scenario: A request that one group refuses runs on another one
    When each group in turn refuses requests and one is sent meanwhile
    Then each caller has its complete response

  Scenario: A stream that is cut is resumed on another group
    Given each engine cuts its streams after 7 tokens
    When 8 streams of 20 tokens are read
    Then each caller has its complete response

  Scenario: A stream that cannot be resumed ends with a true verdict
    Given each engine cuts its streams after 2 tokens
    When 2 streams of 30 tokens are read
    Then each response ends with "may_have_run"
    And no token before that was lost or repeated

  Scenario: A keyed stream that is cut is not run again
    Given each engine cuts its streams after 3 tokens
    When a keyed stream of 20 tokens is read
    Then each response ends with "may_have_run"
    And its request ran once

  Scenario: Groups fail and recover under load
    When 160 requests are sent while one host after another cuts its streams
    Then no response is wrong, doubled or a false "not_run"
    And most requests complete

  Scenario: A caller that disconnects from a unary request frees its slot
    Given engines take 0.2 seconds for a token
    When callers fill all slots with unary requests and disconnect
    And the engines run at their usual speed again
    Then a new request is answered within 5 seconds
    And "may_have_run" was counted for the callers that disconnected

  Scenario: A refused request leaves its connection usable
    When requests with a bad key and a large body share a connection
    Then each of them receives a response on that connection

  Scenario: A deadline includes the time in the queue
    Given engines take 0.2 seconds for a token
    When all slots are taken and a request with a short deadline waits
    Then its verdict is "not_run" and it never runs

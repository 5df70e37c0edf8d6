Feature: The right caller gets the whole answer, whatever breaks

  Background:
    Given a fleet of two daemons and two groups

  Scenario: What one group refuses, another one runs
    When each group in turn refuses requests and one is sent meanwhile
    Then each caller has its whole answer

  Scenario: A stream that is cut goes on elsewhere
    Given each engine cuts its streams after 7 tokens
    When 8 streams of 20 tokens are read
    Then each caller has its whole answer

  Scenario: A stream that cannot be resumed ends with its true verdict
    Given each engine cuts its streams after 2 tokens
    When 2 streams of 30 tokens are read
    Then each answer ends with "may_have_run"
    And no token was lost or doubled before that

  Scenario: A keyed stream that is cut is not run again
    Given each engine cuts its streams after 3 tokens
    When a keyed stream of 20 tokens is read
    Then each answer ends with "may_have_run"
    And it ran once

  Scenario: Groups die and come back under load
    When 160 requests are sent while leading hosts die and come back
    Then no answer is wrong, doubled or falsely "not run"
    And most requests are answered

  Scenario: A caller that hangs up in a unary wait frees its slot
    Given engines take 0.2 seconds for a token
    When callers fill all slots with unary requests and hang up
    And the engines are quick again
    Then a new request is answered at once
    And "may_have_run" was counted for those that hung up

  Scenario: A refused request leaves its connection usable
    When requests with a bad key and a large body share a connection
    Then each of them is answered on that connection

  Scenario: A deadline covers the queue
    Given engines take 0.2 seconds for a token
    When all slots are taken and a request with a short deadline waits
    Then it is answered "not_run" and never runs

Feature: A request goes from a caller to a group, and its response back

  Scenario: Each caller receives the complete response to its own request
    Given a small fleet
    When 60 requests of all kinds are sent to both daemons
    Then each response is complete and belongs to its caller

  Scenario: Tokens arrive one by one
    Given a small fleet
    When a stream of 40 tokens is read chunk by chunk
    Then its first token arrives before half of the stream's duration

  Scenario Outline: Invalid requests get a clear error with a verdict
    Given a small fleet
    When a request with <mistake> is sent
    Then the response is a <status> error "<code>" with verdict "not_run"

    Examples:
      | mistake                | status | code           |
      | a bad key              | 401    | unauthorized   |
      | no key                 | 401    | unauthorized   |
      | bad JSON               | 400    | bad_request    |
      | a JSON list            | 400    | bad_request    |
      | no prompt              | 400    | bad_request    |
      | a negative max_tokens  | 400    | bad_request    |
      | an oversized body      | 413    | body_too_large |
      | an unknown model       | 404    | unknown_model  |
      | an unknown rank        | 400    | unknown_rank   |
      | an unknown service     | 404    | unknown_service |
      | an unknown path        | 404    | not_found      |

  Scenario: A caller that disconnects frees its slot
    Given a small fleet
    When callers with streams of 100000 tokens disconnect early
    Then the engine cancels their runs
    And a new request is answered within 5 seconds

  Scenario: A caller that disconnects while it waits leaves the queue
    Given a small fleet
    When both slots are taken and a third caller disconnects while it waits
    Then the engine never runs the third request

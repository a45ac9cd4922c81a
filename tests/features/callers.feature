Feature: Answers to callers
  A node with stand-in upstreams answers each caller's request once, over real sockets.

  Scenario Outline: An engine fault gives a whole answer or a typed error
    Given a node with stand-in upstreams
    And the engine injects <fault> <count> times
    When a caller requests a <form> answer
    Then the answer has status <status> and outcome <outcome>

    Examples:
      | fault     | count | form     | status | outcome            |
      | refuse    | 1     | whole    | 200    | whole              |
      | refuse    | 9     | whole    | 502    | upstream_failed    |
      | garble    | 9     | whole    | 502    | upstream_garbled   |
      | mismatch  | 9     | whole    | 502    | answer_mismatch    |
      | break     | 1     | streamed | 200    | whole              |
      | truncate  | 1     | streamed | 200    | whole              |
      | duplicate | 1     | streamed | 200    | whole              |
      | reorder   | 1     | streamed | 200    | whole              |
      | garble    | 9     | streamed | 200    | upstream_garbled   |
      | mismatch  | 9     | streamed | 200    | answer_mismatch    |

  Scenario Outline: A call that fails at a plain service is not run again
    Given a node with stand-in upstreams
    And the service injects <fault> <count> times
    When a caller posts a tag twice with one idempotency key
    Then the answers have statuses <first> and <second>
    And the tag ran at most once

    Examples:
      | fault       | count | first | second |
      | lose_answer | 1     | 502   | 409    |
      | mismatch    | 1     | 502   | 409    |
      | break       | 1     | 502   | 409    |

  Scenario Outline: An invalid request is refused as not run
    Given a node with stand-in upstreams
    When a caller sends <request>
    Then the request is refused as not run with <status> and <reason>

    Examples:
      | request                | status | reason                   |
      | an unknown API key     | 401    | unauthenticated          |
      | an unknown model       | 404    | unknown_model            |
      | invalid JSON           | 400    | malformed_request        |
      | a forged session token | 400    | session_invalid          |
      | a deadline of 0 ms     | 400    | deadline_invalid         |
      | an oversized body      | 413    | body_too_large           |
      | an unknown path        | 404    | unknown_path             |
      | a tag without a key    | 400    | idempotency_key_required |

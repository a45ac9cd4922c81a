Feature: What callers get
  A node between stand-ins answers each caller's request once, over real sockets.

  Scenario Outline: A fault of the engine gets a typed outcome
    Given a node with stand-ins
    And the engine will <fault> <count> times
    When a caller asks for a <form> answer
    Then the answer has status <status> and ends <ending>

    Examples:
      | fault     | count | form     | status | ending             |
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

  Scenario Outline: A fault of a plain service gets a truthful answer
    Given a node with stand-ins
    And the service will <fault> <count> times
    When a caller posts a tag and posts it again
    Then the statuses are <first> and <second>
    And the tag ran at most once

    Examples:
      | fault       | count | first | second |
      | lose_answer | 1     | 502   | 409    |
      | mismatch    | 1     | 502   | 409    |
      | break       | 1     | 502   | 409    |

  Scenario Outline: Bad input is refused as not run
    Given a node with stand-ins
    When a caller sends <input>
    Then the answer is refused with <status> and <reason> as not run

    Examples:
      | input            | status | reason                   |
      | a wrong key      | 401    | unauthenticated          |
      | an unknown model | 404    | unknown_model            |
      | broken JSON      | 400    | malformed_request        |
      | a false session  | 400    | session_invalid          |
      | no deadline left | 400    | deadline_invalid         |
      | a huge body      | 413    | body_too_large           |
      | an unknown path  | 404    | unknown_path             |
      | a tag, no key    | 400    | idempotency_key_required |

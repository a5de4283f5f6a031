@bad-input
Feature: malformed input gets a typed error and affects no other request

  Scenario Outline: a caller who sends <bad> gets a typed refusal with status <status>
    Given listeners with a fake entry host and a caller in the middle of a stream
    When a caller sends the listener <bad>
    Then the listener responds with <status> and a typed refusal of work not run
    And the listener serves the next caller and the stream completes

    Examples:
      | bad                                    | status |
      | malformed JSON                         | 400    |
      | JSON nested too deeply                 | 400    |
      | a prompt that is a number              | 400    |
      | a prompt of lone surrogates            | 400    |
      | a body that is not UTF-8               | 400    |
      | a body over the limit                  | 413    |
      | a body far over the limit              | 413    |
      | a chunked body over the limit          | 413    |
      | a chunked body far over the limit      | 413    |
      | a length that is no number             | 400    |
      | a negative length                      | 400    |
      | two unequal lengths                    | 400    |
      | a length of 5,000 digits               | 400    |
      | a length of a superscript digit        | 400    |
      | a length and chunks                    | 400    |
      | a broken chunk                         | 400    |
      | no HTTP at all                         | 400    |
      | a start line of three words too many   | 400    |
      | a header without a colon               | 400    |
      | headers over the limit                 | 431    |
      | an unknown path                        | 404    |
      | an unknown service                     | 404    |
      | a service name of bad escapes          | 404    |
      | an availability zone that is not UTF-8 | 400    |
      | PUT to a service                       | 405    |
      | an unknown method                      | 405    |
      | POST to the entries                    | 405    |
      | a priority that is a word              | 400    |
      | a priority out of range                | 400    |
      | a deadline of 500 digits               | 400    |
      | an organisation with spaces            | 400    |
      | an organisation in Latin-1             | 400    |
      | an empty idempotency key               | 400    |
      | a repeatable mark that is a word       | 400    |

  Scenario: operators and backend servers get typed errors for malformed input
    Given listeners with a fake entry host and a caller in the middle of a stream
    Then the operators' and agents' listeners refuse malformed input with typed errors
    And the listener serves the next caller and the stream completes

  Scenario: a connection left idle during a request is closed, others are not affected
    Given listeners with a short idle timeout and a caller in the middle of a stream
    When callers send incomplete headers or an incomplete body and then nothing
    Then the listener closes the idle connections
    And the listener serves the next caller and the stream completes

  Scenario: connections over the limit are closed and earlier ones are served
    Given listeners with a fake entry host and a caller in the middle of a stream
    When callers open more connections than the listener allows
    Then the listener closes those over the limit
    And the listener serves the next caller and the stream completes

  Scenario: the session of a caller that disconnects or stops reading is cancelled
    Given listeners with a fake entry host and a caller in the middle of a stream
    Then the session of a caller that disconnects during a stream is cancelled
    And the session of a caller that does not read a long stream is cancelled

  Scenario: a plain service's status is forwarded and an error is never reported as not run
    Given listeners with a fake entry host and a caller in the middle of a stream
    Then plain responses with status 200, 204, 304, 404 and 500 are forwarded unchanged
    And a plain response that can't be written is refused with an unknown outcome

Feature: Answers that arrive on a connection that is in use again

  # Guards against a late second copy of an answer that is taken for the next request's,
  # or for the answer to the same request when it is sent again.
  Scenario Outline: A late copy of <copy> is not taken for another answer, if requests may <repetition>
    Given a server that sends a second copy of <copy> when the next request arrives
    When a caller sends two requests that may <repetition>, one after the other
    Then the second caller does not get the first one's answer
    And no request ran twice
    And no request that was refused has run

    Examples:
      | copy                                    | repetition  |
      | an answer with its request's id         | run once    |
      | an answer without its request's id      | run once    |
      | an answer without its request's id      | be repeated |
      | a refusal with its request's id         | run once    |
      | a refusal with its request's id         | be repeated |
      | a refusal without its request's id      | run once    |
      | a refusal without its request's id      | be repeated |

  Scenario: A late copy of a refusal is not the answer to the request that its caller sends again
    Given a server that refuses three attempts and sends a copy of a refusal later
    When its caller is refused and sends the request again with the same id
    Then the request runs once and its caller gets the answer

  # Guards against a copy that is accepted because the request has no id to compare.
  Scenario: A late copy of an answer is not the answer to a request without an id
    Given a server that sends a second copy of an answer with its request's id when the next request arrives
    When a caller sends a request, and then one without an id
    Then the second caller does not get the first one's answer

  # Guards against an outdated limit that comes into force again with a copy.
  Scenario: A late copy of an answer does not restate the server's limit
    Given a server whose copy of an answer states a lower limit than its newest answer
    When a caller sends three requests that may be repeated, one after the other
    Then the limit of the newest answer is in force

  # Without it, a refusal that a server sent cannot be told from a copy of one.
  Scenario: The log names the connection of each refusal by a server
    Given a server that refuses every request
    When a caller sends two requests that may run once, one after the other
    Then each refusal is logged with the number of its connection

  Scenario: Answers of a server that never names the request are passed on
    Given a server whose answers never name their request
    When a caller sends two requests that may run once, one after the other
    Then both requests are answered with their own answer

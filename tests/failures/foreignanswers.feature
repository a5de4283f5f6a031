Feature: Answers that arrive on a connection that is in use again

  # Guards against a late second copy of an answer that is taken for the next request's.
  Scenario Outline: A late copy of <copy> is not the answer to the next request
    Given a server that sends a second copy of <copy> when the next request arrives
    When a caller sends two requests that may run once, one after the other
    Then the second caller does not get the first one's answer
    And no request ran twice

    Examples:
      | copy                                    |
      | an answer with its request's id         |
      | an answer without its request's id      |
      | a refusal without its request's id      |

  # Without it, a refusal that a server sent cannot be told from a copy of one.
  Scenario: The log names the connection of each refusal by a server
    Given a server that refuses every request
    When a caller sends two requests that may run once, one after the other
    Then each refusal is logged with the number of its connection

  Scenario: Answers of a server that never names the request are passed on
    Given a server whose answers never name their request
    When a caller sends two requests that may run once, one after the other
    Then both requests are answered with their own answer

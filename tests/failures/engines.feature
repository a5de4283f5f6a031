@bad-input
Feature: a faulty engine fails its own run with a typed error

  Scenario: server-sent events split at any byte give the same tokens
    Then an engine's events split at any byte give the same tokens
    And arbitrary bytes in an engine's events give tokens or a failed stream

  Scenario Outline: an engine that <fault> fails the run as <reached>
    Given a fake engine server that <fault>
    When the engine adapter runs an order on it
    Then the engine adapter's run fails as <reached> after <tokens> tokens

    Examples:
      | fault                               | reached     | tokens |
      | answers with status 500             | reached     | 0      |
      | answers with something else         | reached     | 0      |
      | sends an event that is no JSON      | reached     | 1      |
      | sends an event without choices      | reached     | 1      |
      | sends a token that is a number      | reached     | 1      |
      | closes before the end               | reached     | 1      |
      | closes before the first byte        | reached     | 0      |
      | sends a line without an end         | reached     | 1      |
      | never answers the first byte        | reached     | 0      |
      | refuses the connection              | not reached | 0      |

  Scenario: a plain engine whose response is truncated or too large fails the run
    Then the plain adapter fails as reached when the response is truncated or too large
    And the plain adapter fails as not reached when the connection is refused

  # Guards against taking the end of a service's connection for the end of its response.
  Scenario: A plain response with neither a length nor chunks does not state its end
    Then the plain adapter marks a response that ends with its connection
    And the plain adapter fails as reached when such a response is reset
    And a stored answer keeps the mark
    And its caller gets neither a length nor chunks but the end of the connection

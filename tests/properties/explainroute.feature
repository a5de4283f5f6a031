Feature: An entry host explains where it would send a request now

  Scenario: The decision code of requests answers
    Then the explained server is the one that the next request is sent to
    And a server that is left out is shown with the rule that it broke and the age of each fact
    And a request that would be refused is shown with its reason and time to retry

  Scenario: Asking changes nothing
    Then no limit, count or random state changes by asking

  Scenario: The decision code of stream admission answers
    Then the explained admission is what the next request gets
    And so it is for a host that uses what the others leave free
    And no queue, allowance, rate, counter or random state of admission changes by asking

  Scenario: Operators get text, JSON and clear errors
    Then the command prints text and JSON
    And the command exits with 1 without an answer and with 2 for invalid sizes

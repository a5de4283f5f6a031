Feature: A small specification of the claim and settlement protocol is model checked

  @at-most-once @not-run-is-true
  Scenario: The claim protocol runs a request at most once and reports not run truthfully
    When the unmodified specification of claims is checked
    Then every invariant of the specification of claims holds
    And the specification of claims reaches an answer and a true refusal

  @at-most-once @not-run-is-true
  Scenario Outline: The model checker refutes the protocol when <broken>
    When the specification of claims is checked although <broken>
    Then the checker refutes that <invariant>

    Examples:
      | broken                                      | invariant                   |
      | an order is sent before its claim           | at most one run             |
      | an agent forgets what will never start      | at most one run             |
      | nobody closes a key of which not run was said | not run is true for host 0 |

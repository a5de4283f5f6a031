Feature: A non-repeatable request runs at most once, and refusals are true

  @at-most-once @not-run-is-true
  Scenario: Two concurrent copies of a request run once in every interleaving
    When every interleaving of a request is searched with 0 faults and 1 resend
    Then no interleaving violated a guarantee of the request
    And some interleavings answered both copies of the request

  @at-most-once @not-run-is-true
  Scenario: Faults before or after any step neither repeat a request nor make a refusal untrue
    When every interleaving of a request is searched with 2 faults and 0 resends
    Then no interleaving violated a guarantee of the request

  @at-most-once @not-run-is-true
  Scenario: A request with a newly issued key keeps its guarantees under two faults
    When every interleaving of a request with a new key is searched with 2 faults
    Then no interleaving violated a guarantee of the request

  @at-most-once @not-run-is-true
  Scenario: Concurrent copies keep their guarantees with one fault between early steps
    When the first 6000 interleavings of a request are searched with 1 fault and 1 resend
    Then no interleaving violated a guarantee of the request

  @at-most-once @not-run-is-true
  Scenario: Three copies of a request keep their guarantees under many random faults
    When 6000 random interleavings of a request are run with 4 faults and 2 resends
    Then no interleaving violated a guarantee of the request

  @at-most-once @not-run-is-true
  Scenario Outline: The search of interleavings finds the fault when <broken>
    When interleavings of a request are searched although <broken>
    Then the search reports that <problem>

    Examples:
      | broken                                    | problem              |
      | an agent forgets what it said will never start | ran twice       |
      | an agent takes orders for its predecessor | ran twice            |
      | the ledger grants a held key again        | ran twice            |
      | the ledger forgets to whom it said not run | was told: not run   |
      | an agent calls a failed run not run       | ran twice            |

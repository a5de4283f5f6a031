@agreement
Feature: The replicated log equals a reference log with a single copy

  Scenario: Three voters never lose, revert or fork a change under loss, delay and crashes
    Then 3 log voters equal a single copy under loss, duplication, delay and crashes

  # Guards against leases of an earlier leader that are not waited for, or waited for
  # although there was none.
  Scenario: A leader knows whether there was one before it
    Then the first leader after split elections knows that there was none before
    And the leader after it knows that there was one

  Scenario: Five voters never lose, revert or fork a change under loss, delay and crashes
    Then 5 log voters equal a single copy under loss, duplication, delay and crashes

  Scenario: Voters whose memberships change never lose, revert or fork a change
    Then 3 log voters with membership changes equal a single copy under loss, duplication, delay and crashes

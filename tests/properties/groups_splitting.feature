@rebalance
Feature: Splitting tokens of replicated experts

  Scenario: No split has a lower slowest rank time than the one found
    Then group splits are as good as those of the linear program

  @straggler
  Scenario: A slow rank gets tokens in proportion to its speed
    Then a group's split gives a rank of half speed half the tokens

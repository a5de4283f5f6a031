@rebalance
Feature: Rebalancing an expert group

  Scenario: No weights are moved when a new split suffices
    Given a group layer whose load drifts within the overlap of its ranks
    Then the group's change has a new split and loads no weights

  Scenario: Moves stay within their budget, one per rank, and every expert keeps a rank
    Then group moves stay within their bounds and never lengthen the step

  Scenario: A suddenly hot expert gets replicas and the change reports its cost
    Given a group layer with one suddenly hot expert
    Then the group's change report contains skew before and after, bytes and stalled steps

  Scenario: Noise alone does not rebalance a group
    Then a group with a stationary load keeps its map

  Scenario: Duplicate, reordered and lost load reports of a group do not change its loads
    Then group load estimates count each report exactly once

  @straggler
  Scenario: A straggler gets fewer tokens by its measured speed and one stall has no effect
    Then group speeds follow a slow rank but not a single stall

  Scenario: All placement policies of a group produce complete maps
    Then each registered group policy places each expert on some rank within its slots

  Scenario: A plan for 64 experts on 128 ranks solves a bounded number of splits
    Then a group's plan at full size stays within its bounds

@fencing
Feature: Orders to the engine of a rank

  Scenario: Orders are fenced, limited to the weight store's rate and a rank's memory
    Then group orders respect the epoch, the store's rate and the rank's memory

  Scenario: An engine that ignores fencing numbers gets no new order before older ones end
    Then group orders of a new epoch wait only for engines that ignore fencing numbers

  Scenario: An order that exceeds the memory is refused and one that needs a drop waits
    Then group orders wait for the memory that an earlier drop frees

  Scenario: Loading an expert again needs memory in addition to its present copy
    Then group orders load an expert again only with memory for both copies

  Scenario: Orders that depend on a failed one are returned
    Then group orders behind a failed one are returned

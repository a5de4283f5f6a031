@model-check @expert-map-agreement
Feature: Model checking of step permits with coordinator failover

  Scenario: No step runs with two maps in any reachable state of the step permit model
    Then the step permit model has one map per step in all reachable states

  Scenario Outline: Without one safeguard the step permit model has a counterexample: <safeguard>
    Then the step permit model without <safeguard> runs one step with two maps

    Examples:
      | safeguard                                       |
      | ranks refusing older epochs                     |
      | the log refusing older epochs                   |
      | asking all ranks                                |
      | waiting for the cut                             |
      | the step that a lost rank may be ahead          |
      | offers addressed to one incarnation             |

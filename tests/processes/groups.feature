Feature: Expert groups over separate processes

  @expert-map-agreement @coordinator-failover
  Scenario: Four ranks run every step with one expert map despite a killed coordinator and a map switch
    Given three entry hosts and four ranks of one expert group that run steps
    When the host that coordinates the expert group is killed
    Then the ranks continue to run steps under a higher epoch
    When an intent gives the expert group more replica slots
    Then the ranks continue to run steps with a higher map version
    And each step has the same map version on all ranks and no rank ran a step twice

@expert-map-agreement
Feature: Step permits of an expert group

  @coordinator-failover
  Scenario: In each step all ranks use the map that a single coordinator would choose
    Then groups agree on one map per step with lost, duplicate and late messages

  @coordinator-failover
  Scenario: A group continues and can switch its map after faults stop
    Then groups make progress after faults with a new coordinator

  Scenario: Epochs in the log rise strictly and a repeated request gets its first outcome
    Then group epochs rise and a repeated request gets its first outcome

  @fencing
  Scenario: A map is stored only under the newest epoch and as the next version
    Then group maps of older epochs or other versions are refused by the log

  Scenario: Group records survive a snapshot
    Then group records are the same after dump and load

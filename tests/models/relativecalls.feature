Feature: Calls whose effect depends on the state when they are sent

  # Guards against an order without a version that is carried out after newer ones: read
  # late, late between hosts, or late in the leader.
  Scenario: The newest acknowledged order stays in force if any host stands still between any two steps
    Then after orders whose steps are delayed at random the newest acknowledged one is in force
    And with calls that are not resolved first, or not bounded in age, it is not always

  Scenario: An order that leaves a zone as it is makes older ones void
    Given a zone that is out
    When an order to bring it back is resolved, and the zone is taken out once more
    Then the resolved order has no effect, also after a snapshot

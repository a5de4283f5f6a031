@expert-map-agreement
Feature: Step permits of a group under failures

  @fencing
  Scenario: A deposed coordinator's late offer is refused by the rank itself
    Given a group whose second coordinator has queried all ranks
    When the group's first coordinator offers further permits
    Then no rank of the group accepts them

  @fencing
  Scenario: A restarted rank accepts no offer and starts no step before it knows the epoch
    Given a group that runs its first map
    When a rank of the group restarts and an old offer reaches it
    Then the restarted rank starts no step and forwards no order

  Scenario: A late offer of longer permits cannot undo a cut that the rank acknowledged
    Given a group that runs its first map
    When the group's permits are cut and an earlier offer arrives late
    Then the rank keeps the shorter permits

  Scenario: A restarted agent rejects a late offer addressed to its previous incarnation
    Given a group that runs its first map
    When a rank restarts, learns the epoch and an earlier offer arrives late
    Then the restarted rank has no permit

  Scenario: A load that an older coordinator began does not count for a newer one's map
    Given a group whose rank is loading one map for an old coordinator
    When a new coordinator requests another map with the same version
    Then only the newer map's load is acknowledged under the newer epoch

  Scenario: A failed rank may have started one step more than the surviving ranks report
    Given a group whose ranks used all their permits and one failed one step further
    When the group switches its map
    Then the new map begins after that step

  @straggler
  Scenario: A stalled rank delays a switch and never causes two maps in one step
    Given a group that runs its first map
    When a rank of the group stalls during a switch
    Then the group keeps its first map until the rank has acknowledged

  @coordinator-failover
  Scenario: A group runs on while its coordinator is replaced
    Given a group that runs its first map
    When the group's coordinator fails and another queries all ranks
    Then the ranks continue with the permits they have

  @coordinator-failover
  Scenario: A new coordinator grants nothing before all ranks have answered
    Given a group that runs its first map
    When a new coordinator of the group does not receive one answer
    Then it offers no permit to any rank

  Scenario: An answer from before a cut does not acknowledge it
    Then group views accept a rank's acknowledgement only from the cut's sequence number on

  Scenario: A duplicate outcome of an earlier switch does not complete the next one
    Given a group that runs its first map
    When the group's second switch is being committed and the first's outcome is repeated
    Then the group's coordinator waits for the outcome of the second switch

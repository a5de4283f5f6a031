Feature: Calls to engines whose hosts are partitioned

  A host may be partitioned from the log hosts while callers and other hosts still reach
  it. A forward pass that is held there stops its whole group.

  Scenario: A held pass is released at an engine that only other hosts can reach (partition)
    Given engines of which the first is partitioned from the log hosts
    Then its state is read through another agent within 0.5 seconds
    And an order to it is carried out once, through another agent
    And without other agents it can't be reached

  Scenario: Only an engine's own agent is asked for counts
    Given engines of which the first is partitioned from the log hosts
    Then its state has no counts, and the states of the others have them

  # Guards against taking the late report of another host's engine for its state now.
  Scenario: A report that is read from another host may show an earlier state
    Given engines of which the first is partitioned from the log hosts
    Then its state counts as old by the lag of its reports, the others' as current

  Scenario: An unanswered order is not sent again
    Given engines of which the first is partitioned from the log hosts
    Then an order to it that gets no answer is reported as unanswered

  Scenario: A route that failed is tried again when no other is left
    Given engines that are all unreachable for a while
    Then they are reached again as soon as the partition has healed

  Scenario: The held pass is due soon, whatever the duration of passes
    Then the pass that a switch holds is due in some tenths of a second
    And a map that was planned before a rank became slow is dropped (slow rank)

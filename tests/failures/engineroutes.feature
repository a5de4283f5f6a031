Feature: Engines are reached although their hosts are cut off

  A host may be cut off from the log hosts while callers and other hosts reach it. A
  pass that is held there stops its whole group.

  Scenario: A held pass is released at an engine that only other hosts reach (partition)
    Given engines of which the first is cut off from the log hosts
    Then its state is read through another agent within 0.5 seconds
    And an order to it is carried out once, through another agent
    And without other agents there is no way to it

  Scenario: Counts are asked of an engine's own agent only
    Given engines of which the first is cut off from the log hosts
    Then its state comes without counts, those of the others with them

  Scenario: An order without an answer is not sent a second time
    Given engines of which the first is cut off from the log hosts
    Then an order that meets the cut first is reported as unanswered

  Scenario: A way that failed is tried again when no other is left
    Given engines that nobody reaches for a while
    Then they are reached again as soon as the cut has healed

  Scenario: The held pass is due soon however long passes take
    Then a switch holds a pass some tenths of a second ahead
    And a map that was planned before a rank turned slow is dropped (slow rank)

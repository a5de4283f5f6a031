@groups
Feature: Switching a lock-step group to another expert map

  Scenario: No pass begins with two maps despite lost and late orders and restarts
    Then the map switch uses one map in each pass in all reachable states

  # Guards against a decision on a report from before the rank's last order.
  Scenario: No pass begins with two maps although reports are late and polls interleave
    Then the map switch uses one map in each pass in random walks with late reports

  # Guards against a decision on states in replies, or on older reports beside them,
  # that another coordinator's orders or passes have overtaken.
  Scenario: No pass begins with two maps when orders are answered with the state
    Then the map switch uses one map in each pass with states in order replies

  # Guards against moving the hold from a pass for which other ranks are armed already.
  Scenario: A late report of the holding rank does not move the hold while ranks are armed
    Given a switch of which the holding rank's order to arm was lost with its agent
    When the holding rank is read directly and its report is from before the hold
    Then no pass begins with two maps and the switch ends with one map
    But a switch that trusts the late report begins a pass with two maps

  Scenario Outline: Each safeguard of the map switch is needed
    Then the map switch <variant> begins a pass with two maps

    Examples:
      | variant                                    |
      | with engines that ignore fences            |
      | that releases before all are armed         |
      | that holds no pass                         |
      | that ignores orders without an answer      |
      | that never waits for a missing rank        |
      | that trusts late reports                   |
      | that reads the state of its replies before the order |

  Scenario: The loss of a rank before any rank is armed does not stop its group
    Then a pass that is held while another rank is lost is released at once

  Scenario: A group is released after any faults
    Then after any faults the newest coordinator releases the held pass

  Scenario: A group is released after any faults although reports are late
    Then after any faults the newest coordinator ends the switch with late reports

  Scenario: A group is released after any faults when orders are answered with the state
    Then after any faults the newest coordinator ends the switch with states in replies

  Scenario: Without faults a switch ends with the new map on every rank
    Then an undisturbed map switch reaches the target on every rank

  Scenario: A switch that waits for a rank is polled at the slow interval
    Then a switch without orders is polled no more often than during copies

@groups
Feature: Switching a lock-step group to another expert map

  Scenario: No pass begins with two maps, whatever is lost, late or restarted
    Then the map switch has one map in every pass of all its states

  Scenario Outline: Each safeguard of the map switch is needed
    Then the map switch <variant> begins a pass with two maps

    Examples:
      | variant                                    |
      | with engines that ignore fences            |
      | that releases before all are armed         |
      | that holds no pass                         |
      | that forgets orders without an answer      |
      | that never waits for a missing rank        |

  Scenario: A rank that is lost before any is armed does not stop its group
    Then a pass that is held while another rank is lost is released at once

  Scenario: A group is never left held
    Then after any faults the newest coordinator releases the group

  Scenario: Without faults a switch ends with the new map on every rank
    Then an undisturbed map switch reaches the target on every rank

  Scenario: A switch that waits for a rank does not keep the leader busy
    Then a switch without orders is looked at as rarely as copies are

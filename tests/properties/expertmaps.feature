Feature: Expert maps that are in force before demand moves on

  # A switch takes as long as the rank that copies the most experts. Guards against maps
  # that are in force only when the next shift of demand has come.
  Scenario: Maps are planned with regard to the time of their copies
    Then groups are more even with maps that are in force soon than with the best maps (demand shift)
    And a plan copies no more than its time allows, within the limits of a layer

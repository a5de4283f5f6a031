Feature: The fault soak

  Scenario: Fixed seeds and those that ever failed break nothing
    Then the soak's kept cases and two fixed seeds pass

  Scenario: A schedule depends on its seed only
    Then the same seed draws the same faults

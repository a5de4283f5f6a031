Feature: The randomised fault soak

  Scenario: Fixed seeds and seeds that failed before violate no invariant
    Then the recorded seeds and two fixed seeds pass the soak

  Scenario: A fault schedule depends only on its seed
    Then the same seed draws the same faults

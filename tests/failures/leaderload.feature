Feature: The size of a site does not silence the log's leader

  # Guards against a leader that is replaced because it plans expert maps for so long
  # that its followers miss its heartbeats.
  Scenario: The leader of a log sends heartbeats while it plans maps for 63 ranks
    Given a lock-step group of 63 ranks with 8 layers of 252 experts
    When the leader polls the group until a map that it planned is in force
    Then a leader with a quarter of a core was never silent for an election timeout

  # Guards against groups whose demand is not read while another group switches its map.
  Scenario: A group gets a new map while another one is still copying
    Given two lock-step groups of 6 ranks, one of which copies without end
    When the leader polls the groups for 4 seconds
    Then the other group has a map that the leader planned
    And its demand was read at least 5 times


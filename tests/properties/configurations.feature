Feature: Intents, plans and their confirmation

  @intent-race
  Scenario: Concurrent and resent confirmations have the outcomes of a reference model
    Then operators' confirmations in any order have the outcomes of a reference model

  @intent-race
  Scenario: A replica restored from a snapshot at any time gives the same outcomes
    Then configurations restored from a snapshot continue without a difference

  @intent-race
  Scenario: No number of conflicts evicts an accepted request id
    When an accepted confirmation is followed by 3000 conflicting ones
    Then a resend of the accepted confirmation gets its first outcome

  @intent-race
  Scenario: Concurrent operators with equal numbers at three entry hosts keep one history
    Then operators planning and confirming through lagging entry hosts keep one history

  @zone-out
  Scenario: A plan lists every effect and how busy the remaining capacity will be
    Given backend servers of a fleet in three availability zones
    When an operator plans to take pl-central-b out
    Then the plan warns that pl-central-b out leaves chat 92 % busy
    And the plan lists the effects and capacity of taking pl-central-b out

  @zone-out
  Scenario: A plan that would violate a guarantee can't be confirmed
    Then each harmful intent is refused by its plan with the reason
    And a confirmation with a refusal is refused by the log

  Scenario: Any number of merged configuration deltas give the full configuration
    Then deltas between random configurations give the full configuration
    And a delta with a wrong digest makes its receiver request the full configuration

  @bad-input
  Scenario: Any text is parsed as an intent or gives an error with the allowed values
    Then arbitrary text is parsed as an intent or a border error
    And every valid intent round-trips through JSON with comments
    And each malformed intent is refused with its key and the allowed values

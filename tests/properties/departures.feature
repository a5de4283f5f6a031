Feature: Old news of a server that left do not bring it back

  # Guards against an announcement that a partition held up, and that came after the
  # server's departure.
  Scenario: Only a later start brings a server back that left
    Then an announcement from before a departure brings no server back
    And a later start is used at once, also of a server that nobody knew
    And a restart whose clock was set back is used after a while
    And a departure survives a snapshot as it was

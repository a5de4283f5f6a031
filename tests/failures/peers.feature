Feature: Calls between processes of the system

  # Guards against a background task that ends because a call failed in an unknown way.
  Scenario: A connection that closes just before a call makes the call fail as unreachable
    Given a peer whose connection closes between its set-up and the call
    Then the call fails as unreachable and the next one succeeds

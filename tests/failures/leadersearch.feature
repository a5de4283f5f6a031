Feature: Entry hosts find the log's leader

  # Guards against requests that are refused although the log has a leader again.
  Scenario: A new leader is found while other log hosts are down
    Given six log hosts of which the leader and another one lose power
    When a third one is elected 1 to 3 seconds later
    Then an entry host pulls from it within 1 second, whichever they are and whenever

  # Guards against a search that ends at a leader of which one reply was lost.
  Scenario: A leader whose reply was lost is called again
    Given six log hosts of which the leader loses one reply
    Then each of 20 entry hosts pulls from it within 1 second

Feature: Choice of servers by work, memory and zone

  Scenario: Slow ranks get few streams
    Then passes stay below their limit although two fifths of the ranks are slow (slow ranks)

  Scenario: Streams of very different lengths leave the ranks of a group even
    Then the slowest rank is no later than with today's choice (uneven lengths)

  Scenario: Answers stay in their zone where that costs callers nothing
    Then most answers stay in the zone and no more streams wait (one zone's wave)

  Scenario: Requests go to servers whose memory holds them
    Then fewer servers get more than their memory holds than with today's choice (memory pressure)

  Scenario: Tokens are counted for as long as a server holds them
    Then in any order of events the counts are those of the open requests
    And tokens of a lost host expire with its news
    And a restarted server holds nothing
    And an engine's own report raises the count for a while

  Scenario: Facts that are no longer true do not decide
    Then a load that a server stated counts for a second
    And a server whose pace is not known is taken for one of the usual pace

  Scenario: The forwarding path counts and checks the sizes of requests
    Then a request that is larger than the memory of any server is refused with 413
    And while a stream is open its tokens are reported to other hosts

  Scenario: Callers are sent to entry hosts with fewer requests
    Then for any loads at most a third of the hosts are left out and three remain
    And in one zone's wave overloaded hosts get fewer new callers than without loads (one zone's wave)

Feature: The roster of servers and hosts, and the routing state

  Scenario: Late, older and conflicting announcements change nothing
    Then a late announcement does not replace a newer one
    And an announcement of an older start does not reclaim an address
    And a later start under the same id replaces the earlier one

  Scenario: A requester that sends its cursor gets only the changes
    Then any series of changes leaves a follower with the leader's registry

  Scenario: An unreachable server is marked until its next announcement
    Then entry hosts learn of an unreachable server and of its next announcement

  Scenario: A departure outlives the leader that acknowledged it
    Then a departed server gets no work even if a new leader lists it
    And a server that restarts under its id gets work

  Scenario: The highest version of a route table is in force
    Then route tables in any order leave the highest in force
    And the routing state survives a snapshot

  Scenario: Servers that only the previous leader knew are used for a short time
    Then a new leader's empty registry does not empty the view immediately

  Scenario: A response without a proof changes nothing
    Then a response without a proof changes no view

  # Guards against a leader whose processor is used up by the pulls of many entry hosts.
  Scenario: The rate of pulls at the leader does not grow with the entry hosts
    Then entry hosts pull at the interval that the leader states
    And each entry host learns the open requests of all others

  # Guards against a leader that does the work of coordinating expert maps, which grows
  # with the ranks, beside answering all entry hosts.
  Scenario: A follower of the log's leader coordinates the expert maps
    Then one follower keeps its appointment as long as it pulls
    And two hosts never hold an appointment at the same time
    And a follower that has restarted gets an appointment with a higher number
    And a term's numbers are never used twice, even when they run out
    And a leader without followers coordinates the maps itself

  Scenario: A voter whose disk was lost is replaced quickly
    Then a host whose voter's disk was wiped is a voter again within 4 seconds

  # Guards against a log of three voters on a site that must survive the loss of two:
  # nothing could be committed or confirmed while both were down.
  Scenario: The log has the voters that the tolerated losses need
    Then a log of three voters grows to five and commits after the loss of any two
    And a failed voter is replaced while the log still grows
    And after the loss of two of five voters each step keeps three copies of a commit

  Scenario: A host that is not a member finds the log through any host
    Then a non-member announces itself to its contacts

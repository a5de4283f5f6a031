Feature: Freshness leases

  @zone-out
  Scenario: An availability zone out of service gets no new work after 3 s until it is back
    Then a zone with 9 entry leases and 15 agent leases stops and restarts work

  @silent-partition @zone-out
  Scenario: No entry host or agent starts stale work under loss, delay and duplication
    Then leases under lost, late and duplicated messages never allow a stale start

  @silent-partition
  Scenario: Silently partitioned entry hosts and agents stop starting work within 3 s
    Then leases of silently partitioned parties expire within the bound

  @silent-partition
  Scenario: A leader partitioned from its quorum issues no proof of its state
    Then leases renewed by a leader without its quorum expire within the bound

  @silent-partition
  Scenario: A lease's age counts from its request, however late the response
    Then a lease renewed by a late response ends as if the response had been prompt
    And a lease is not renewed by duplicate, unknown, future or invalid responses
    And no proof is accepted ahead of the configuration or of the replica's state

  @zone-out @silent-partition
  Scenario: A revision is reported in force only when no stale work can start
    Then a revision reported in force under loss and partitions leaves no older lease
    And a revision in an undisturbed network is in force within 3 s
    And a partitioned party is listed as missing, with the remaining time of its lease

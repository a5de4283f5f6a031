Feature: The member directory

  Scenario: Deltas give the full directory despite lost, duplicated and reordered pulls
    Then a directory view built from deltas equals the full directory

  Scenario: Every view converges to exactly the live members with their latest records
    Then all directory views list the live members once the network is reliable
    And announcements to an up-to-date directory contain no full agent records
    And an agent that the directory shows as restarted elsewhere is not announced

  Scenario: A record is never replaced by an older one
    Then a member's record in a directory is never replaced by an older one
    And a pull from an entry host's earlier start does not change the directory

  Scenario: A replica that restarts causes no member to be removed
    Then a restarted replica's directory removes no member from any view
    And a restarted directory sends full copies to a limited number of requesters at once

  Scenario: Removals older than all tombstones are learnt from a full directory
    Then a requester from before the oldest tombstone gets the full directory

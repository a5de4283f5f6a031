Feature: Who is there, and where requests may go

  Scenario: Late, older and rival announcements change nothing
    Then a late announcement does not replace a newer one
    And an announcement of an older start does not take an address back
    And a later start under the same id replaces the earlier one

  Scenario: An asker that names its cursor gets only what changed
    Then any series of changes leaves a follower with the leader's book

  Scenario: A server that nobody reaches is passed over
    Then entry hosts hear of a silent server and of its next sign of life

  Scenario: A departure outlives the leader that acknowledged it
    Then a departed server gets no work though a new leader lists it
    And a server that starts again under its id gets work

  Scenario: The highest version of a route table is in force
    Then route tables in any order leave the highest in force
    And the routing state survives a snapshot

  Scenario: Servers that only the last leader knew are used for a short time
    Then a new leader's empty book does not empty the view at once

  Scenario: A view without a proof changes nothing
    Then an answer without a proof changes no view

  Scenario: The wait for a lost disk's successor is short
    Then a wiped voter's host is voter again within 4 seconds

  Scenario: A host that is no member finds the log through any host
    Then a stranger announces itself to its contacts

@discovery
Feature: discovery gives callers a few suitable entry addresses

  Scenario: discovery lists the right entry hosts in the right order for any fleet
    Then for any fleet discovery lists no leaving host and the caller's own zone first
    And a zone that is out is listed only when no other zone is in service

  Scenario: discovery spreads callers evenly over the entry hosts of a zone
    Then over many responses each host of the zone is listed first about equally often

  Scenario: a discovery response for 420 entry hosts is small and covers each zone
    Then with 420 entry hosts in 7 zones a response is under 4 KB and lists each zone

  Scenario: the entry host responds to discovery with chosen entries and their validity
    Then an entry host's discovery response is valid for the time in its settings

Feature: The platform adapter converts the platform's documents to lycheegauge's types

  Scenario: A configuration of the platform is decoded as a route table
    Then the fields of the example configuration are decoded
    And inconsistent configurations are rejected
    And unknown fields of a configuration are ignored

  Scenario: Announcements that can't be decoded add no server
    Then an announcement is decoded with its incarnation
    And announcements with missing or invalid fields are rejected

  Scenario: Calls are distinguished by method and path
    Then each call of the platform is decoded, and no other

  Scenario: Engine reports are decoded and orders encoded in the platform's format
    Then a rank's report and counts are decoded
    And orders contain exactly the fields of their kind

  Scenario: The adapter is small and separate from the source
    Then the adapter is under a tenth of the source, which does not mention the platform
    And a script in the folder still imports the standard library's platform module

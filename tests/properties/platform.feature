Feature: The platform's words become the product's types

  Scenario: A configuration of the platform is a route table
    Then the example configuration is read field by field
    And configurations that contradict themselves are refused
    And unknown fields of a configuration are left alone

  Scenario: Announcements that can't be read name no server
    Then an announcement is read with its incarnation
    And announcements with missing or foreign fields are refused

  Scenario: Calls are told apart by method and path
    Then each call of the platform is read, and no other

  Scenario: Engines are read and told in the platform's words
    Then a rank's report and counts are read
    And orders carry just the fields of their kind

  Scenario: The folder only translates
    Then the adapter is under a tenth of the source and the source names no platform
    And a script in the folder does not hide the standard library's module

@agreement
Feature: The journal of the log keeps synced records and reports damaged ones

  Scenario: A journal truncated in its last record opens with all other records
    Given a log journal of 5 records
    Then truncating the log anywhere in its last record loses only that record
    And a last record with unwritten sectors is the only record lost

  Scenario: A changed byte anywhere in a journal is reported with file and offset
    Given a log journal of 5 records
    Then a change of any byte is reported with the file and the record's offset

  Scenario: A crash between the replacement of the snapshot and of the log loses nothing
    Given a log journal of 5 records
    Then a crash at any file operation of a snapshot keeps the newest entry

  # Guards against taking a file that is missing or ends too early for an empty one.
  Scenario: A journal that has lost its log or its snapshot is reported as damaged
    Given a log journal of 5 records
    And a snapshot that covers its first 4 entries
    Then the journal opens with the snapshot and entry 5
    But it is damaged without its log, with an empty log and without its snapshot

  Scenario: A wiped data folder gets a new identity, and an identity is written only once
    Given a log journal of 5 records
    Then its identity cannot be written again, and a wiped folder gets another one

  Scenario Outline: A leader whose disk fails stops acknowledging and another is elected
    Given 3 replicated log hosts with real files
    When the log leader's disk is <fault>
    Then the leader reports a storage failure and the others commit

    Examples:
      | fault   |
      | full    |
      | failing |

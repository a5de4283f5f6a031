@bad-input
Feature: External input is accepted if valid and otherwise refused with a typed error

  Scenario: Arbitrary text as settings file gives settings or a settings error
    Then any text or JSON as settings file gives settings or a settings error
    And valid settings are unchanged after writing and reading
    And a settings error names the file, the key and the allowed values

  Scenario: Every example file is valid
    Then every settings file and every intent under examples is valid

  Scenario: Arbitrary call headers and prompt bodies give a request or a border error
    Then any call headers give valid headers or a border error
    And any prompt body gives a request that can be sent or a border error

  Scenario: Arbitrary announcements give a model or an error that names the wrong key
    Then any JSON as announcement gives a model or a border error
    And valid announcements are unchanged after writing and reading

  Scenario: Arbitrary operations documents give a document or a border error
    Then any bytes or JSON as operations document give a document or a border error
    And valid operations documents are unchanged after writing and reading
    And a confirmation with an unknown key or an invalid intent is refused

Feature: Logs that explain a failure and stand in nobody's way

  Scenario: A reader that stalls delays nobody
    Then lines beyond the queue are dropped and counted while the reader stalls

  Scenario: Each kind of line has a budget
    Then a flood of one kind leaves the others and is counted

  Scenario: The catalogue of events is complete and typed
    Then every event names its request and has a documented type for each field
    And every way in which a forwarded request ends writes an event

  Scenario: The lines of several processes join into one story
    Then the trace of a request tells its lines and beliefs in order
    And reasons are counted by second

  Scenario: A task that fails does not fail unseen
    Then a failed task of a daemon writes an error

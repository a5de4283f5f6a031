Feature: Logs explain failures and do not delay requests

  Scenario: A stalled reader delays no request
    Then lines beyond the queue's capacity are dropped and counted while the reader stalls

  Scenario: Each kind of line has its own rate limit
    Then a flood of one kind is dropped and counted and other kinds are still written

  Scenario: The events are complete, documented and typed
    Then every event has its request id and documents each of its typed fields
    And every way in which a forwarded request ends writes an event

  Scenario: The lines of several processes are joined by request id
    Then the trace of a request shows its lines and earlier state changes in order
    And reasons are counted by second

  # Guards against taking a log that was cut off for a complete one.
  Scenario: A log file that ends within a line is named
    Given a log file whose last line is cut off, and a whole one
    Then the commands that read logs say which of the two is incomplete

  Scenario: A failed task is logged
    Then a failed task of a daemon logs an error

  Scenario: The ways in which requests end can be added up
    Then each ended request is counted once by its route and the target it missed

  Scenario: A process that stands still says so
    Then a stall of the event loop is logged with the work that caused it

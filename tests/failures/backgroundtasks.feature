Feature: Unexpected errors of background tasks

  # Guards against a daemon that goes on without one of its tasks, such as an entry host
  # that never pulls again after one unexpected error.
  Scenario: A background task that fails unexpectedly is started again
    Then a task that fails 3 times is started again each time, after growing pauses
    And a task that is cancelled is not started again

  Scenario: An entry host goes on pulling after an unexpected error
    Given a forwarding host whose pull fails with an unexpected error once
    Then it pulls again within 2 seconds

  # Guards against pauses of 35 ms and more of processor time in full collections.
  Scenario: The modules of a started daemon are not collected again and again
    Then a daemon that has started has its heap frozen until it stops

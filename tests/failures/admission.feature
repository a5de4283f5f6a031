Feature: Backend servers get no more work than they can handle

  @cold-start
  Scenario: Nine entry hosts together never overload a backend server that is warming up
    Given an admission trace of nine entry hosts and one cold server
    When the admission trace runs for 40 seconds
    Then the admission trace never exceeded the capacity of the server
    And the admission limit rose to that of a warm server and stayed there

  @cold-start
  Scenario: A server that becomes cold without a report does not fail
    Given an admission trace of nine entry hosts and one cold server
    And the server of the admission trace becomes cold without a report at 30 and 60 seconds
    When the admission trace runs for 100 seconds
    Then the server of the admission trace never failed and lost no request
    And the admission limit rose to that of a warm server and stayed there

  @cold-start
  Scenario: The admission trace shows the overload when the limit is fixed
    Given an admission trace with a fixed limit of 32
    And the server of the admission trace becomes cold without a report at 30 and 60 seconds
    When the admission trace runs for 100 seconds
    Then the server of the admission trace failed under overload

  @cold-start
  Scenario: A server that restarts or reports that it is cold is limited to one request again
    Then a new boot id and a cold report each lower the admission limit immediately

  @backend-server-leaves
  Scenario: A leaving server gets no new orders and finishes the running ones
    Then each reason to leave refuses new orders as not run and ends no running one

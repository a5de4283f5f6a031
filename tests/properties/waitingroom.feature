@cold-start
Feature: Orders that wait at an agent for a free slot

  Scenario: Every order leaves the waiting room exactly once, in order of priority, with its remaining deadline
    Then any sequence of arrivals, departures and cancellations leaves the waiting room consistent

  Scenario: Nine entry hosts that send one order each to a cold server are all served in turn
    Given a waiting room for a server that admits one request
    When nine entry hosts send one order each at the same moment
    Then no order is refused and never more than one runs

  Scenario: An order that gets no slot in time is handed back while its deadline still allows another server
    Given a waiting room for a server that admits one request
    When an order waits for the maximum time
    Then the order is handed back with its remaining deadline

@whole-path
Feature: The complete request path as separate processes

  Background:
    Given three entry hosts with disks, two agents and two fake backend servers

  Scenario: One streamed answer and one booking pass through every process
    When the caller discovers the entry hosts and calls the drafting service
    Then the streamed answer is complete and in order
    And a booking through another entry host is made once
    And each process logs JSON lines and the request can be explained

  Scenario: An availability zone is taken out of service and back by intent, plan and confirmation
    Then a plan alone changes nothing
    And once it is confirmed the zone gets no new work
    And once it is back in service it gets work again

  @intent-race
  Scenario: Of two operators who confirm plans on one base, the second gets a conflict and a fresh plan
    When two operators plan different changes and both confirm, through different entry hosts
    Then one is confirmed, the other is told of the conflict with a plan on the new revision
    And each one's resend gets its own first outcome

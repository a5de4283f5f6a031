@backend-server-leaves
Feature: Routing while backend servers leave, return and become cold

  Scenario: At half load no request is lost or refused while an availability zone leaves and returns
    Given a fleet at half load whose zone-b leaves at 10 s and returns cold at 25 s
    Then each routed request ended with a complete answer
    And routing sends no work to zone-b from 2 s after it left until it returns

  @retry-budget
  Scenario: A whole fleet that becomes cold causes no retry storm
    Given a fleet at half load whose servers all become cold at 10 s
    Then the fleet's attempts stay within requests, the retry fraction and the bursts
    And each routed request ended with an answer or a refusal that says not run

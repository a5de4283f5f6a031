@model-check
Feature: Specifications of plan and confirm, and of the freshness lease

  Scenario: Plan and confirm keep their invariants with concurrent, resending operators
    Then every reachable state of plan and confirm keeps its invariants

  Scenario: Evicting a request id causes no plan to be applied twice
    Then with a record of one request id no plan is applied twice

  Scenario: The checker refutes plan and confirm with one check omitted
    Then plan and confirm without its base check is refuted
    And plan and confirm without its record of request ids is refuted
    And plan and confirm without comparing the content is refuted

  Scenario: No lease allows stale work despite lost or late messages or a deposed leader
    Then every reachable state of the freshness lease keeps its invariants

  Scenario: The checker refutes leases whose age is underestimated
    Then a lease counted from receipt is refuted
    And a lease relayed without its age is refuted
    And a lease from a leader that does not wait for its quorum is refuted

Feature: Limits that apply to all gateways together

  # Guards against a restarted gateway that retries as if none had retried before it.
  Scenario: Retries stay within the budget of all gateways while gateways restart
    Given a forwarding deployment of three gateways whose servers reject every request
    When requests arrive at gateways that are killed and started again
    Then no window has more retries than the budget of all gateways allows
    And the gateways retry again once their windows are over

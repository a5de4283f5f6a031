Feature: A popular request is told from one that crashes the servers that run it

  Background:
    Given a forwarding deployment of three gateways and three servers

  # Guards against refusing a popular request for good since it ran at two crashes.
  Scenario: A popular request that ran at two crashes is served by every gateway
    When a request crashes two servers that both run a popular one
    Then the popular request is served by every gateway
    And the request that crashed them is refused by every gateway within the retry bound

  # Guards against trusting a request for good since it was answered once.
  Scenario: A popular request that begins to crash servers is stopped
    When a popular request that was answered by every gateway begins to crash servers
    Then it reaches servers at most three times once every gateway can know of it
    And other requests are served

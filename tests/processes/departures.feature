Feature: Late and foreign announcements take no part in the roster

  Background:
    Given a forwarding deployment of one gateway and three servers

  # Guards against a departure that was noted for no incarnation, since the leader had
  # forgotten the server.
  Scenario: A heartbeat that was held up does not bring back a server that left
    When a server that its leader has forgotten leaves, and a heartbeat was held up
    Then the server that left gets no request
    And it gets requests again once it has restarted

  # Guards against an announcement of an undeclared service that displaces sound servers.
  Scenario: An announcement of an undeclared service displaces no server
    When an announcement of another service names the address of a sound server
    Then all sound servers get requests

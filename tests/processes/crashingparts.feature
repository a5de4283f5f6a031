Feature: A part of a prompt that crashes the servers that write an answer on it

  # Guards against knowing only whole requests that crash servers: no two are alike here.
  Scenario: Requests with a part that crashes servers are stopped, and those beside them are served
    Given a forwarding deployment of three gateways and nine servers
    When requests with a crashing part arrive among sound ones of the same caller
    Then few requests with that part reach a server once it has crashed five
    And sound requests with the same first part are served at the first attempt as before
    And the part is listed as refused, also after every log host was killed
    And an operator can clear it

  # Guards against taking two crashes that one request causes at once for proof against a
  # part that has just come into use, as most requests that run then have it.
  Scenario: A part that has just come into use is served although it ran at two crashes
    Given a forwarding deployment of three gateways and nine servers
    When an application begins to use a new part while another request crashes servers
    Then requests with the new part are served by every gateway
    And the request that crashed servers is not

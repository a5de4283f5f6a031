Feature: A part of a prompt that crashes the servers that write an answer on it

  # Guards against knowing only whole requests that crash servers: no two are alike here.
  Scenario: Requests with a part that crashes servers are stopped, and those beside them are served
    Given a forwarding deployment of three gateways and nine servers
    When requests with a crashing part arrive among sound ones of the same caller
    Then few requests with that part reach a server once it has crashed five
    And sound requests with the same first part are served at the first attempt as before
    And the part is listed as refused, also after every log host was killed
    And an operator can clear it

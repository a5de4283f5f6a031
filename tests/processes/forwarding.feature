Feature: A forwarding deployment as separate processes

  Background:
    Given a forwarding deployment of three log hosts and two gateways

  Scenario: Requests reach backend servers with their organisation and no key
    Then safe, unsafe and streamed requests are answered whole
    And unknown keys and routes are refused and unknown paths not found
    And no backend server saw a key

  Scenario: A stream whose backend server dies goes on without gap or repeat
    Then a stream that breaks off at event 7 is whole for its caller
    And an unsafe request that a server refuses runs once elsewhere
    And a stream that no server can go on with is broken off, not ended

  Scenario: What was acknowledged holds after every log host was killed
    Then a table, a zone out and a farewell survive the death of all log hosts

  Scenario: A log host that lost its disk is a voter again, and another may die
    Then after a wipe and a second loss the deployment still commits

  Scenario: A gateway that stops loses no request
    Then requests during a planned stop of a gateway are all answered

  Scenario: A gateway that is cut off from the log stops serving
    Then a gateway without a leader refuses requests as not run

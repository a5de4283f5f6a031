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

  Scenario: A request that crashes servers is stopped at every gateway
    Then a request that crashes its servers is refused after two crashes
    And the same request of another organisation is not
    And the quarantine outlives the death of all log hosts

  Scenario: A server that falls silent does not keep its callers waiting
    Then what may be repeated is answered elsewhere while others answer
    And what may not be repeated is sent once

  Scenario: Callers ask any host where to connect
    Then log hosts and gateways name the gateways that live
    And a gateway that dies is named by nobody soon after
    And a gateway without news names nobody

  Scenario: Changed settings are taken without a restart
    Then a gateway takes other seeds on a signal and when their file changes
    And settings that can't be read change nothing

  Scenario: A gateway that stops loses no request
    Then requests during a planned stop of a gateway are all answered

  Scenario: A gateway that is cut off from the log stops serving
    Then a gateway without a leader refuses requests as not run

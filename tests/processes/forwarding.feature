Feature: A forwarding deployment as separate processes

  Background:
    Given a forwarding deployment of three log hosts and two gateways

  Scenario: Requests reach backend servers with their organisation and without the key
    Then safe, unsafe and streamed requests receive complete responses
    And unknown keys, routes and paths and invalid route tables are refused
    And no backend server received a key

  Scenario: A stream whose backend server dies is resumed without gaps or duplicates
    Then a stream that breaks at event 7 is resumed and reaches its caller complete
    And an unsafe request that a server refuses runs once on another server
    And a stream that no server can resume is aborted, not ended

  # Guards against a regular close by the kernel, which looks like an answer's end.
  Scenario: A killed gateway does not make a part of an unframed stream look whole
    Given backend servers whose streams have neither a length nor chunks
    Then a stream reaches its caller complete and ends with its connection
    And a stream is reset at its caller when its gateway is killed

  Scenario: Acknowledged changes survive a kill of every log host
    Then a route table, a zone out and a departure survive a kill of all log hosts

  # Guards against an order or a departure that is carried out after newer ones, because
  # the host that it came to stood still until its client had left.
  Scenario: A call that a log host reads after its client has left is not carried out
    When a follower stands still, calls to it are sent again elsewhere and followed by newer ones, and it goes on
    Then the zone that was taken out last stays out
    And the server that started again after its departure is used

  Scenario: A log host that lost its disk becomes a voter again, and another may fail
    Then after a wipe and the loss of another log host the deployment still commits

  Scenario: A request that crashes servers is refused by every gateway
    Then a request that crashes its servers is refused after two crashes
    And the same request of another organisation is not refused
    And the quarantine survives a kill of all log hosts

  Scenario: A server that stops responding does not delay its callers
    Then requests that may be repeated are answered by the servers that still respond
    And a request that may not be repeated is sent once

  # Guards against a server that had left and is used again after a restart.
  Scenario: A server whose answers say that it leaves gets no request from any host
    Given a backend server that says that it leaves in its answers only
    Then after one such answer no gateway sends it a request
    And it gets none after a kill of all log hosts and gateways
    And it gets requests again as a new incarnation

  Scenario: Any host tells callers where to connect
    Then log hosts and gateways list the running gateways
    And a killed gateway is no longer listed anywhere soon afterwards
    And a gateway without recent updates lists no gateways

  Scenario: Changed settings are applied without a restart
    Then a gateway applies new seed hosts on SIGHUP and when its settings file changes
    And settings that can't be read change nothing

  Scenario: A gateway that stops loses no request
    Then requests during a planned stop of a gateway are all answered

  Scenario: A gateway that is cut off from the log stops serving
    Then a gateway without a leader refuses requests as not run

Feature: A planned stop of an entry host under load

  # Guards against cutting off requests that were just accepted. A stopping host accepts
  # for a while, then closes its listening socket and its connections.
  Scenario Outline: A caller whose request <point> when the host stops accepting is answered
    Given an entry host before a server that answers after 0.2 seconds
    When the host stops accepting while a caller's request <point>
    Then that caller gets a complete answer
    And the host has no connection left within 2 seconds

    Examples:
      | point                                       |
      | waits in the accept queue                   |
      | has not been sent on its new connection     |
      | is sent up to the middle of its head        |
      | is sent up to the middle of its body        |
      | is at the server                            |
      | is answered in part                         |
      | follows a stream on the same connection     |
      | follows 0.1 s after an answer               |
      | is read slowly by its caller                |
      | is an answer without a length               |

  # Guards against requests that are sent on although the host is about to end.
  Scenario: A request that arrives late in a stop is refused as not run, and not sent on
    Given an entry host before a server that answers after 0.2 seconds
    When the host stops accepting while a stream runs on another connection
    Then a request on a kept connection is refused as not run with Connection: close
    And the server got no request after that

  # Guards against waiting for callers that send nothing.
  Scenario: Idle connections do not delay a stop
    Given an entry host before a server that answers after 0.2 seconds
    When the host stops accepting with 20 idle connections
    Then the host has no connection left within 2 seconds

  Scenario Outline: No request is cut by a stop at any moment of a steady load (seed <seed>)
    Then 40 callers get only complete answers during a stop with seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  # Guards against taking requests for longer after the signal than their callers are told.
  Scenario: A host that forwards stops accepting at a set time after the signal
    Given an entry host whose last pull takes 0.7 seconds
    When it is told to stop
    Then it refuses requests 3 seconds after the signal, and not much earlier

  # Guards against running requests that come late in the grace and are cut at its end.
  Scenario: An entry host with agents refuses requests that come late in a stop
    Given an entry host with agents that has stopped accepting and still runs a request
    Then a request on a kept connection is refused as not run, with a time to retry

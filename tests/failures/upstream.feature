Feature: Answers of misbehaving backend servers

  Scenario Outline: The bytes that a backend server sends decide how the answer ends
    Given a backend server that sends <sent>
    Then the answer <outcome>
    And the connection is <kept>

    Examples:
      | sent                              | outcome                  | kept   |
      | a whole answer                    | is whole                 | kept   |
      | a whole answer in chunks          | is whole                 | kept   |
      | a whole answer and says close     | is whole                 | closed |
      | an answer without a length        | is whole                 | closed |
      | an answer without a length, reset | breaks off               | closed |
      | half of an answer                 | breaks off               | closed |
      | half of an answer in chunks       | breaks off               | closed |
      | bytes that are no answer          | breaks off               | closed |
      | two answers                       | is whole                 | closed |
      | nothing, and closes               | breaks off               | closed |

  Scenario: A late second answer is not used for the next request
    Given a backend server that sends a whole answer and later another
    Then the second request opens a new connection

  # Guards against sending a request on a connection whose end marked an answer's end.
  Scenario: The connection of an answer without a length is not reused right after it
    Given a backend server that sends an answer without a length
    Then a request sent at once opens a new connection

  Scenario: An idle connection is not reused after its server's time-out
    Given a backend server that keeps idle connections for one second
    Then a request after that second opens a new connection

  # Guards against ids that are remembered for as long as a connection is busy.
  Scenario: A connection is closed after a limited number of requests
    Given a backend server that sends a whole answer
    Then a connection is closed after 256 requests with ids, not without them

  Scenario: Hosts together stay within a server's connection limit
    Then open connections are counted until they are closed

  # Guards against taking an answer without its document for one that holds nothing.
  Scenario Outline: An engine's <document> that is broken off is not read as an empty one
    Given an engine whose <document> <fault>
    Then reading the engine's state fails

    Examples:
      | document | fault                          |
      | counts   | ends before the first byte     |
      | counts   | ends within the document       |
      | counts   | is refused with an empty 503   |
      | experts  | ends before the first byte     |
      | experts  | ends within the document       |
      | experts  | is refused with an empty 503   |
      | report   | ends before the first byte     |
      | report   | ends within the document       |
      | report   | is refused with a whole report |

  # Guards against a switch of maps that goes on although a rank refused its order.
  Scenario Outline: A late copy of an engine's <answer> is not taken for the answer to an order
    Given an engine that sends its <answer> once more when the next request arrives
    Then an order that it refuses is not reported as done

    Examples:
      | answer             |
      | answer to an order |
      | state              |

  Scenario: Orders to an engine do not open connections
    Given an engine that refuses orders
    Then twenty orders, some of them one right after the other, use one connection

  Scenario: An engine that does not answer does not delay its group
    Then an order is reported as unanswered within 0.15 seconds

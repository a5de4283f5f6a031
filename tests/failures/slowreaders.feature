Feature: Peers that do not read cost bounded memory and only their own answers

  # Guards against the growth of a host by whatever its callers and servers don't take.
  Scenario Outline: <load> beside sound requests
    When <load> reach an entry host, with a bound of 16 MB and without one
    Then held bytes stay under the bound, and memory grows by less than without it
    And each sound request beside them is answered within 0.333 seconds

    Examples:
      | load                                                   |
      | 60 callers with 1 MB for a server that does not read   |
      | 150 callers that do not read 2 MB each                 |

  # Guards against a count that leaks: in the end it would refuse every request.
  Scenario Outline: A caller that leaves while <step> returns its bytes
    When 5 callers leave an entry host while <step>
    Then the host holds nothing within 1 second, after having held something

    Examples:
      | step                                          |
      | they send a body                              |
      | a server does not read their body             |
      | they do not read an answer                    |
      | they do not read a stream                     |
      | the rest of a finished answer is not sent yet |

  # Guards against ending callers that are only slow.
  Scenario: A slow but steady reader keeps its stream while stalled ones are ended
    When a steady caller reads a stream beside 20 that read nothing, with a bound of 4 MB
    Then it gets the whole stream, and some of the others were ended
    And each ended answer wrote one line and was counted

  # Guards against blaming a server for its caller.
  Scenario Outline: A server is not blamed <case>
    When a caller does not read an answer of a repeatable request, <case>
    Then the server got the request once and no failure of it was recorded

    Examples:
      | case                                          |
      | and its answer is ended to free memory        |
      | and the server gives up on it                 |

  # Guards against a stop that lasts as long as a stalled caller likes.
  Scenario: A planned stop ends stalled answers and completes the others
    When an entry host stops with 20 stalled callers and a steady one
    Then it has no connection left within 5 seconds
    And only the steady one got its whole answer

  Scenario: Large bodies are refused as not run while memory is full
    Given an entry host whose memory is full
    Then a body of 100 kB is refused with a time after which to retry, and not sent on
    And its connection and small bodies are still served

  Scenario: Connections that are accepted beyond the bound are read once there is room
    Given an entry host that holds its whole bound
    Then a new caller is answered only after the bytes are returned

  Scenario: What gives way follows the stated order
    Then at 0.8 of the bound nothing gives way
    And from 0.875 on large bodies, then the longest still answers give way
    And beyond the bound the longest still answer gives way at once

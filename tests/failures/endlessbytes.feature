Feature: Bytes of a backend server that never end

  # Guards against reading the body of a refusal for as long as its server sends it.
  Scenario Outline: A refusal with an endless body is passed on at once (<framing>)
    Given a server that refuses a request and then sends <framing> without end
    Then its caller is refused within 1 second
    And the entry host took in less than 8 MB

    Examples:
      | framing         |
      | a stated length |
      | chunks          |
      | neither         |

  # Guards against waiting for an answer behind informational responses without end.
  Scenario: Endless informational responses end the attempt at once
    Given a server that sends informational responses without end
    Then its request ends with status 502 within 1 second
    And the entry host took in less than 8 MB

  # Guards against buffering an event that is never completed.
  Scenario Outline: A stream with an endless event is broken off (<repetition>)
    Given a <repetition> route whose server sends an event without end
    Then its caller gets no complete answer within 1 second
    And the entry host took in less than 8 MB

    Examples:
      | repetition       |
      | stream           |
      | resumable_stream |

  # Guards against an engine's report without end in the memory of its agent.
  Scenario: An engine's report without end is refused
    Given an engine whose report has no end
    Then its client reports a failure having read less than 8 MB

  # Guards against keeping what a faulty engine sends in any part of an answer.
  Scenario Outline: An engine that sends <part> without end ends its run
    Given an engine that sends <part> without end
    Then a plain service's run reads its size limit, and a completion and its cancelling less than 8 MB
    And an order to it and a question for its state each read less than 8 MB

    Examples:
      | part                    |
      | a status line           |
      | a header                |
      | headers                 |
      | informational responses |
      | a body without a length |
      | a chunk size            |
      | chunks                  |
      | trailers                |

  # Guards against keeping what arrives after a request was given up.
  Scenario Outline: An answer that is heard late is not read on (<part>)
    Given a server that sends <part> without end after its request was given up
    Then the entry host took in less than 8 MB

    Examples:
      | part                    |
      | headers                 |
      | informational responses |
      | chunks                  |

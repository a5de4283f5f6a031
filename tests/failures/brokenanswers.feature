Feature: Answers that are broken off on their way to the caller

  # Guards against taking the end of a server's connection for the end of an answer.
  Scenario Outline: A broken-off answer is never framed as complete (<kind>, <framing>)
    Given answers with <framing> to a <kind>
    Then wherever the server ends the connection, only a whole answer is framed as complete
    And a whole answer arrives whole
    And a cut that the bytes or a reset show does not look like an end

    Examples:
      | kind                                     | framing   |
      | safe request                             | a length  |
      | safe request                             | chunks    |
      | safe request                             | neither   |
      | unsafe request                           | a length  |
      | unsafe request                           | chunks    |
      | unsafe request                           | neither   |
      | stream                                   | a length  |
      | stream                                   | chunks    |
      | stream                                   | neither   |
      | resumable stream                         | a length  |
      | resumable stream                         | chunks    |
      | resumable stream                         | neither   |
      | resumable stream without another server  | a length  |
      | resumable stream without another server  | chunks    |
      | resumable stream without another server  | neither   |
      | stream resumed by its caller             | a length  |
      | stream resumed by its caller             | chunks    |
      | stream resumed by its caller             | neither   |
      | stream resumed once already              | a length  |
      | stream resumed once already              | chunks    |
      | stream resumed once already              | neither   |
      | stream resumed once, a third server left | a length  |
      | stream resumed once, a third server left | chunks    |
      | stream resumed once, a third server left | neither   |

  # Guards against stating the length of a stream whose rest another server sends.
  Scenario: A stream with a length arrives whole from two servers that word it differently
    Given a stream with a length that its server breaks off
    Then another server continues it and it arrives whole with text that is
      | size    |
      | shorter |
      | longer  |

  # Guards against an error's text or head in the middle of a stream, and against one
  # that is ended as complete because the next server's answer was.
  Scenario Outline: A stream that broke off is not continued with <answer>
    Given a stream that breaks off after two events, and a next server that sends <answer>
    Then the caller gets the beginning of the stream, broken off, whatever its framing
    And the whole stream if a third server continues it

    Examples:
      | answer                                  |
      | an error                                |
      | an error in chunks                      |
      | an error that says event stream         |
      | an interim answer and an error          |
      | a redirect                              |
      | no content                              |
      | JSON                                    |
      | text without a type                     |
      | text that says event stream             |
      | nothing without a type                  |
      | an event and the head of an error       |

  # Guards against events that are taken for something else.
  Scenario: A stream that broke off is continued with any kind of event
    Given a stream that breaks off, and a next server that sends lines of single fields, comments and blank lines
    Then the caller gets the whole stream, byte for byte

  # Guards against a regular close of a broken-off answer that has no length or chunks.
  Scenario: A broken-off answer does not look like an end to a caller without chunks
    Given a caller that speaks HTTP/1.0
    Then a stream that no server can continue ends with a reset of its connection
    And a whole stream ends with a regular close

  # Guards against a caller that waits for an answer that nobody will send.
  Scenario: Headers that are not ASCII reach the backend server and the caller
    Given a caller and a backend server that send a header in ISO 8859-1
    Then each gets the other's header, byte for byte

  Scenario: A request whose forwarding fails unexpectedly is ended at once
    Given an entry host whose next request meets an unexpected error
    Then its caller gets status 502 within 1 second
    And a caller who has part of a stream sees it broken off within 1 second

  # Guards against taking an answer that is no event stream for an incomplete event.
  Scenario Outline: An answer on a stream's route that is no event stream arrives whole
    Given a <repetition> route whose server answers with JSON
    Then the JSON arrives whole and framed as complete

    Examples:
      | repetition       |
      | stream           |
      | resumable_stream |

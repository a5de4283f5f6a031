Feature: Answers of misbehaving backend servers

  Scenario Outline: What a backend server sends decides how the answer ends
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

  Scenario: An answer that comes late is not taken for the next one
    Given a backend server that sends a whole answer and later another
    Then the second request opens a new connection

  Scenario: A connection is not used longer than its server keeps it
    Given a backend server that keeps idle connections for one second
    Then after that second a new connection is opened

  Scenario: Hosts together stay within a server's connections
    Then open connections are counted until they are closed

  Scenario: An engine that gives no answer does not hold its group up
    Then an unanswered order is known as such within 0.15 seconds

Feature: Answers that end in the middle of their head

  # Guards against passing on an answer with an empty or short body that is framed as
  # whole, though its server stopped in its head and closed.
  Scenario Outline: A head that is cut anywhere is no answer (<ending>, <line end>)
    Then no caller of an entry host gets an answer for a head that ends with a <ending> and has <line end> lines
    And no run of an engine succeeds on such a head
    And no order to an engine is taken for answered by such a head

    Examples:
      | ending | line end |
      | close  | CRLF     |
      | reset  | CRLF     |
      | close  | LF       |

  Scenario: A cut head after an informational response or a refusal is no answer either
    Then a cut head after an informational response is no answer
    And a cut head from the second server of a request is no answer

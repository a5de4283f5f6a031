Feature: Answers whose status is no HTTP status

  # Guards against passing on a status that no caller can interpret as an answer.
  Scenario Outline: No answer with an invalid status reaches a caller (<repetition>)
    Given statuses below 100, above 599, of other lengths, of letters and none
    When servers send them to requests of a <repetition> route in each framing
    Then each caller gets status 502
    And a safe request is answered by another server instead

    Examples:
      | repetition       |
      | safe             |
      | unsafe           |
      | stream           |
      | resumable_stream |

  # Guards against such an answer of a service that an agent forwards to.
  Scenario: An engine's answer with an invalid status fails its run
    Given statuses below 100, above 599, of other lengths, of letters and none
    Then a plain service's run and a completion fail as reached
    And an agent takes an engine's order for unanswered, not for refused

Feature: What backend servers' answers say of their servers

  # Guards against new requests to a server that leaves while its announcements don't
  # say so.
  Scenario Outline: No new request goes to a server whose <answer> says that it leaves
    Given a server that says in a <answer> that it leaves, beside another
    When callers send 20 requests a second for 2 seconds
    Then the leaving server gets no request later than 0.1 seconds after its first answer
    And every later request is answered by the other server

    Examples:
      | answer             |
      | success            |
      | refusal            |
      | failure            |
      | stream             |
      | unframed success   |

  Scenario: A stream of a leaving server goes on to its end
    Given a server that says in a slow stream that it leaves, beside another
    When callers send 20 requests a second for 2 seconds
    Then every stream is complete

  Scenario: Requests are refused at once when all servers leave
    Given servers that all say that they leave
    When callers send 20 requests a second for 1 second
    Then requests after the first answers are refused within 0.1 seconds

  Scenario: A statement holds for the incarnation that made it
    Then a new incarnation at the same address starts without the statements of the old
    And a server that is missing from the roster for a while is still known to leave
    And a late answer of the old incarnation says nothing of the new one

  # Guards against more than two requests in the time that a server asked for.
  Scenario: A server that asks for a time without requests gets none
    Given a server that refuses with Retry-After 1.5, beside another
    When callers send 40 requests a second for 4 seconds
    Then each refusal is followed by at most 2 requests from 0.5 seconds to 1.5 seconds
    And all of the requests are answered
    And the server is tried again by one request at a time

  # Guards against more than two requests in the time that a server asked for, when the
  # requests end before it answers.
  Scenario Outline: A server's wait is heard after its callers <ending>
    Given a server that refuses with Retry-After 3 after 0.3 seconds, beside two others
    When callers send 40 requests a second for 4 seconds and <ending> after 0.15 seconds
    Then each refusal is followed by at most 2 requests from 0.5 seconds to 3 seconds

    Examples:
      | ending         |
      | leave          |
      | set a deadline |

  # Guards against statements in answers that a second copy has made needless.
  Scenario: A server's wait is heard from the attempt that lost to its copy
    Then a server that refuses after its copy was answered is left alone from then on

  # Guards against several requests that try a server at the end of its wait.
  Scenario: A request from before a wait leaves the try after it alone
    Then a request from before a server's wait does not end the try after it

  # Guards against requests to a leaving server whose callers leave before it answers.
  Scenario: A server's departure is heard after the caller has left
    Given a server that says after 0.3 seconds that it leaves, beside two others
    When callers send 40 requests a second for 2 seconds and leave after 0.15 seconds
    Then the leaving server gets no request later than 0.1 seconds after its first answer

  # Guards against requests that are held until servers take them.
  Scenario: Requests are refused at once when all servers ask for a time without them
    Given servers that all refuse with Retry-After 1.5
    When callers send 20 requests a second for 1 second
    Then requests after the first refusals are refused within 0.1 seconds
    And they are told to return when the first server takes requests, spread over 0.5 s

  Scenario Outline: A Retry-After of <text> leaves the server alone for <wait_s> seconds
    Then an answer 503 with Retry-After <text> excludes its server for <wait_s> seconds

    Examples:
      | text                          | wait_s |
      | 2                             | 2      |
      | 0.5                           | 0.5    |
      | 0                             | 0      |
      | 3600                          | 60     |
      | 1e300                         | 60     |
      | -5                            | 1      |
      | nan                           | 1      |
      | soon                          | 1      |
      | Fri, 04 Dec 2026 10:00:00 GMT | 1      |

  # Guards against all hosts returning to a server at the moment its time ends
  # (retry storm).
  Scenario: Hosts do not return to a server at the same moment (retry storm)
    Then 96 hosts that were told 2 seconds at once send at most 30 requests in any 0.1 s

  # Guards against more than two requests in the time that a server asked for, when that
  # is longer than any caller waits.
  Scenario: A server is tried at most twice in the time that it asks for
    Then a server that always refuses gets at most 2 requests in its time, for all times up to 60 s and deadlines from 0.5 s to 60 s

  # Guards against one malformed header that takes a sound server out for a minute.
  Scenario Outline: A wait that no caller outlasts ends with the callers' deadline
    Then a server with Retry-After <text> is tried <deadline_s> s after its answer, and later while it repeats it

    Examples:
      | text        | deadline_s |
      | 99999999999 | 8          |
      | 3600        | 3          |

  Scenario: A wait within the callers' deadline is kept in full
    Then a server with Retry-After 5 is left alone for 5 s when callers wait for 8 s

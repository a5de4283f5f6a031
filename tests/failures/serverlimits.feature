Feature: Backend servers that state a limit on their requests

  # Guards against a server in need that gets what load balancing gives it.
  Scenario: A server that states a limit gets no more, and the others get the rest
    Given a server that states a limit of 2 requests a second beside one without
    When 15 requests a second arrive for 6 seconds
    Then the limited server gets at most 17 requests in any 4 seconds
    And every request is answered
    And it gets its part again once it no longer states a limit

  # Guards against holding what no server takes, or saying a time that does not fit.
  Scenario: Requests that no server takes are rejected at once with a time that fits
    Given servers that all state a limit of 1 request a second
    When 15 requests a second arrive for 6 seconds
    Then each server gets at most 11 requests in any 4 seconds
    And the others are rejected within 0.25 seconds to return after about 1 second

  # Guards against hosts that each keep the limit alone.
  Scenario Outline: <hosts> hosts together keep the limits of servers while hosts change
    Then no server gets more than one and a half times its limit and 5 from <hosts> hosts
    And at least half of each limit is used by <hosts> steady hosts

    Examples:
      | hosts |
      | 9     |
      | 44    |

  Scenario: Limits that can't be read are ignored
    Then a stated limit is read as a decimal number or not at all
    And a stated limit above 1000000 is read as 1000000

  # Guards against work for each of the requests per second that a server states.
  Scenario Outline: A stated limit of <text> requests a second costs no more than a small one
    Given a server that states a limit of <text> requests a second
    When 10 requests a second arrive for 2 seconds
    Then every request is answered
    And the event loop was never held longer than 10 ms

    Examples:
      | text    |
      | 10000   |
      | 1000000 |
      | 1e7     |
      | 1e308   |

  Scenario: The slots of all hosts together are those of the limit
    Then each slot of a limit belongs to one host, for limits up to 1000000

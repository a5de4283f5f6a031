Feature: Decisions on forwarded requests

  Scenario: The route with the longest prefix for the host is chosen
    Then the route of a target is the one with the longest matching prefix

  Scenario: A refusal guarantees "not run" only when that is known
    Then a refusal after a send never guarantees that the request was not run

  Scenario: Only requests that may be repeated are retried after a server error
    Then only idempotent requests are repeated after they ran

  Scenario: Repeats stay within the retry budget over all hosts
    Then no window contains more repeats than the budget of all hosts (retry storm)

  Scenario: A cold server is not overloaded by all hosts together
    Then a cold server gets no more than its rate in any second (cold return)

  Scenario: Hosts with old load data spread a crowd evenly
    Then the fullest server has fewer requests than with random choice (flash crowd)

  Scenario: Hosts that exchange load updates fill the last free slots
    Then fewer requests wait with load updates hundredths of a second old than with pulls (flash crowd)
    And load updates in any order give the totals of the newest from each host
    And load updates are sent over the network only while servers are crowded

  Scenario: Requests that would start too late are refused with a time to retry
    Then at twice the load more requests start in time than without the forecast (overload)
    And with free slots no request is refused

  Scenario: A server that fails is excluded for longer each time
    Then a failing server is excluded and tried again

  Scenario: A late answer is abandoned only while other servers answer
    Then a server is considered left behind when it alone is silent (frozen host)
    And a group that stalls as a whole is waited for (held pass)

  Scenario: A request that crashes servers is distinguished from those that ran beside it
    Then a request that has only caused crashes runs alone after two, and is refused if it crashes that server too
    And a request that was answered before is not refused, although it ran at each crash
    And an answer clears a request everywhere of the crashes before it, also if it is refused
    And a refused request may run alone once more after a while, and ever more seldom
    And crash reports are sent until the log has recorded them

  Scenario: Streams are split only between events
    Then a stream split at any positions gives complete events and the last id

  Scenario: Hop-by-hop headers and those that the entry host sets are not passed through
    Then a caller cannot set the headers that the entry host sends to a backend server

  Scenario: Expert placement follows demand within its bounds
    Then a planned placement is never slower and copies experts only within its bounds
    And the times that the planner predicts are those of the placement after a step
    And the load of a few hot experts is spread with few copies (demand shift)
    And a slow rank gets less work (slow rank)
    And demand decays and starts anew when a rank restarts

  Scenario: Copying experts does not delay streams that are just on time
    Then with pauses near their limit fewer streams are late than if copies are always allowed (demand shift)
    And the leader knows the longest pause reported by any host

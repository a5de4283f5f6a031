Feature: Decisions on forwarded requests

  Scenario: The longest prefix of the host decides
    Then the route of a target is the one with the longest matching prefix

  Scenario: "Not run" is said only when it is so
    Then a refusal after a send never promises that nothing was run

  Scenario: What an answer means depends on what may be repeated
    Then only idempotent requests are repeated after they ran

  Scenario: Repeats stay within their budget over all hosts
    Then no window holds more repeats than the budget of all hosts (retry storm)

  Scenario: A cold server is not overrun by all hosts together
    Then a cold server gets no more than its rate in any second (cold return)

  Scenario: Hosts with old news spread a crowd evenly
    Then the fullest server is less full than with random choice (flash crowd)

  Scenario: Hosts that tell each other of their requests fill the last free slots
    Then news of hundredths of a second leave fewer requests waiting than pulls (flash crowd)
    And any order of news gives the sums of the newest of each host
    And news are sent over the network only while servers are crowded

  Scenario: What would start too late is told when to come back
    Then under twice the load more requests start in time than without the forecast (overload)
    And with free slots nothing is refused

  Scenario: A server that fails is left out for longer each time
    Then a failing server is left out and tried again

  Scenario: A late answer is given up only while others answer
    Then a server is left behind when it alone is silent (frozen host)
    And a group that stands still as a whole is waited for (held pass)

  Scenario: A request that crashes servers is told from its neighbours
    Then a request that only crashes is refused after two crashes
    And one that was answered before is not, though it ran at each crash
    And reports are sent until the log has them

  Scenario: Streams are cut only between events
    Then any cutting of a stream gives whole events and the last id

  Scenario: Headers of the connection and of the system don't pass through
    Then a caller cannot set what the system tells a backend server

  Scenario: Expert placement follows demand within its bounds
    Then a planned placement is never slower and copies within bounds
    And a few hot experts are spread with few copies (demand shift)
    And a slow rank gets less work (slow rank)
    And demand fades and starts anew with a rank

  Scenario: Copies of experts don't make streams late that are just on time
    Then with pauses near their limit fewer streams are late than with any copy (demand shift)
    And the leader knows the longest pause of all hosts

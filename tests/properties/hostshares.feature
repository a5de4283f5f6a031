Feature: Limits of all entry hosts together are divided by leased fractions

  # Guards against limits divided by a number of hosts that each host counts by itself.
  Scenario: The fractions of all hosts never add up to more than one
    Then the fractions add up to at most one in all reachable states
    And in random walks with lost and late messages, restarts and changes of the leader

  Scenario Outline: The fractions add up to more than one <broken>
    Then a search finds more than one whole limit in use <broken>

    Examples:
      | broken                                              |
      | if a new leader does not wait for the former leases |
      | if a lease is counted from the receipt of its grant |
      | if grants are forgotten before they are replaced    |
      | if grants do not state the age of their proof       |
      | if what an uninformed host holds is renewed         |

  # Guards against a limit of which a part stays unused after hosts or leaders changed.
  Scenario: What hosts leave is divided among the others
    Then after any faults the fractions add up to one again within two leases
    And the fractions follow the demand and leave every host some
    And a host that starts beside others gets its part at once, for the whole window

  # Guards against retries that restarted, new or miscounted hosts add to those of others.
  Scenario: Retries stay within the budget of all hosts while hosts and leaders change
    Then no window has more retries than the budget while hosts restart, join and are cut off
    And a restarted host does not retry with the slack of the process before it
    And at least half of the budget is used while all requests fail

  # Guards against a cold server that gets the rate once for each host that starts.
  Scenario: A cold server gets its rate while hosts restart, join and are cut off
    Then no second has more requests than a cold server can take while hosts change

  # Guards against grants that look at all hosts, which cost the square of their number.
  Scenario: A grant costs the same with any number of hosts
    Then 480 hosts cost less than 3 times as much for each grant as 40 hosts

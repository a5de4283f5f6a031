@groups
Feature: Expert maps of large groups are switched through relays

  # Guards against maps that are in force only when demand has moved on, and against a
  # coordinator that needs more than its third of a core for that.
  Scenario: A map that fits is in force sooner than with a call to each rank (demand shift)
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    When its maps are switched with a call to each rank and through relays
    Then the relayed maps fit in under half of the time, on average with less skew
    And the coordinator makes fewer calls and needs less processor time
    And each switch is logged and counted with its phases, and late events

  Scenario: A map that fits a shift of demand is in force within half a second
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    When its maps are switched through relays
    Then a map that fits is in force within 0.5 seconds

  Scenario: A map that fits is in force within a second despite packet loss
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    And a loss of 2 packets in 100 in a third of the ranks
    When its maps are switched through relays
    Then a map that fits is in force within 1.0 seconds

  # Guards against a switch that waits for an agent, or a relay, that is gone.
  Scenario: Switches go on while the agents of three ranks are lost (agent, relay lost)
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    And the agents of 3 ranks are lost
    When its maps are switched through relays
    Then a map that fits is in force within 2.5 seconds

  # Guards against a group that stays held after its coordinator.
  Scenario: The successor ends the hold of a lost coordinator
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    When the coordinator is lost while a pass is held and another one follows
    Then no pass is held after 1.0 seconds and all ranks have one map

  # Guards against orders that a frozen coordinator sends after its successor's.
  Scenario: An old coordinator that resumes does no harm (frozen coordinator)
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    When the coordinator is frozen while it arms the ranks, and resumes 3 seconds later
    Then no pass is held after 1.0 seconds and all ranks have one map

  # Guards against deciding as if an order without an answer were never carried out.
  Scenario: Orders that are carried out late do no harm (lost and late orders)
    Given a group of 72 ranks whose demand shifts every 3.3 seconds
    And 2 orders in 100 are carried out 2 to 12 seconds late without an answer
    When its maps are switched through relays
    Then each pass had one map and no pass was held longer than 2.0 seconds

  Scenario: Small groups are coordinated as before
    Then the servers of groups below the size are left to the other coordination

  Scenario: Entry hosts learn which ranks are slow
    Then the leader lists the pace of a slow rank until the coordinator stops reporting it

  # Guards against ranks of large groups that get requests for which they have no memory,
  # and against old reports that are taken for new ones.
  Scenario: Entry hosts learn which ranks' memory is mostly used
    Then the full ranks are reported with the age of their reports until they have room

  Scenario: A packed map is unchanged, and bytes that are no map are refused
    Then maps are the same after packing, and damaged ones give a border error

  # Guards against a first plan that waits for a second read after everything restarted.
  Scenario: Counts since a recent start are used at once, and those of lost ranks later
    Then the demand of parts of a group is counted once for each interval

  Scenario: A layer that is not planned keeps its placement
    Then a joined map changes only layers with proposals, within the slots of a rank

  # Guards against faults between the services, the codec and an agent of the previous
  # release, which simulated calls don't show.
  Scenario: Relays work over real connections, also beside an old agent
    When 9 ranks are read and armed over real connections, one with an old agent
    Then all states and sums of counts arrive, and all others answer with the state

  # Guards against a group that stands still because its held pass is due before all
  # ranks are armed, or before a lost release was sent again.
  Scenario: A pass is held as far ahead as arming lately took (orders unanswered)
    Then a pass is held for the longest arming of the last 10 seconds and a margin
    And further ahead while orders go unanswered

Feature: Suspected requests of a service run one at a time, at all hosts together

  # Guards against two suspects at once, of which neither could be told to be the cause.
  Scenario: Hosts use a service's slot in turn
    Then at most one host uses a slot at any moment, whatever they ask for and when
    And every host that keeps asking gets the slot, also if another never returns it
    And a slot stays taken for a while after a request in it broke off

Feature: Parts of prompts that crash servers are told from those beside them

  Background:
    Given hosts that have answered 200 requests with a common first part

  # Guards against a part that crashes servers in requests of which no two are alike.
  Scenario: A part that crashes servers is refused
    Then a part that crashes servers is refused after at most 4 crashes, and no other
    And two parts that crash servers are both refused
    And a part that crashed servers all at once runs alone, and is refused if it crashes one more

  # Guards against refusing sound parts that were there when servers crashed.
  Scenario: Parts that run beside crashes stay served
    Then a hot part beside 4 servers that crash at once for another reason is served
    And few sound parts are refused while servers crash for other reasons
    And a part that has just come into use is served, although it ran at crashes
    And a part that was refused for a coincidence is served after a retrial

  Scenario: Only what may have caused a crash is evidence
    Then an answer that began before a crash does not clear its part of it
    And an answer that was written for longer than half a second is no suspect
    And an attempt that broke off long before the crash is no suspect
    And a server that responds again at once has not crashed

  Scenario: The list of parts is kept, shown and cleared
    Then an operator's clearance frees a refused part until it crashes servers again
    And the list of parts is the same from a snapshot, and reports count once
    And of a list of parts all but the last are read, within bounds

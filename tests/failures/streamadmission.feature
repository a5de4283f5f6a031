Feature: Stream admission on failures

  Scenario: A host without a lease only replaces its streams
    Then without a lease a host starts as many streams as ended there

  Scenario: A host that has restarted need not wait for the leases of a lost leader
    Given an entry host with stream admission and a server with two slots
    Then without a lease it uses a part of the capacity while a leader answers

  Scenario: A host whose load news is lost relies on pulls
    Then load updates that are too old no longer count

  Scenario: A host that was frozen checks the waits against its clock
    Then a request whose wait ended during the freeze is not started

  Scenario: A new route table keeps the requests that wait
    Then a request that waits is started under the new table

  Scenario: A waiting request starts the moment a stream ends
    Given an entry host with stream admission and a server with two slots
    When two streams run and a third request arrives
    Then the third waits and starts within 0.2 s of the end of a stream

  Scenario: A waiting request starts when a stream ends at another host
    Given an entry host with stream admission and a server with two slots
    When other hosts hold both slots and a request arrives
    Then it starts within 0.2 s of their news that a stream has ended

  Scenario: A caller that leaves while it waits is forgotten
    Given an entry host with stream admission and a server with two slots
    When two streams run and a third request arrives
    Then nothing waits as soon as its caller has left

  Scenario: A host that stops refuses the requests that wait
    Given an entry host with stream admission and a server with two slots
    When two streams run and a third request arrives
    Then a stop refuses it with a 503 and 0.05 s

  Scenario: Plain services and deployments without the setting are not affected
    Then requests of a plain service and those with the setting off get no ticket

Feature: Stream admission on failures

  Scenario: A host without a lease only replaces its streams
    Then without a lease a host starts as many streams as ended there

  Scenario: A host whose load news is lost relies on pulls
    Then load updates that are too old no longer count

  Scenario: A host that was frozen checks the waits against its clock
    Then a request whose wait ended during the freeze is not started

  Scenario: A new route table keeps the requests that wait
    Then a request that waits is started under the new table

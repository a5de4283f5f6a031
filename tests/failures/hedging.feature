Feature: Second copies of requests whose answer is late

  # Guards against requests that wait for one slow server while others are free.
  Scenario Outline: A slow server does not hold up <kind> requests
    Given three servers, of which one <fault>, for <kind> requests
    When 150 requests arrive with and without hedging
    Then the slowest of 100 requests takes less than half as long with hedging
    And each caller gets the whole answer of exactly one server
    And at most three tenths of the requests are sent twice

    Examples:
      | kind             | fault                   |
      | safe             | answers slowly          |
      | resumable_stream | answers slowly          |
      | safe             | is slow in turn         |

  # Guards against bytes of the answer that was not chosen.
  Scenario Outline: Answers at the same moment reach the caller once
    Given two servers that answer <kind> requests at the same moment
    When 60 requests are each sent to both of them
    Then each caller gets the whole answer of exactly one server
    And no connection of a cancelled attempt is used again

    Examples:
      | kind             |
      | safe             |
      | resumable_stream |

  # Guards against slots that look free while the cancelled copy still runs.
  Scenario: A cancelled attempt counts as open until its server has ended it
    Then the server of a cancelled attempt has an open request a moment longer

  # Guards against memory that looks free while a copy or a cancelled attempt uses it.
  Scenario: Both attempts hold memory at their servers until they have ended
    Then the servers of a request and its copy hold its tokens until each has ended

  # Guards against a copy of what the first attempt's failure has made suspect.
  Scenario: No copy is sent once the first attempt has failed
    Then a first attempt that is reset while its copy connects is repeated, not copied

  # Guards against a refusal of a request that has run.
  Scenario Outline: A server's 429 is not the answer if <case>
    Then a 429 of one server does not reach the caller if <case>

    Examples:
      | case                                     |
      | a copy gets it while the first runs      |
      | the first gets it while its copy runs    |
      | the first attempt was reset before       |

  # Guards against failures that a copy hides from the evidence about servers.
  Scenario: A first attempt that fails with 500 is evidence against its server
    Then the evidence has the failure of a first attempt that its copy has answered

  # Guards against open requests that are never counted as ended, or ended twice.
  Scenario: Callers that leave at any moment leave no open request behind
    Then after 60 callers left while two servers answered no request counts as open
    And both servers refusing a request and its copy is answered as not run

  # Guards against bytes of a copy that overwrite the first attempt's, or leak.
  Scenario Outline: The bytes of a copy are counted until it has ended if <ends>
    Then a copy of a request with 1 MB holds bytes of its own until <ends>

    Examples:
      | ends                              |
      | the first attempt is answered     |
      | the copy is answered              |
      | the caller leaves                 |
      | the copy is ended for the bound   |

  # Guards against requests that go on at servers after their host has stopped.
  Scenario: A host that stops between the two sends cancels both
    Then a stop of the host ends both attempts and closes the caller's connection

  # Guards against a server failure that a second server has made harmless.
  Scenario Outline: A first attempt that <ends> leaves the answer to the copy
    Then a first attempt that <ends> after its copy was sent is answered by the copy

    Examples:
      | ends           |
      | is reset       |
      | fails with 500 |
      | is refused     |

  # Guards against a second run of what may run once at most.
  Scenario Outline: <kind> requests are never sent twice
    Given three servers, of which one answers slowly, for <kind> requests
    When 60 requests arrive with hedging
    Then no request is sent twice

    Examples:
      | kind   |
      | unsafe |
      | stream |

  Scenario: A stream that has begun is never sent twice
    Then a stream that pauses after its first event is not sent twice

  # Guards against copies that feed an overload, and against second crashes.
  Scenario: No copy is sent in an overload, beyond the limits or where it gains nothing
    Then a late request is not sent twice while the rules or the budgets forbid it

  Scenario: A copy goes to no server that may be in trouble
    Then a copy goes to no server that is leaving, cold, limited, suspected or tried

  # Guards against a limit that each host or each restart begins anew (retry storm).
  Scenario: All hosts together stay within the limit while they restart and join
    Then in 40 interleavings of restarts, joins and lost leases no window has more copies than the limit
    And a limit that counts every host's first requests is found to break it

  Scenario: Late is what 95% of the same route's and size's answers are faster than
    Then an answer is late after the 95th percentile of at least 20 answers of 10 seconds

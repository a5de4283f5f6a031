@fair-limits
Feature: Fair queueing between organisations

  Scenario: The fair queue serves and displaces requests as a naive queue does
    Then the fair queue agrees with a naive queue

  Scenario: A flood from one organisation delays the others by no more than its fair share
    Then no flood delays a request beyond its organisation's fair share

  Scenario: The number of requests served before another one equals a naive count of fair shares
    Then the fair queue's count of requests served before another one equals a naive count

  Scenario: A request that cannot be served in time is refused at once with a time to retry
    Then the fair queue refuses requests on arrival that cannot be served in time

  Scenario: Queued requests are refused long before their deadline when the queue stalls
    Then a stalled fair queue refuses each request within half of its deadline

  Scenario: Each queued request gets exactly one outcome
    Then the fair queue neither loses nor repeats a request

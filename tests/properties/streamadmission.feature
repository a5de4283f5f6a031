Feature: Admission of streams by pass time

  Scenario: Urgent streams stay in time while a crowd of delay-tolerant ones arrives
    Then in a flash crowd of the delay-tolerant kind 0.95 of the urgent kind are in time

  Scenario: Hosts with the same old news don't overshoot the capacity
    Then with stale news at 44 hosts at most 1.1 times the capacity is open

  Scenario: Streams that can't finish on slow ranks are refused at once
    Then with slow ranks fewer callers leave and more are served than without admission
    And a request that waits is refused once ranks are too slow for it

  Scenario: A host that gets all requests uses the capacity of all
    Then with all arrivals at one host nearly all are in time

  Scenario: Nothing is refused while places are free and nothing waits
    Then at usual load no request waits or is refused
    And any sequence of arrivals and ends keeps the rules of admission

  Scenario: Pass times are measured from whole events
    Then events that arrive together count as passes of their own
    And a pass time that is too old is unknown and the stated model is used
    And a wrong pass time of one host does not change the median of all
    And the capacity does not follow the lag between streams and passes

  Scenario: Each level and each large request gets its share
    Then a level that waits gets one in ten starts
    And a large request is not passed over for longer than four times its target
    And a request that returns goes ahead of new ones of its level
    And the queue is bounded by requests and by bytes of their bodies

  # Guards against a queue in which all requests wait and are late after a burst.
  Scenario: Late requests don't make new ones late (end of a flash crowd)
    Then a request that can still be in time goes ahead of late ones of its level
    And a late request starts when no other one waits

  Scenario: Refusals are truthful and spread
    Then the time to retry is at most a third of the time left and varies by half
    And a request that can't wait long enough is refused at once

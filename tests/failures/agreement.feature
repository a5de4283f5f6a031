@agreement
Feature: The replicated log stays available and consistent through failures

  Scenario: Three voters with their own disks apply every change on all of them
    Given 3 replicated log hosts with real files
    Then 20 log changes are applied identically on every host

  @restart-after-changes
  Scenario Outline: All voters restart after 500 changes and have the same revision
    Given 3 replicated log hosts with real files
    Then after 500 log changes and a restart of all hosts, snapshots every <every>, all hosts have one log revision

    Examples:
      | every |
      | 100   |
      | 0     |

  Scenario: A host whose disk was wiped joins as a new voter that replaces the old one
    Given 3 replicated log hosts with real files
    Then a log host whose disk is wiped comes back as another voter

  @repair-then-loss
  Scenario: A second host may fail right after an automatic repair
    Then after the loss of any one of 3 log voters, any second one may fail
    And after the loss of any one of 5 log voters, any second one may fail

  @repair-then-loss
  Scenario: The loss of the spare host during a repair does not stop the log
    Then the loss of a successor does not stop the log during the repair

  Scenario: A replaced voter that returns is a learner and does not depose the leader
    Then a replaced log voter that returns is a learner and does not depose the leader

  @silent-partition
  Scenario: A partitioned leader stops answering reads and does not depose the new leader
    Then a partitioned log leader answers no read and does not depose the new leader

  Scenario: A leader that was stalled past an election answers no stale read
    Then a log leader stalled past an election answers no stale read

  Scenario: Entries of a deposed leader that arrive late change nothing
    Then late entries of a deposed log leader are rejected with the newer term

  Scenario: A vote is sent only after it is synced
    Then a log replica sends its vote only after the vote is synced

  Scenario: An entry of an older term is committed only with one of the leader's term
    Then a log leader commits no entry of an older term by counting replicas

  Scenario: Requests beyond the limit are refused immediately and waiting ones are answered
    Given 3 replicated log hosts with real files
    Then a log request beyond the limit is refused and the waiting ones complete

  Scenario: A membership change that could fork the log is refused with its reason
    Then each unsafe log membership change is refused with its reason

Feature: Processes that are killed, suspended or stopped under load

  Background:
    Given three entry hosts, four model agents and one booking agent under load

  @graceful-shutdown
  Scenario: A graceful stop of an entry host interrupts no request and exits with code 0
    When an entry host is told to stop while streams run through it
    Then it leaves discovery, every request through it is answered completely and it exits with 0

  @graceful-shutdown @backend-server-leaves
  Scenario: A graceful stop of an agent interrupts no stream and moves new work elsewhere
    When an agent is told to stop while it streams
    Then every request is answered completely and the agent exits with 0

  @agreement @at-most-once
  Scenario: Killing the log's leader loses no booking and repeats none
    When the log's leader is killed while bookings with idempotency keys are sent and resent
    Then each key is run once and all answers for it are the same

  @silent-partition
  Scenario: A suspended entry host starts nothing under an old configuration after it resumes
    When an entry host is suspended, a zone is taken out and the host resumes
    Then no request it receives from then on runs in that zone

  @whole-answer
  Scenario: A killed agent's streams continue elsewhere without a missing or repeated token
    When an agent is killed in the middle of streams
    Then every stream is complete, in order and without repetition

  @restart-after-changes
  Scenario: All entry hosts restart after changes and agree on the last revision
    When twenty changes are confirmed and all entry hosts are killed and restarted
    Then every entry host serves the last revision and no change is lost

  @fair-limits
  Scenario: A rate limit applies across all entry hosts and its refusals say when to retry
    When an organisation limited to 5 requests a second sends 60 through all entry hosts at once
    Then only a part of them is answered, and each refusal says not run and when to retry

  @crashing-request
  Scenario: A request that crashes backend servers is quarantined within two crashes
    When a crashing prompt is sent again and again through all entry hosts
    Then at most two servers have crashed and the prompt is refused as quarantined
    And other prompts are answered

Feature: Properties of the components that handle a request

  @whole-answer
  Scenario: An answer is complete and exact in whatever order its chunks arrive
    Then an answer's chunks give the exact answer or leave it detectably incomplete

  @whole-answer
  Scenario: A broken stream is resumed without missing or repeated tokens
    Then a resumed stream gives each token of the answer once

  @whole-answer
  Scenario: An answer that cannot be completed is never ended normally
    Then a request whose streams all break ends with an aborted connection, not an end

  @whole-answer
  Scenario: A request that is abandoned or exceeds its deadline is cancelled at the engine
    Then cancelling a repeatable request at any point reaches the engine

  @at-most-once
  Scenario: The claim ledger agrees with a reference model that keeps the full history
    Then the claim ledger and its reference model give the same outcomes

  @at-most-once
  Scenario: A claim ledger loaded from its snapshot behaves the same
    Then the claim ledger gives the same outcomes after a snapshot at any point

  @at-most-once
  Scenario: A caller's key is refused long after its claim was evicted
    Then evicted keys of the claim ledger are expired and never granted

  @at-most-once
  Scenario: An agent with bounded memory never starts an order twice
    Then start marks in bounded memory never treat a known order as unseen

  @cold-start
  Scenario: The admission limit agrees with a reference model
    Then the cold start limit and its reference model admit the same requests

  @crashing-request
  Scenario: The quarantine agrees with a reference count of crashes
    Then the quarantine list and its reference model suspect the same fingerprints

  @not-run-is-true
  Scenario: Not run stays true when the ledger has closed more keys than it stores
    Then a key closed by the claim ledger stays closed for earlier arrivals

@fair-limits
Feature: Organisations' limits enforced by leased shares

  Scenario: Nine holders together never hold more than the limit with lost, duplicated and late messages
    Then the shares of nine holders never exceed the limit

  Scenario: A grant that arrives after a newer one is ignored
    Then an outdated limit grant changes nothing

  Scenario: Limits hold while the granter restarts or an organisation's home host changes
    Then the shares never exceed the limit when granters restart and home hosts change

  Scenario: Nine holders together never run more requests than the concurrency limit
    Then the admitted requests of nine holders stay within both limits

  Scenario: A limit divided among nine holders remains usable
    Then nine holders admit at least nine tenths of a demand of half the limit

  Scenario: The shares of a limit add up to the limit when the demand exceeds it
    Then the shares into which a limit is divided add up to it

  Scenario: Shares follow the demand from one entry host to another
    Then most of the limit moves to the holder with the demand

  Scenario: Idle organisations cost no messages and no memory
    Then six thousand three hundred idle organisations leave no state behind

  # Guards against a new granter that renews what the former one has given away since.
  Scenario: A restarted granter does not renew a share from a request that was sent before
    Then a share whose lease ended is not renewed by a late request to a restarted granter

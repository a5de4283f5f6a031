@model-check @agreement
Feature: The specification of the replicated log holds in every state within its bounds

  Scenario: Elections and replication never fork the log or elect two leaders in one term
    Then the replicated log specification holds for 3 voters, 2 terms, 1 crash, 1 change

  Scenario: Two membership changes with a crash and two more terms never fork the log
    Then the replicated log specification holds for 2 voters and a learner, 3 terms, 1 crash, 2 membership changes

  Scenario: Removing a voter and adding its successor never forks the log
    Then the replicated log specification holds for 3 voters and a learner, 2 terms, 2 membership changes

  Scenario Outline: The model checker finds a counterexample when <fault>
    Then the replicated log specification with "<fault>" is refuted because "<property>" fails

    Examples:
      | fault                                          | property                        |
      | votes are given twice a term                   | one leader a term               |
      | votes are not synced                           | one leader a term               |
      | votes ignore the candidate's log               | committed entries never change  |
      | entries are acknowledged before the sync       | committed entries never change  |
      | membership changes before an own-term commit   | committed entries never change  |

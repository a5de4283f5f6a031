@agreement @repair-then-loss
Feature: Replacement of a voter of the log

  Scenario: An operator replaces a voter and the log survives the loss of another one right after
    Given three voters and a standby entry host with an empty disk
    When an operator replaces a voter that is not the leader with the standby host
    Then the status lists the new voters and a plan is confirmed after the loss of the old one
    And a plan is still confirmed after the loss of one more voter

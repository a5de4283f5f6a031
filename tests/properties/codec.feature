@whole-path
Feature: Encoding of messages between the system's processes

  Scenario: Packing and unpacking preserves every message
    Then every message class is unchanged after packing and unpacking

  Scenario: Invalid bytes give a typed error
    Then unpacking arbitrary bytes gives a message or a border error

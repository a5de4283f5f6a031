@routing
Feature: Choosing a backend server

  Scenario: Least loaded routing makes the same choice as a naive scan of all reports
    Then least loaded routing agrees with a naive scan

  Scenario: Sampled routing never chooses a server that is excluded, taken out, leaving, avoided or full
    Then sampled routing chooses only servers that may take the request

  Scenario: The prefix index agrees with a naive set when no cache event is lost
    Then the prefix index equals a naive set

  Scenario: The prefix index trusts no evicted block when cache events are lost, late or repeated
    Then each block that the prefix index trusts is in the server's cache

  Scenario: The prefix index stays within its bounds
    Then the prefix index never exceeds its maximum number of blocks

  Scenario: Subsets cover all backend servers evenly and change little when a server is added
    Then routing subsets are even, cover every server and change little

  Scenario: A server in the host's own zone without completions is chosen over an equal one elsewhere
    Then an idle near server without a measured speed wins over an idle far one that has one

@bad-input
Feature: the command line documents itself and its exit codes can be used in scripts

  Scenario: every command has help and rejects invalid usage
    Then every lycheegauge command has help for each of its arguments
    And invalid usage of the command line exits with 2

  Scenario: check-settings exits with 0 if all files are valid and otherwise with 2
    Then check-settings exits with 0 for the examples and 2 for a file with a typo

  Scenario Outline: an operator command answered by <answer> exits with <code>
    Given a fake operator listener that answers <answer>
    When an operator runs status, explain, plan, confirm and replace-voter
    Then each of these commands exits with <code> and prints a clear message

    Examples:
      | answer                   | code |
      | a conflict               | 1    |
      | a refused intent         | 1    |
      | a border error           | 2    |
      | that the log is away     | 3    |
      | lost leadership          | 3    |
      | something that isn't us  | 3    |
      | nothing                  | 3    |
      | half with a length       | 3    |
      | half in chunks           | 3    |
      | half with neither        | 3    |
      | half, and is reset       | 3    |
      | nothing with neither     | 3    |
      | half of a head           | 3    |

  Scenario: a plan is written, confirmed and shown with exit code 0 as text and JSON
    Given a fake operator listener that answers as an entry host does
    Then plan, confirm and status exit with 0 and print valid JSON and text
    And a plan with refusals exits with 1

  Scenario: a command whose output is closed by its reader prints no stack trace
    Then a command whose output is closed before it prints exits with 0 and no stack trace

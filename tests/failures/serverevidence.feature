Feature: Servers that fail requests while they are present and healthy

  # Guards against hosts that each pay for every failure of the same servers.
  Scenario: Hosts learn of servers that fail a part of their requests (partly failing servers)
    Then of 44 hosts and 72 servers, 8 of which fail 4 in 10 requests, fewer than half as many attempts fail as with each host's own backoff

  # Guards against one host that takes servers out for all.
  Scenario: A host with a broken link takes no server out elsewhere (broken link)
    Given 9 hosts, 12 servers and 4 requests a second to each server
    When the link of one host is broken for 10 seconds
    Then no other host has taken a server out
    And the host itself has taken out at most 4 servers

  # Guards against a server that answers just often enough to be used by every host.
  Scenario: A server that fails some requests gets probes only (grey server)
    Given 9 hosts, 12 servers and 4 requests a second to each server
    When a server fails 0.5 of its requests for 6 seconds
    Then all hosts have taken it out
    When it fails 1.0 of its requests for 20 seconds
    Then it gets nothing but probes, one at a time, and at most 8 of them
    When it fails 0.0 of its requests for 6 seconds
    Then no host has taken it out

  # Guards against health checks that pass while requests fail.
  Scenario: What requests show counts whatever the health check says
    Then an entry host sends few requests to a server that passes health checks and fails requests
    And it sends them again once the server answers requests

  # Guards against failures that no host counts, and refusals that all count. A request
  # tries three connections to a closed port.
  Scenario Outline: A server that <answers> has failed <failed> requests
    Then a request to a server that <answers> counts as <failed> failures

    Examples:
      | answers                    | failed |
      | closes its port            | 3      |
      | resets the connection      | 1      |
      | answers 500                | 1      |
      | sends malformed bytes      | 1      |
      | sends its answer twice     | 1      |
      | sends a second copy later  | 1      |
      | refuses without running it | 0      |
      | answers 404                | 0      |
      | answers                    | 0      |

  # Guards against a server that is let in at once each time it comes up.
  Scenario: A server that goes down and up in turn is left alone for longer (flapping)
    Then a server that is down for 2 of every 4 seconds fails fewer than half as many attempts as with each host's own backoff

  # Guards against evidence that dies with the leader, or outlives it unchecked.
  Scenario: Without a leader a host uses its own findings
    Given 9 hosts, 12 servers and 4 requests a second to each server
    When a server fails 1.0 of its requests for 6 seconds
    And the leader is lost for 5 seconds
    Then only hosts with failures of their own have taken it out
    When a new leader is there for 1.5 seconds
    Then all hosts have taken it out

  Scenario: The findings of a lost host and of an old incarnation expire
    Then a lost host's failures count for 4 seconds
    And a restarted server starts without evidence

  # Guards against a service that loses most of its servers to wrong evidence.
  Scenario: At most a third of a service is out (evidence against most servers)
    Given 9 hosts, 12 servers and 4 requests a second to each server
    When all servers but one fail 0.6 of their requests for 10 seconds
    Then no host has ever taken out more than 4 servers

  # Guards against a sound server that is out because only its failures are reported.
  Scenario: Answers at other hosts clear a server with a few failures
    Then a server that failed twice and answered ten others is listed for one pull only
    And a host that was answered within a second does not follow the list
    And if it is the one to send probes, its answers readmit the server for all

  # Guards against old failures that seem new because they are reported with the age of
  # the readmission: two such hosts had a new leader list the server again.
  Scenario: Hosts that readmit a server no longer report its failures
    Then a new leader does not list a server that two hosts have readmitted

  # Guards against pulls that grow, or decisions that change, where nobody asked for it.
  Scenario: Without the setting nothing is reported and no server is out
    Then a host without the setting, or with fewer servers than it says, reports nothing

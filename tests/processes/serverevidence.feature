Feature: Findings about servers as separate processes share them

  # Guards against findings that don't reach other hosts, or die with the leader.
  Scenario: A gateway learns from others, through any leader, which server fails
    Given a deployment of three gateways that share evidence about four servers
    When two gateways meet failures of a server whose announcements go on
    Then the third gateway sends it nothing but probes
    When the log's leader is killed while two gateways go on
    Then the third gateway soon sends it nothing but probes again
    And all gateways use it again once it answers

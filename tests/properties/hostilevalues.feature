Feature: Numbers from outside that are too large, not numbers, or out of range

  # Guards against one document that makes every later answer of a host fail: what is
  # accepted must be encodable, finite and small enough to compute with.
  Scenario Outline: A hostile number in <document> is rejected or harmless (<dialect>)
    Then no number in <document> of the <dialect> dialect does harm

    Examples:
      | document           | dialect  |
      | an announcement    | spejlhus |
      | an announcement    | native   |
      | a departure notice | spejlhus |
      | a departure notice | native   |
      | a route table      | spejlhus |
      | a route table      | native   |
      | an engine's report | spejlhus |
      | an engine's report | native   |

  # Guards against a registry whose news can't be sent to any host any more.
  Scenario: An announcement with a number beyond 64 bits does not stop the news
    When a server announces itself with the sequence 9223372036854775808
    Then the hosts still get the other servers

  # Guards against an entry that fails every request that would be sent to its server.
  Scenario Outline: An announcement <problem> is refused
    Then an announcement <problem> is refused in both dialects

    Examples:
      | problem                              |
      | with a port out of range             |
      | with port 0                          |
      | with a negative port                 |
      | without a port                       |
      | with a port that is no number        |
      | with a port of 5000 digits           |
      | with a port in Arabic digits         |
      | with an IP number out of range       |
      | with a host name that can't be one   |
      | without a host                       |
      | of a server with a control character |

  # Guards against a process that an older version has told of such an entry.
  Scenario: An entry host that is told of an impossible address uses the other servers
    Given an entry host that is told of a sound server and of impossible addresses
    Then all requests are answered by the sound server

  Scenario: A server whose address is impossible can't be connected to
    Then connecting to an impossible address fails as connecting to a closed port does

  # Guards against an unexpected error in the middle of a request.
  Scenario Outline: A request whose time left is <text> is answered
    Given an entry host before one server
    When a caller sends a request whose time left is <text>
    Then it is answered with status 200

    Examples:
      | text           |
      | 5000 digits    |
      | 400 digits     |
      | a superscript  |
      | negative       |
      | infinite       |
      | not a number   |

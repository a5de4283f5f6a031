"""Messages by which entry hosts follow the log hosts.

The roster is who is there: backend servers and entry hosts. It is soft state,
rebuilt from announcements. Route tables, zones out and departures come from the
log and are taken only together with a proof.
"""

import dataclasses

from lycheegauge.internal.protocol import changes, freshness


@dataclasses.dataclass(frozen=True, slots=True)
class ServerListing:
    """A backend server as it announced itself.

    Attributes:
        name: Its id; a restart may keep it.
        born_ms: Its own clock at its start, in ms; orders its incarnations.
        sequence: Counts its announcements within one incarnation.
        slots: Requests that it runs at once.
        cold_s: How long it stays cold, in seconds from this message.
        leaving: Whether it asked for no new work.
        silent: Whether the log's leader finds no way to it.
    """

    name: str
    born_ms: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    slots: int
    cold_s: float
    leaving: bool = False
    silent: bool = False

    @property
    def incarnation(self) -> str:
        """Names this start of the server at its address."""
        return f"{self.name} {self.born_ms} {self.address}"


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """An entry host and the address that callers use."""

    name: str
    incarnation: str
    availability_zone: str
    caller_address: str
    ready: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An incarnation of a backend server that gets no new work any more."""

    server: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDocument:
    """A route table in its operator's own words, compressed."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Restrictions:
    """Where new work must not go, as of a revision of the routing state."""

    revision: int
    zones_out: tuple[str, ...] = ()
    departures: tuple[Departure, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequests:
    """How many requests are open at a backend server."""

    server: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceGap:
    """The longest pause between two parts of a service's streams, in seconds."""

    service: str
    longest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadNews:
    """All requests that a host has open; ``number`` grows with each news of it."""

    host: str
    number: int
    open_requests: tuple[OpenRequests, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RosterPull:
    """A host's question for all that is new; ``host`` is empty for log hosts.

    ``open_requests`` are the asker's own, ``gaps`` those since its last question.
    ``crashes`` and ``cleared`` are sent
    again until the log has them.
    """

    host: HostListing | None
    table_version: int
    restrictions_revision: int
    source: str
    cursor: int
    open_requests: tuple[OpenRequests, ...] = ()
    crashes: tuple[changes.ReportCrash, ...] = ()
    cleared: tuple[str, ...] = ()
    quarantine_version: int = 0
    gaps: tuple[ServiceGap, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RosterReply:
    """What the asker has not seen; without ``proof`` only the hints count.

    ``open_elsewhere`` are the requests of all other hosts. ``has_recorded`` tells
    that the log has the crashes and clearances of the question.
    """

    proof: freshness.Proof | None
    leader_address: str
    log_hosts: tuple[str, ...]
    table: RouteDocument | None = None
    restrictions: Restrictions | None = None
    source: str = ""
    cursor: int = 0
    whole: bool = False
    servers: tuple[ServerListing, ...] = ()
    servers_gone: tuple[str, ...] = ()
    hosts: tuple[HostListing, ...] = ()
    hosts_gone: tuple[str, ...] = ()
    open_elsewhere: tuple[OpenRequests, ...] = ()
    quarantine: freshness.Quarantine | None = None
    has_recorded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCall:
    """A control call that a follower hands to the leader."""

    method: str
    target: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The leader's answer to a relayed call; status 0: it does not lead."""

    status: int
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipQuestion:
    """Asks a log host who the voters are."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipAnswer:
    """The addresses of the log hosts that a host knows, the leader's apart."""

    leader_address: str
    log_hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingState:
    """The routing part of the replicated state, for a snapshot."""

    revision: int
    table: RouteDocument | None
    zones_out: tuple[str, ...]
    departures: tuple[Departure, ...]

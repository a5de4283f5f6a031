"""Messages with which entry hosts follow the log hosts.

The roster lists the present backend servers and entry hosts. It is soft state that
is rebuilt from announcements. Route tables, zones out of service and departures
come from the log and are accepted only together with a proof.
"""

import dataclasses

from lycheegauge.internal.protocol import changes, freshness


@dataclasses.dataclass(frozen=True, slots=True)
class ServerListing:
    """A backend server as it announced itself.

    Attributes:
        name: Its id, which may stay the same after a restart.
        born_ms: Its own clock at its start, in ms; orders its incarnations.
        sequence: Counts its announcements within one incarnation.
        slots: The number of requests that it can run concurrently.
        cold_s: How long it stays cold, in seconds from this message.
        leaving: Whether it asked for no new requests.
        silent: Whether the log's leader can't reach it.
        pace: How many times longer than usual its part of a lock-step pass takes; 0
            if not known.
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
    pace: float = 0.0

    @property
    def incarnation(self) -> str:
        """Identifies this start of the server at its address."""
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
    """An incarnation of a backend server that must get no new requests.

    If its start is not known, ``born_ms`` is 0, and it was born before ``before_ms``.
    """

    server: str
    born_ms: int
    before_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDocument:
    """A route table as the operator sent it, compressed."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Restrictions:
    """Where no new requests may go, as of a revision of the routing state."""

    revision: int
    zones_out: tuple[str, ...] = ()
    departures: tuple[Departure, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequests:
    """The open requests at a backend server, and the tokens that they hold there.

    ``work_ms`` is the time that they will still add to the server's steps, in ms.
    """

    server: str
    count: int
    tokens: int = 0
    work_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceGap:
    """The longest gap between two chunks in a service's streams, in seconds."""

    service: str
    longest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePass:
    """How long the passes of a service's lock-step engines take, in seconds.

    ``samples`` is the number of pauses between events that it was measured from.
    """

    service: str
    pass_s: float
    samples: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOutcomes:
    """What one host found at an incarnation of a server.

    Attributes:
        answered: Requests answered, in halves: outcomes count less after a time.
        failed: Requests that failed, in halves.
        age_ms: Age of the latest failure, or of the latest answer without any.
        probed: Consecutive probes answered, if they readmitted the server; their age
            is then ``age_ms``.
    """

    server: str
    born_ms: int
    answered: int
    failed: int
    age_ms: int
    probed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectServer:
    """A server that failed at several hosts; ``failed_hosts`` is their number.

    ``answered`` and ``failed`` are sums in halves, as in ``ServerOutcomes``, and
    ``age_ms`` is the age of the latest failure.
    """

    server: str
    born_ms: int
    failed_hosts: int
    answered: int
    failed: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPace:
    """How many times longer than usual a rank's part of a pass takes."""

    server: str
    pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerMemory:
    """The fraction of its memory that an engine reported to be in use."""

    server: str
    born_ms: int
    used: float
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadNews:
    """All open requests of a host; ``number`` increases with each such message."""

    host: str
    number: int
    open_requests: tuple[OpenRequests, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HostDemand:
    """An entry host's demand for its fraction of the limits of all hosts together.

    Attributes:
        sequence: Increases with each demand of an incarnation.
        weight: Its requests per second, by which its fraction is weighed.
        held_sequence: The demand whose answer is in use.
        held_fraction: The fraction in use; 0 if its lease has expired.
        window_s: The longest time window of its limits, in seconds.
    """

    sequence: int
    weight: float
    held_sequence: int
    held_fraction: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostShare:
    """The fraction of every limit of all hosts together that one host may use.

    Attributes:
        sequence: The demand that this answers.
        fraction: The fraction, from 0 to 1.
        lease_s: How long it is valid, in seconds from when the demand was sent.
        unused_fraction: The part of an increase that no host held within the window.
        position: Where the fraction begins if those of all hosts are put side by side.
            Unlike the sum, that is not guaranteed while the hosts change.
    """

    sequence: int
    fraction: float
    lease_s: float
    unused_fraction: float
    position: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectSlotRequest:
    """A host's wish for a service's suspect slot.

    Attributes:
        service: The service.
        is_used: Whether the host runs a suspect in the slot now.
    """

    service: str
    is_used: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RosterPull:
    """A host's request for updates; ``host`` is ``None`` for log hosts.

    ``open_requests`` are the requester's own, ``gaps`` those since its last
    request. ``crashes``, ``clearances``, ``part_crashes`` and ``cleared_parts`` are
    resent until the log has stored them; ``cleared`` is how older versions send
    clearances. ``suspect_slots`` are the slots that the host wants or holds.
    ``log_host`` is the address of a log host that pulls, ``log_host_incarnation`` names
    its process start, and ``silent_servers`` are those that it can't reach while it
    coordinates the expert maps. ``demand`` is that of an entry host for its share of
    the limits of all hosts. ``departures`` are servers whose answers said that they
    leave; they are resent like crashes. ``passes`` and ``outcomes`` are what an entry
    host measured lately, ``paces`` those of slow ranks that the coordinator of the
    expert maps knows, ``memories`` those of ranks whose memory is mostly in use.
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
    log_host: str = ""
    silent_servers: tuple[str, ...] = ()
    log_host_incarnation: str = ""
    demand: HostDemand | None = None
    part_crashes: tuple[changes.ReportPartCrash, ...] = ()
    cleared_parts: tuple[changes.ClearPart, ...] = ()
    part_list_version: int = 0
    departures: tuple[Departure, ...] = ()
    passes: tuple[ServicePass, ...] = ()
    outcomes: tuple[ServerOutcomes, ...] = ()
    paces: tuple[ServerPace, ...] = ()
    memories: tuple[ServerMemory, ...] = ()
    clearances: tuple[changes.ClearSuspect, ...] = ()
    suspect_slots: tuple[SuspectSlotRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MapAppointment:
    """Makes a log host the coordinator of the expert maps for a short time.

    Attributes:
        number: Higher than that of all earlier appointments.
        gaps: The longest recent gap of each service, over all entry hosts.
    """

    number: int
    gaps: tuple[ServiceGap, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RosterReply:
    """Updates for the requester; without ``proof`` only the hints are valid.

    ``open_elsewhere`` are the open requests of all other hosts. ``has_recorded``
    means that the log has stored the crashes and clearances of the request.
    ``pull_interval_s`` is how long to wait until the next pull; 0 leaves it to the
    requester. ``appointment`` is set for the log host that coordinates the expert maps,
    ``share`` for entry hosts that sent a demand. ``passes`` are the medians over all
    entry hosts, ``suspect_servers`` the servers that failed at several of them.
    ``suspect_slots`` are the services whose suspect slot the requester holds.
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
    pull_interval_s: float = 0.0
    appointment: MapAppointment | None = None
    share: HostShare | None = None
    part_list: freshness.CrashingPartList | None = None
    passes: tuple[ServicePass, ...] = ()
    suspect_servers: tuple[SuspectServer, ...] = ()
    memories: tuple[ServerMemory, ...] = ()
    suspect_slots: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCall:
    """A control call that a follower relays to the leader."""

    method: str
    target: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedCall:
    """The change that a call asks for in the leader's current state.

    Attributes:
        status: 200; 503 if the state could not be confirmed, and 0 if this host is not
            the leader.
        change: The change, packed.
        detail: Why there is none.
    """

    status: int
    change: bytes = b""
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The answer to a relayed call; status 0 means: this host is not the leader."""

    status: int
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipQuestion:
    """Asks a log host for the voters."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipAnswer:
    """The addresses of the log hosts that a host knows, and that of the leader."""

    leader_address: str
    log_hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneVersion:
    """How many changes a zone has had, counted from 1."""

    availability_zone: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingState:
    """Snapshot of the routing part of the replicated state."""

    revision: int
    table: RouteDocument | None
    zones_out: tuple[str, ...]
    departures: tuple[Departure, ...]
    zone_versions: tuple[ZoneVersion, ...] = ()

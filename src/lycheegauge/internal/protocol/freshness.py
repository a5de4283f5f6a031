"""Messages that carry the configuration, its proof of freshness, and members.

A requester counts a proof's age from the moment it sent its request and adds
``age_s``, so that a delayed answer can only look older. Messages contain only
durations; the clocks of two hosts are never compared.
"""

import dataclasses

from lycheegauge.internal.protocol import changes, configurations, intents, work


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """``revision`` was current ``age_s`` seconds before this was sent."""

    revision: int
    age_s: float
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as announced by its agent.

    ``incarnation`` changes at each start of the agent and ``boot_id`` at each
    start of the backend server. ``capacity`` is in concurrent requests.
    ``version`` counts the changes of this record within an incarnation, so
    that a delayed older record never replaces a newer one.
    """

    name: str
    agent_address: str
    availability_zone: str
    service: str
    incarnation: str
    boot_id: str
    capacity: int
    engine: str
    leaving: bool = False
    group: str = ""
    rank: int = -1
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host and the addresses it serves on.

    Hosts with ``leaving`` set are omitted from discovery answers.
    """

    name: str
    availability_zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    incarnation: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """Members that changed after the requester's cursor, and those that left.

    With ``whole``, the update is the complete directory.
    """

    cursor: int
    whole: bool
    backend_servers: tuple[BackendServer, ...] = ()
    entry_hosts: tuple[EntryHost, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedRevision:
    """The revision that a process has applied, for ``status``."""

    process: str
    availability_zone: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPull:
    """An entry host's request to a log replica, sent several times a second.

    A negative ``revision`` requests the complete configuration.
    """

    entry_host: EntryHost
    revision: int
    directory_source: str
    directory_cursor: int
    attested: tuple[BackendServer, ...]
    alive: tuple[str, ...]
    applied: tuple[AppliedRevision, ...] = ()
    quarantine_version: int = 0


def make_boot_key(backend_server: str, boot_id: str) -> str:
    """Returns a unique id of a boot; two servers may use the same boot ids."""
    return f"{backend_server}/{boot_id}"


CRASHES_TO_REFUSE = 2
"""Crashes after which a request may be refused, if it ran alone at one of them."""


def is_refused(crashes: int, crashes_alone: int) -> bool:
    """Tells whether a request, or a part of prompts, must not run any more.

    Several servers may crash at once for one cause, so being there at many crashes
    does not suffice: it must have been the only suspect at one of them.

    Args:
        crashes: Number of crashes that count against it.
        crashes_alone: Number of those at which it was the only suspect.
    """
    return crashes >= CRASHES_TO_REFUSE and crashes_alone > 0


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatedCrash:
    """A fingerprint with several crashes that count against it.

    Attributes:
        fingerprint: The digest of the request.
        boots: The boots that crashed while they ran it, oldest first.
        alone: Those at which it was the only suspect.
    """

    fingerprint: str
    boots: tuple[str, ...]
    alone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """Fingerprints that are refused, and suspects that must run alone.

    ``suspect_boots`` holds, for each suspect, the last boot that crashed while running
    it. ``repeated_crashes`` has all boots of the fingerprints that more than one crash
    counts against, also of the refused ones.
    """

    version: int
    refused: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    suspect_boots: tuple[str, ...] = ()
    repeated_crashes: tuple[RepeatedCrash, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingPart:
    """A part of prompts that is suspected to crash servers, or refused.

    Attributes:
        part: The service and the part's id.
        boots: The boots of servers that crashed with it and don't count as cleared.
        evidence: Sum of the negative decimal logarithms of the probabilities that it
            was there by chance.
        is_refused: Whether requests with it must not run.
        runs_alone: Whether a request with it must be the only suspect of its service.
        crashes_alone: Number of the crashes at which such a request was.
    """

    part: str
    boots: tuple[str, ...]
    evidence: float
    is_refused: bool
    runs_alone: bool = False
    crashes_alone: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashingPartList:
    """All suspected and refused parts, as of a version of the log's state."""

    version: int
    parts: tuple[CrashingPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPullReply:
    """A proof and the changes that the requester has not yet seen.

    A newer configuration is sent in full or as a delta from the requester's
    revision.
    """

    proof: Proof | None
    configuration: intents.Configuration | None
    directory_source: str
    directory: DirectoryUpdate
    quarantine: Quarantine | None = None
    log_hosts: tuple[str, ...] = ()
    leader_address: str = ""
    configuration_delta: configurations.ConfigurationDelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPull:
    """An agent's announcement and request to an entry host.

    ``crashes`` and ``clearances`` are resent until acknowledged; ``cleared`` is how
    older versions send clearances. ``cache_events`` are those since the
    last pull. ``entry_hosts_digest`` is the digest of the entry hosts that the
    agent pulls from, so that the reply lists them only if they changed; 0 if it
    knows none.
    """

    backend_server: BackendServer
    revision: int
    load: work.LoadReport
    crashes: tuple[changes.ReportCrash, ...] = ()
    cleared: tuple[str, ...] = ()
    cache_events: tuple[work.CacheEvent, ...] = ()
    quarantine_version: int = 0
    entry_hosts_digest: int = 0
    clearances: tuple[changes.ClearSuspect, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AgentPullReply:
    """A proof and the configuration that concerns this backend server.

    ``recorded_boots`` and ``recorded_clearances`` are stored in the log and need
    not be sent again.
    """

    proof: Proof | None
    availability_zone_out: bool
    backend_server_out: bool
    entry_hosts: tuple[EntryHost, ...] = ()
    quarantine: Quarantine | None = None
    recorded_boots: tuple[str, ...] = ()
    recorded_clearances: tuple[str, ...] = ()

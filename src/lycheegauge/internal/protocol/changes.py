"""Changes to the replicated state and their typed outcomes.

The codec packs a change into a log entry's payload. Its outcome is computed when
the entry is applied and is the same on every replica. Changes carry no wall-clock
time, except to compare with the starts that servers state: ``log_time_s`` is the
leader's monotonic count of log seconds. It never decreases because each entry takes the
maximum of its leader's reading and the value of the previous entry.
"""

import dataclasses
import enum

from lycheegauge.internal.protocol import intents


class ChangeStatus(enum.StrEnum):
    """The result of applying a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    REQUEST_ID_REUSED = "request_id_reused"


class ClaimStatus(enum.StrEnum):
    """The state of an idempotency key in the ledger."""

    GRANTED = "granted"
    HELD = "held"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    OTHER_CONTENT = "other_content"
    EXPIRED = "expired"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmPlan:
    """Confirms a plan; refused unless ``base_revision`` is still current.

    ``refusals`` are the objections that the entry host found when the plan was
    confirmed. They are replicated so that a request id refused by one entry
    host can't be accepted through another.
    """

    request_id: str
    plan_id: str
    base_revision: int
    intent: intents.Intent
    refusals: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmOutcome:
    """The outcome of ``ConfirmPlan``; a resend returns the first outcome."""

    status: ChangeStatus
    revision: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantClaim:
    """Claims a key for one run on one incarnation of an agent.

    Without an agent, nothing is granted and only the key's state is read.

    ``issued_at_s`` is the log time at which the system issued the key, or for a
    caller's own key the log time at which an entry host first saw it.
    ``arrived_at_s`` is a log time that had passed when this request arrived.
    """

    key: str
    organisation: str
    digest: str
    agent: str
    incarnation: str
    request_id: str
    issued_at_s: float
    log_time_s: float
    arrived_at_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The state of a key after ``GrantClaim`` or ``SettleClaim``.

    With status ``HELD`` it names the holding agent and its incarnation, so that
    the requester can settle the claim with that agent. ``sequence`` numbers the
    grants of the whole ledger, so that an agent can safely discard old ones.
    """

    status: ClaimStatus
    agent: str = ""
    incarnation: str = ""
    attempt: int = 0
    answer: bytes = b""
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SettleClaim:
    """Ends a claim as answered, proven not run, or unknown.

    It is ignored unless ``attempt`` is the ledger's current attempt.
    """

    key: str
    attempt: int
    status: ClaimStatus
    answer: bytes
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """The request fingerprints that were running when a backend server crashed.

    ``alone`` are those that ran as the only suspect, so that the crash is evidence
    against them and not against others.
    """

    backend_server: str
    boot_id: str
    fingerprints: tuple[str, ...]
    log_time_s: float
    alone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Clears a fingerprint of the crashes of some boots.

    A request with the fingerprint that was sent after those crashes was answered.
    Without ``boots``, as hosts of older versions send it, a suspect is cleared of all
    its crashes, and a refused fingerprint of none.
    """

    fingerprint: str
    log_time_s: float
    boots: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportPartCrash:
    """The parts of prompts that may have crashed a backend server.

    ``evidence`` has a number for each part: the negative decimal logarithm of the
    probability that a request with the part was there by chance. ``alone`` are those
    whose request ran as the only suspect of its service.
    """

    backend_server: str
    boot_id: str
    parts: tuple[str, ...]
    evidence: tuple[float, ...]
    log_time_s: float
    alone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClearPart:
    """Clears a part of the crashes of some boots, or of all if it is forced."""

    part: str
    boots: tuple[str, ...]
    is_forced: bool
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TakeEpoch:
    """Makes ``holder`` the coordinator of a group, with a new, higher epoch."""

    group: str
    holder: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EpochOutcome:
    """The epoch now in force for a group."""

    status: ChangeStatus
    group: str
    holder: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitMap:
    """Stores a group's next expert map; refused if the epoch is outdated.

    ``first_step`` is the first step that runs with this map. It is stored in the
    log so that the version of each step is still known if all permits are lost.
    """

    group: str
    epoch: int
    version: int
    expert_map: bytes
    first_step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MapOutcome:
    """The outcome of ``CommitMap``."""

    status: ChangeStatus
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The outcome of a change that returns only a status."""

    status: ChangeStatus


@dataclasses.dataclass(frozen=True, slots=True)
class PutRouteTable:
    """Activates a route table if its version is higher than the current one.

    ``document`` is the operator's original document, compressed.
    """

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SetZoneOut:
    """Takes an availability zone out of service or returns it to service.

    ``zone_version`` is the zone's version in the state that the change was made for.
    The change conflicts if another one came between; 0 applies in any case.
    """

    availability_zone: str
    out: bool
    zone_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NoteDeparture:
    """Records that an incarnation of a backend server must get no new requests.

    If the leader did not know the server, ``born_ms`` is 0 and ``before_ms`` is its own
    wall clock in Unix ms when it was told: the incarnation was born before then.
    """

    server: str
    born_ms: int
    before_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingOutcome:
    """The revision of the routing state that includes the change."""

    status: ChangeStatus
    revision: int


Change = (
    ConfirmPlan
    | GrantClaim
    | SettleClaim
    | ReportCrash
    | ClearSuspect
    | ReportPartCrash
    | ClearPart
    | TakeEpoch
    | CommitMap
    | PutRouteTable
    | SetZoneOut
    | NoteDeparture
)
Outcome = (
    ConfirmOutcome
    | ClaimOutcome
    | EpochOutcome
    | MapOutcome
    | Acknowledgement
    | RoutingOutcome
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartSnapshot:
    """One part of the replicated state, as serialized by that part."""

    name: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """All parts of the replicated state."""

    parts: tuple[PartSnapshot, ...]

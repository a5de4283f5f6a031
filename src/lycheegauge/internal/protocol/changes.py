"""Changes to the replicated state, each with its typed outcome.

A change is packed by the codec into a log entry's payload. Outcomes are made
when the entry is applied and are the same on every replica. Changes carry no
wall clock: ``log_time_s`` is the leader's monotonic count of log seconds,
which never goes back because each entry takes the larger of its leader's
reading and its predecessor's.
"""

import dataclasses
import enum

from lycheegauge.internal.protocol import intents


class ChangeStatus(enum.StrEnum):
    """How a change ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    REQUEST_ID_REUSED = "request_id_reused"


class ClaimStatus(enum.StrEnum):
    """What the ledger says of an idempotency key."""

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

    ``refusals`` are what the entry host found against the plan when it was
    confirmed. They travel through the log, so that a request id which was
    refused by one entry host can't be accepted through another.
    """

    request_id: str
    plan_id: str
    base_revision: int
    intent: intents.Intent
    refusals: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmOutcome:
    """The outcome of ``ConfirmPlan``; a resend gets the first one."""

    status: ChangeStatus
    revision: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantClaim:
    """Claims a key for one run on one agent's incarnation.

    Without an agent it grants nothing and only asks what the ledger holds.

    ``issued_at_s`` is the log time at which the key was issued when the system
    issued it, else the log time at which an entry host first saw it.
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
    """What the ledger holds for a key after ``GrantClaim``.

    When the status is ``HELD`` the holder's agent and incarnation are named,
    so that the asker can settle with that agent. ``sequence`` numbers the
    grants of the whole ledger, so that an agent can forget old ones safely.
    """

    status: ClaimStatus
    agent: str = ""
    incarnation: str = ""
    attempt: int = 0
    answer: bytes = b""
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SettleClaim:
    """Ends a claim: answered, proven not run, or unknown.

    A settlement for another attempt than the ledger's current one is ignored.
    """

    key: str
    attempt: int
    status: ClaimStatus
    answer: bytes
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Fingerprints that were running when a backend server died."""

    backend_server: str
    boot_id: str
    fingerprints: tuple[str, ...]
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """A suspect fingerprint ran alone to its end; it is no suspect any more."""

    fingerprint: str
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TakeEpoch:
    """Makes ``holder`` the coordinator of a group, with a higher epoch."""

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
    """Stores a group's next expert map; refused with an older epoch.

    ``first_step`` is the first step that runs with it. It stands in the log, so
    that which step uses which version survives the loss of every permit.
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
    """The outcome of a change that has nothing to report."""

    status: ChangeStatus


@dataclasses.dataclass(frozen=True, slots=True)
class PutRouteTable:
    """Puts a route table into force unless its version is not higher.

    ``document`` is the operator's own, compressed.
    """

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SetZoneOut:
    """Takes an availability zone out of service, or back."""

    availability_zone: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoteDeparture:
    """Records that an incarnation of a backend server gets no new work."""

    server: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingOutcome:
    """The revision of the routing state that holds the change."""

    status: ChangeStatus
    revision: int


Change = (
    ConfirmPlan
    | GrantClaim
    | SettleClaim
    | ReportCrash
    | ClearSuspect
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
    """One part of the replicated state, as that part dumped it."""

    name: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """All parts of the replicated state."""

    parts: tuple[PartSnapshot, ...]

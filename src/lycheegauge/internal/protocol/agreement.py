"""Messages of the replicated log, and the effects that its core requests.

The core (``coordination.agreement``) takes a message and the time and returns
effects, which a task then performs. Nothing in this module does any I/O.
"""

import dataclasses
import enum


class EntryKind(enum.StrEnum):
    """The kind of payload of a log entry."""

    CHANGE = "change"
    MEMBERSHIP = "membership"
    TERM_START = "term_start"


@dataclasses.dataclass(frozen=True, slots=True)
class Voter:
    """A replica's identity: its host and the id stored in its data folder.

    A host whose disk was wiped gets a new ``disk_id`` and counts as a new replica.
    """

    host: str
    disk_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The voting replicas and the non-voting learners."""

    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One log entry; ``payload`` is a packed change or membership."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """What a replica must have synced to disk before it replies."""

    term: int = 0
    voted_for: Voter | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The replicated state up to and including ``last_index``."""

    last_index: int
    last_term: int
    membership: Membership
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica reads from its data folder at start."""

    identity: Voter
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


# Messages between replicas. Each carries its sender and the sender's term.


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or with ``pre_vote`` asks whether it would be granted."""

    sender: Voter
    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """The reply to a ``VoteRequest``."""

    sender: Voter
    term: int
    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; a request without entries is a heartbeat.

    ``round_id`` numbers the leader's heartbeats: a quorum of replies to a
    heartbeat sent after a read began proves leadership for that read.
    """

    sender: Voter
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """The reply to an ``AppendRequest``.

    The sender has synced all entries up to ``synced_index`` to its disk.
    """

    sender: Voter
    term: int
    accepted: bool
    synced_index: int
    round_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the state of a replica that lags too far behind the log."""

    sender: Voter
    term: int
    snapshot: Snapshot
    round_id: int


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest


# Effects that the core returns. A task performs them in order.


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` to ``receiver``; the message may be lost."""

    receiver: Voter
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync, then call ``report_synced``.

    Entries from ``truncate_from`` on are removed first; 0 removes none. Later
    effects in the list must not be performed before the sync.
    """

    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the replicated state, in order."""

    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Replace the replicated state with that of a snapshot."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalDone:
    """A proposal was committed at ``index``, or failed with ``error``."""

    proposal_id: str
    index: int
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDone:
    """A quorum confirmed leadership after the read began, or the read failed."""

    read_id: str
    commit_index: int
    error: str = ""


Effect = Send | Persist | Apply | Restore | ProposalDone | ReadDone

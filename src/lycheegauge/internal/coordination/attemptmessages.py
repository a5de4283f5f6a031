"""Events that an entry host's request core handles, and effects it returns."""

import dataclasses
import enum

from lycheegauge.internal.coordination import crashes
from lycheegauge.internal.protocol import changes, freshness, work


class Timer(enum.StrEnum):
    """The timers of one request."""

    DEADLINE = "deadline"
    SETTLEMENT = "settlement"
    CRASH_HOLD = "crash_hold"
    SUSPECT_WAIT = "suspect_wait"


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServerChosen:
    """The result of ``ChooseBackendServer``.

    ``reason`` applies if ``backend_server`` is ``None``. ``known_crashes`` are the
    boots whose crashes make the request a suspect.
    """

    backend_server: freshness.BackendServer | None
    revision: int = 0
    suspect: bool = False
    reason: work.RefusalReason = work.RefusalReason.NO_BACKEND_SERVER
    retry_after_s: float = 1.0
    known_crashes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimCommitted:
    """The replicated log has committed a ``CommitClaim``."""

    outcome: changes.ClaimOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class SettlementRecorded:
    """The replicated log has committed a ``RecordSettlement``."""

    outcome: changes.ClaimOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """It is unknown whether the log committed the last change requested."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyReceived:
    """The agent replied to the order of this attempt."""

    attempt: int
    reply: work.AgentReply


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The order's stream closed without an end message or a refusal.

    ``sent`` is false only if it is certain that no byte of the order left
    this host, for example because no connection could be opened.
    """

    attempt: int
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettlementReceived:
    """The agent's response to ``QuerySettlement``."""

    settlement: work.Settlement


@dataclasses.dataclass(frozen=True, slots=True)
class AgentUnreachable:
    """The agent did not respond to ``QuerySettlement``."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecorded:
    """The log has committed the crash that ended an attempt.

    ``verdict`` says how the request may run now.
    """

    backend_server: str
    boot_id: str
    verdict: crashes.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has expired."""

    timer: Timer


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


Event = (
    BackendServerChosen
    | ClaimCommitted
    | SettlementRecorded
    | LogUnavailable
    | ReplyReceived
    | ConnectionLost
    | SettlementReceived
    | AgentUnreachable
    | CrashRecorded
    | TimerFired
    | CallerDisconnected
)


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class ChooseBackendServer:
    """Choose a backend server within the retry budget.

    Reply with ``BackendServerChosen``.

    ``reason`` is ``None`` for the first attempt. A ``suspect`` is sent only to
    the servers that ``crashes.choose_suspect_servers`` returns.
    """

    excluded: tuple[str, ...] = ()
    reason: work.RetryReason | None = None
    suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CommitClaim:
    """Commit the change; reply with ``ClaimCommitted`` or ``LogUnavailable``.

    The daemon sets the log time. It may propose the same change again.
    """

    change: changes.GrantClaim


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSettlement:
    """Commit the change; reply with ``SettlementRecorded`` or ``LogUnavailable``.

    After ``Done`` no reply is expected.
    """

    change: changes.SettleClaim


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send the order at most once; it must never be sent again."""

    backend_server: freshness.BackendServer
    order: work.WorkOrder


@dataclasses.dataclass(frozen=True, slots=True)
class CancelOrder:
    """Tell the agent that no caller is waiting for this attempt any more."""

    backend_server: freshness.BackendServer
    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuerySettlement:
    """Query an agent; reply with ``SettlementReceived`` or ``AgentUnreachable``."""

    agent: str
    request: work.SettlementRequest


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitCrashReport:
    """Reply with ``CrashRecorded`` once the log has the crash of this boot.

    The reply is expected until ``Done``, also while other attempts run.
    """

    backend_server: str
    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotifyCrash:
    """Send the report to all other entry hosts now; no reply is expected."""

    report: crashes.CrashReport


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Reply with ``TimerFired`` after ``delay_s`` seconds.

    Replaces an earlier setting of the same timer.
    """

    timer: Timer
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardChunk:
    """Forward a chunk to the caller."""

    chunk: work.AnswerChunk


@dataclasses.dataclass(frozen=True, slots=True)
class EndAnswer:
    """The answer is complete; end the response to the caller."""

    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request.

    If ``cut`` is set, part of the answer has already been forwarded, and the
    caller's connection must be aborted, so that no client mistakes the partial
    answer for a complete one.
    """

    refusal: work.Refusal
    is_partial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request is finished; later events are ignored."""


Effect = (
    ChooseBackendServer
    | CommitClaim
    | RecordSettlement
    | SendOrder
    | CancelOrder
    | QuerySettlement
    | AwaitCrashReport
    | NotifyCrash
    | SetTimer
    | ForwardChunk
    | EndAnswer
    | Refuse
    | Done
)
Effects = tuple[Effect, ...]

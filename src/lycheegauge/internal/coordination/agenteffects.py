"""Effects that an agent's core returns for its daemon to perform, in order."""

import dataclasses

from lycheegauge.internal.coordination import crashes
from lycheegauge.internal.protocol import work


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Send the order to the backend server; it is already marked as started."""

    order: work.WorkOrder


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel the run at the backend server."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send a reply on the most recent stream of this request and attempt."""

    request_id: str
    attempt: int
    reply: work.AgentReply


@dataclasses.dataclass(frozen=True, slots=True)
class ResubmitOrder:
    """Call ``handle_order`` with this order again: the server is idle now."""

    order: work.WorkOrder


@dataclasses.dataclass(frozen=True, slots=True)
class SendCrashReport:
    """Have an entry host commit the report to the log."""

    report: crashes.CrashReport


@dataclasses.dataclass(frozen=True, slots=True)
class SendClearance:
    """Have an entry host clear a suspect that ran alone to completion.

    ``boots`` are the crashes that counted against it when it started.
    """

    fingerprint: str
    boots: tuple[str, ...]


Effect = StartRun | CancelRun | Reply | ResubmitOrder | SendCrashReport | SendClearance
Effects = tuple[Effect, ...]

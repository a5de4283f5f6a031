"""Decides how to handle a backend server's answer, and builds final refusals.

Only an explicit statement by the server shows that a request was not run. A
connection reset, a closed connection or a time-out after sending proves nothing.
"""

import dataclasses
import enum

from lycheegauge.internal.protocol import routetables, work

MISDIRECTED = 421
SERVER_ERROR_MIN = 500


class Verdict(enum.Enum):
    """How to proceed once the head of an answer has arrived."""

    PASS_ON = "pass_on"
    NOT_RUN = "not_run"
    REPEAT = "repeat"


def classify_answer(
    status: int, says_not_run: bool, repetition: routetables.Repetition
) -> Verdict:
    """Decides how to proceed with an answer from its head.

    A server error leads to a retry if the request is idempotent; for any other
    request the error is passed on to the caller.
    """
    if says_not_run or status == MISDIRECTED:
        return Verdict.NOT_RUN
    if status >= SERVER_ERROR_MIN and repetition.is_idempotent:
        return Verdict.REPEAT
    return Verdict.PASS_ON


def says_not_run(status: int) -> bool:
    """Tells whether a caller takes a status as a guarantee that nothing was run.

    A server that answers so speaks for itself only. Such an answer is not passed on if
    the request may have run at another server.
    """
    return status in _NOT_RUN_STATUSES


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUp:
    """The final answer to a request that is refused.

    Attributes:
        reason: Why the request is refused.
        status: The HTTP status. 429 and 503 guarantee that the request was not run.
        retry_after_s: Seconds after which the caller should retry; negative if a
            retry can't succeed.
        detail: Additional text for the caller.
    """

    reason: work.RefusalReason
    status: int
    retry_after_s: float = -1.0
    detail: str = ""


_STATUS = {
    work.RefusalReason.UNKNOWN_ROUTE: 404,
    work.RefusalReason.UNKNOWN_KEY: 401,
    work.RefusalReason.BAD_REQUEST: 400,
    work.RefusalReason.QUARANTINED: 422,
    work.RefusalReason.REQUEST_TOO_LARGE: 413,
}
_NOT_RUN_STATUS = 503
_NOT_RUN_STATUSES = (429, _NOT_RUN_STATUS)
_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504


def give_up(
    reason: work.RefusalReason,
    run_state: work.RunState,
    retry_after_s: float = -1.0,
    detail: str = "",
) -> GivenUp:
    """Builds the final answer.

    A status that guarantees "not run" is used only if that is known.
    """
    if run_state is not work.RunState.NOT_RUN:
        late = reason is work.RefusalReason.DEADLINE_EXCEEDED
        status = _TIMEOUT_STATUS if late else _UNKNOWN_STATUS
        return GivenUp(reason, status, -1.0, detail)
    if reason in _STATUS:
        # A retry would be refused for the same reason.
        return GivenUp(reason, _STATUS[reason], -1.0, detail)
    return GivenUp(reason, _NOT_RUN_STATUS, retry_after_s, detail)

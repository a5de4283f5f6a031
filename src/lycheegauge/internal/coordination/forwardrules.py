"""What an answer of a backend server means for the request that it answers.

Only a server's own word says that a request was not run. A reset, a closed
connection or silence after a send proves nothing.
"""

import dataclasses
import enum

from lycheegauge.internal.protocol import routetables, work

MISDIRECTED = 421
SERVER_ERROR_MIN = 500


class Verdict(enum.Enum):
    """What to do with an answer's head."""

    PASS_ON = "pass_on"
    NOT_RUN = "not_run"
    REPEAT = "repeat"


def judge_answer(
    status: int, says_not_run: bool, repetition: routetables.Repetition
) -> Verdict:
    """Judges the head of an answer.

    A server error of a request that may be repeated is worth another try; of
    any other request it is the answer.
    """
    if says_not_run or status == MISDIRECTED:
        return Verdict.NOT_RUN
    if status >= SERVER_ERROR_MIN and repetition.is_idempotent:
        return Verdict.REPEAT
    return Verdict.PASS_ON


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUp:
    """The final answer to a request that is given up.

    Attributes:
        status: The HTTP status. 429 and 503 promise that nothing was run.
        retry_after_s: When to come back; negative when that can't help.
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
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504


def give_up(
    reason: work.RefusalReason,
    run_state: work.RunState,
    retry_after_s: float = -1.0,
    detail: str = "",
) -> GivenUp:
    """Makes the final answer; a status that promises "not run" only when it is so."""
    if run_state is not work.RunState.NOT_RUN:
        late = reason is work.RefusalReason.DEADLINE_EXCEEDED
        status = _TIMEOUT_STATUS if late else _UNKNOWN_STATUS
        return GivenUp(reason, status, -1.0, detail)
    if reason in _STATUS:
        # Coming back would not help.
        return GivenUp(reason, _STATUS[reason], -1.0, detail)
    return GivenUp(reason, _NOT_RUN_STATUS, retry_after_s, detail)

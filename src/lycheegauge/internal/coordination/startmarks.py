"""Start marks: an agent's record of the non-repeatable orders it has seen.

The mark "started" is set before the backend server receives any byte, and the
mark "never" whenever the agent has promised that an attempt will not start.
Memory is bounded without breaking that promise: the ledger numbers its grants,
and once marks have been evicted, every unknown order with a number up to the
highest evicted one is refused. An order for another incarnation of the agent is
refused too, so it is safe to lose all marks at a restart.
"""

import dataclasses
import enum

from lycheegauge.internal.protocol import work

MAX_MARKS = 1_024


class MarkState(enum.StrEnum):
    """The state of one attempt of one idempotency key."""

    UNSEEN = "unseen"
    NEVER = "never"
    STARTED = "started"
    ANSWERED = "answered"
    FAILED = "failed"
    FORGOTTEN = "forgotten"


_SETTLEMENTS = {
    MarkState.NEVER: work.SettlementStatus.WILL_NEVER_START,
    MarkState.STARTED: work.SettlementStatus.RUNNING,
    MarkState.ANSWERED: work.SettlementStatus.ANSWERED,
    MarkState.FAILED: work.SettlementStatus.FAILED_UNKNOWN,
    MarkState.FORGOTTEN: work.SettlementStatus.FAILED_UNKNOWN,
}


@dataclasses.dataclass(slots=True)
class StartMark:
    """The mark of one attempt; ``sequence`` is the number of its grant."""

    state: MarkState
    sequence: int
    answer: bytes = b""


class StartMarks:
    """Marks by key and attempt, for one incarnation of an agent.

    Args:
        max_marks: The number of attempts above which ended ones are evicted.
    """

    def __init__(self, max_marks: int = MAX_MARKS) -> None:
        self._max_marks = max_marks
        self._marks: dict[tuple[str, int], StartMark] = {}
        # Grants are numbered from 1, so an order without a grant is refused.
        self._highest_evicted = 0

    def __len__(self) -> int:
        """Returns how many attempts have a mark."""
        return len(self._marks)

    def find(self, key: str, attempt: int, sequence: int) -> StartMark:
        """Returns the mark of an attempt, or one that says why there is none."""
        mark = self._marks.get((key, attempt))
        if mark is not None:
            return mark
        is_evicted = sequence <= self._highest_evicted
        return StartMark(
            MarkState.FORGOTTEN if is_evicted else MarkState.UNSEEN, sequence
        )

    def set(self, key: str, attempt: int, mark: StartMark) -> None:
        """Sets the mark of an attempt; evicts the oldest ended ones if needed."""
        self._marks[key, attempt] = mark
        if len(self._marks) > self._max_marks:
            self._evict_oldest()

    def settle(self, request: work.SettlementRequest) -> work.Settlement:
        """Reports how an attempt ended; one not seen yet is barred from starting."""
        mark = self.find(request.key, request.attempt, request.claim_sequence)
        if mark.state is MarkState.UNSEEN:
            mark = StartMark(MarkState.NEVER, request.claim_sequence)
            self.set(request.key, request.attempt, mark)
        return work.Settlement(
            request.key, request.attempt, _SETTLEMENTS[mark.state], mark.answer
        )

    def _evict_oldest(self) -> None:
        ended = [
            (mark.sequence, place)
            for place, mark in self._marks.items()
            if mark.state is not MarkState.STARTED
        ]
        # Half are evicted at once, to amortise the cost of sorting.
        for sequence, place in sorted(ended)[: len(ended) // 2 + 1]:
            del self._marks[place]
            self._highest_evicted = max(self._highest_evicted, sequence)

"""The orders that a backend server is running."""

import collections.abc
import dataclasses

from lycheegauge.internal.coordination import admission, answers
from lycheegauge.internal.protocol import ledger, work


@dataclasses.dataclass(slots=True)
class Run:
    """The progress of one order; times are in monotonic seconds.

    Attributes:
        order: The order as it was started.
        ticket: The admission ticket of the run.
        started_s: When the order was sent to the backend server.
        next_token: The index of the next token in the complete answer.
        chunks: How many chunks have arrived so far.
        first_token_s: Seconds to the first chunk; ``None`` before it.
        stored_chunks: The chunks of a non-repeatable run, stored for resent requests.
        stored_bytes: The size of their bodies and tokens.
        known_crashes: The boots whose crashes counted against its request when it
            started.
    """

    order: work.WorkOrder
    ticket: admission.Ticket
    started_s: float
    next_token: int
    chunks: int = 0
    first_token_s: float | None = None
    stored_chunks: list[work.AnswerChunk] = dataclasses.field(default_factory=list)
    stored_bytes: int = 0
    known_crashes: frozenset[str] = frozenset()

    def add_chunk(self, chunk: work.AnswerChunk, now: float) -> work.AnswerChunk:
        """Numbers a chunk, and stores it if the request is not repeatable."""
        if self.first_token_s is None:
            self.first_token_s = now - self.started_s
        numbered = work.AnswerChunk(
            chunk.request_id,
            chunk.attempt,
            self.chunks,
            self.next_token,
            chunk.tokens,
            chunk.body,
            chunk.status,
            chunk.content_type,
            chunk.is_close_delimited,
        )
        self.chunks += 1
        self.next_token += len(chunk.tokens)
        if not self.order.request.repeatable:
            self._store(numbered)
        return numbered

    def encode_answer(self) -> bytes:
        """Returns the encoded answer; empty if it is too large to store."""
        if self.stored_bytes > ledger.MAX_ANSWER_BYTES:
            return b""
        joined = answers.join_chunks(self.stored_chunks)
        return joined if len(joined) <= ledger.MAX_ANSWER_BYTES else b""

    def _store(self, chunk: work.AnswerChunk) -> None:
        self.stored_bytes += len(chunk.body) + sum(map(len, chunk.tokens))
        self.stored_chunks.append(chunk)
        if self.stored_bytes > ledger.MAX_ANSWER_BYTES:
            self.stored_chunks.clear()


def choose_excess_runs(
    running: collections.abc.Iterable[Run], excess: int
) -> collections.abc.Sequence[Run]:
    """Chooses up to ``excess`` runs to return to entry hosts, newest first.

    Only repeatable runs that have produced no output yet are chosen.
    """
    candidates = [
        run
        for run in running
        if run.first_token_s is None and run.order.request.repeatable
    ]
    candidates.sort(key=lambda run: run.started_s, reverse=True)
    return candidates[: max(0, excess)]


class RunTable:
    """The running orders of one agent, indexed by request and attempt.

    The run that has waited longest for its first token is found in constant
    time.
    """

    def __init__(self) -> None:
        self._runs: dict[tuple[str, int], Run] = {}
        self._awaiting_first_token: dict[tuple[str, int], Run] = {}

    def __len__(self) -> int:
        """Returns how many orders are running."""
        return len(self._runs)

    @property
    def all(self) -> tuple[Run, ...]:
        """All running orders, oldest first."""
        return tuple(self._runs.values())

    @property
    def is_running_suspect(self) -> bool:
        """Whether a suspect is running; a suspect always runs alone."""
        if len(self._runs) != 1:
            return False
        return next(iter(self._runs.values())).order.suspect

    @property
    def longest_waiting(self) -> Run | None:
        """The run that has waited longest for its first token."""
        return next(iter(self._awaiting_first_token.values()), None)

    def add(self, run: Run) -> None:
        """Adds a run that was just started."""
        run_key = (run.order.request.request_id, run.order.attempt)
        self._runs[run_key] = run
        self._awaiting_first_token[run_key] = run

    def find(self, request_id: str, attempt: int) -> Run | None:
        """Returns the run; ``None`` if it is not running."""
        return self._runs.get((request_id, attempt))

    def record_output(self, request_id: str, attempt: int) -> Run | None:
        """Returns the run and records that it has produced output.

        Returns:
            ``None`` if it is not running.
        """
        self._awaiting_first_token.pop((request_id, attempt), None)
        return self._runs.get((request_id, attempt))

    def remove(self, request_id: str, attempt: int) -> Run | None:
        """Removes and returns a run that has ended; ``None`` if it is not running."""
        self._awaiting_first_token.pop((request_id, attempt), None)
        return self._runs.pop((request_id, attempt), None)

    def clear(self) -> tuple[Run, ...]:
        """Removes all runs and returns them."""
        removed = self.all
        self._runs.clear()
        self._awaiting_first_token.clear()
        return removed

"""Adaptive concurrency limit for a backend server that may be cold.

The limit is enforced by the server's agent: if each of nine entry hosts enforced
a limit of one, the server could still get nine concurrent requests. The limit
starts at the configured value for a cold server and grows as requests complete
within the target while the limit is in use. It is reset to the cold value when the
server restarts, reports that it is cold, or answers much more slowly than its
average.
"""

import dataclasses

from returns import result

from lycheegauge.internal.protocol import work


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Concurrency limits of one backend server and how they adapt.

    Attributes:
        cold_limit: Concurrent requests admitted to a cold server.
        full_limit: Concurrent requests admitted to a warm server.
        first_token_target_s: The limit may grow after a request whose first
            token came within this time, in seconds.
        limit_increase: Increase of the limit for each completion within the target.
        slow_factor: A first-token time of more than this multiple of the
            average indicates that the server has become cold.
        slow_answers_to_reset: How many such slow first tokens in a row reset the limit.
    """

    cold_limit: int = 1
    full_limit: int = 32
    first_token_target_s: float = 0.86
    limit_increase: float = 0.5
    slow_factor: float = 4.0
    slow_answers_to_reset: int = 2


AVERAGE_WEIGHT = 0.1
OVERLOAD_DECREASE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """One admitted request; ``reset_count`` counts the limit's resets until then."""

    boot_id: str
    reset_count: int


class ColdStartLimit:
    """Limits the concurrent requests of one backend server.

    Attributes:
        running: Number of admitted requests that have not finished.
        average_first_token_s: Moving average of first-token times, in seconds.
    """

    def __init__(self, settings: AdmissionSettings, boot_id: str) -> None:
        self._settings = settings
        self._boot_id = boot_id
        self._limit = float(settings.cold_limit)
        self._reset_count = 0
        self._was_reset = False
        self._slow_answers = 0
        self.running = 0
        self.average_first_token_s = settings.first_token_target_s

    @property
    def limit(self) -> int:
        """The current limit of concurrent requests."""
        return int(self._limit)

    @property
    def is_cold(self) -> bool:
        """Whether the limit is still below that of a warm server."""
        return self.limit < self._settings.full_limit

    def admit(self) -> result.Result[Ticket, work.RefusalReason]:
        """Admits one request, or returns the reason for the refusal."""
        if self.running >= self.limit:
            full = self.limit >= self._settings.full_limit
            reason = work.RefusalReason.OVERLOADED if full else _COLD_LIMIT
            return result.Failure(reason)
        self.running += 1
        return result.Success(Ticket(self._boot_id, self._reset_count))

    def finish(
        self, ticket: Ticket, first_token_s: float | None, succeeded: bool
    ) -> None:
        """Records the end of an admitted request and adapts the limit.

        Args:
            ticket: What ``admit`` returned.
            first_token_s: Seconds until the first token; ``None`` if there was none.
            succeeded: Whether the answer was complete.
        """
        if ticket.boot_id != self._boot_id:
            return
        in_use = self.running >= self.limit / 2
        self.running -= 1
        if ticket.reset_count != self._reset_count or first_token_s is None:
            return
        if first_token_s <= self._settings.first_token_target_s:
            self._note_fast_answer(first_token_s, succeeded and in_use)
        else:
            self._note_slow_answer(first_token_s)

    def check_wait_time(self, wait_s: float, ticket: Ticket) -> None:
        """Checks a request that waits while the server produces no first token.

        A server that has become cold may take long to answer. This resets its
        limit before the first slow answer is complete.

        Args:
            wait_s: How long the request has waited without any first token from
                the server, in seconds.
            ticket: What ``admit`` returned.
        """
        current = ticket == Ticket(self._boot_id, self._reset_count)
        if current and self._is_far_above_average(wait_s):
            self._reset()

    def take_boot_id(self, boot_id: str) -> None:
        """Resets the limit and the running count if the server has restarted."""
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self.running = 0
            self._reset()

    def pop_reset(self) -> bool:
        """Returns whether the limit was reset since the last call."""
        was_reset, self._was_reset = self._was_reset, False
        return was_reset

    def note_cold_report(self) -> None:
        """Resets the limit after the backend server reported that it is cold."""
        self._reset()

    def _note_fast_answer(self, first_token_s: float, may_grow: bool) -> None:
        self._slow_answers = 0
        self._update_average(first_token_s)
        if may_grow:
            grown = self._limit + self._settings.limit_increase
            self._limit = min(grown, float(self._settings.full_limit))

    def _note_slow_answer(self, first_token_s: float) -> None:
        if not self._is_far_above_average(first_token_s):
            self._slow_answers = 0
            self._update_average(first_token_s)
            lowered = self._limit * OVERLOAD_DECREASE
            self._limit = max(lowered, float(self._settings.cold_limit))
            return
        self._slow_answers += 1
        if self._slow_answers >= self._settings.slow_answers_to_reset:
            self._reset()

    def _is_far_above_average(self, first_token_s: float) -> bool:
        threshold_s = self.average_first_token_s * self._settings.slow_factor
        return first_token_s > max(threshold_s, self._settings.first_token_target_s)

    def _update_average(self, first_token_s: float) -> None:
        difference_s = first_token_s - self.average_first_token_s
        self.average_first_token_s += AVERAGE_WEIGHT * difference_s

    def _reset(self) -> None:
        self._limit = float(self._settings.cold_limit)
        self._reset_count += 1
        self._slow_answers = 0
        self._was_reset = True


_COLD_LIMIT = work.RefusalReason.COLD_LIMIT

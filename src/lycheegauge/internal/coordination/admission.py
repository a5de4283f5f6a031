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
        growth: Increase of the limit for each completion within the target.
        far_over_usual: A first-token time of more than this multiple of the
            average indicates that the server has become cold.
        signs_to_drop: How many such slow first tokens in a row reset the limit.
    """

    cold_limit: int = 1
    full_limit: int = 32
    first_token_target_s: float = 0.86
    growth: float = 0.5
    far_over_usual: float = 4.0
    signs_to_drop: int = 2


USUAL_WEIGHT = 0.1
OVERLOAD_DECREASE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """One admitted request; ``warm_up`` counts the limit's resets until then."""

    boot_id: str
    warm_up: int


class ColdStartLimit:
    """Limits the concurrent requests of one backend server.

    Attributes:
        running: Number of admitted requests that have not finished.
        usual_first_token_s: Moving average of first-token times, in seconds.
    """

    def __init__(self, settings: AdmissionSettings, boot_id: str) -> None:
        self._settings = settings
        self._boot_id = boot_id
        self._limit = float(settings.cold_limit)
        self._warm_up = 0
        self._dropped = False
        self._signs = 0
        self.running = 0
        self.usual_first_token_s = settings.first_token_target_s

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
        return result.Success(Ticket(self._boot_id, self._warm_up))

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
        if ticket.warm_up != self._warm_up or first_token_s is None:
            return
        if first_token_s <= self._settings.first_token_target_s:
            self._take_fast(first_token_s, succeeded and in_use)
        else:
            self._take_slow(first_token_s)

    def take_wait(self, wait_s: float, ticket: Ticket) -> None:
        """Checks a request that waits while the server produces no first token.

        A server that has become cold may take long to answer. This resets its
        limit before the first slow answer is complete.

        Args:
            wait_s: How long the request has waited without any first token from
                the server, in seconds.
            ticket: What ``admit`` returned.
        """
        current = ticket == Ticket(self._boot_id, self._warm_up)
        if current and self._is_far_over_usual(wait_s):
            self._drop()

    def take_boot_id(self, boot_id: str) -> None:
        """Resets the limit and the running count if the server has restarted."""
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self.running = 0
            self._drop()

    def take_drop(self) -> bool:
        """Returns whether the limit was reset since the last call."""
        dropped, self._dropped = self._dropped, False
        return dropped

    def take_cold_report(self) -> None:
        """Resets the limit after the backend server reported that it is cold."""
        self._drop()

    def _take_fast(self, first_token_s: float, may_grow: bool) -> None:
        self._signs = 0
        self._learn_usual(first_token_s)
        if may_grow:
            grown = self._limit + self._settings.growth
            self._limit = min(grown, float(self._settings.full_limit))

    def _take_slow(self, first_token_s: float) -> None:
        if not self._is_far_over_usual(first_token_s):
            self._signs = 0
            self._learn_usual(first_token_s)
            lowered = self._limit * OVERLOAD_DECREASE
            self._limit = max(lowered, float(self._settings.cold_limit))
            return
        self._signs += 1
        if self._signs >= self._settings.signs_to_drop:
            self._drop()

    def _is_far_over_usual(self, first_token_s: float) -> bool:
        far_s = self.usual_first_token_s * self._settings.far_over_usual
        return first_token_s > max(far_s, self._settings.first_token_target_s)

    def _learn_usual(self, first_token_s: float) -> None:
        difference_s = first_token_s - self.usual_first_token_s
        self.usual_first_token_s += USUAL_WEIGHT * difference_s

    def _drop(self) -> None:
        self._limit = float(self._settings.cold_limit)
        self._warm_up += 1
        self._signs = 0
        self._dropped = True


_COLD_LIMIT = work.RefusalReason.COLD_LIMIT

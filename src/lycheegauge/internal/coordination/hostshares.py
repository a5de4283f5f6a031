"""An entry host's fraction of the limits that apply to all entry hosts together.

The log's leader leases each entry host a fraction of every such limit, see
``sharegrants``. A host without a valid lease may use nothing of them.
"""

import collections
import dataclasses
import math

from lycheegauge.internal.protocol import roster

DEMAND_MEMORY_S = 10.0
"""Time over which requests are averaged into a demand, in seconds."""

DEMAND_CHANGE_FACTOR = 1.5
"""A changed demand is reported once it differs by this factor. Without this, chance
would change the fractions all the time, and a low one in the past limits later
retries."""


@dataclasses.dataclass(slots=True)
class _Period:
    """A fraction that was held from ``starts_at`` until the next period began."""

    starts_at: float
    fraction: float


class HostShareHolder:
    """The fraction that an entry host holds, now and in the past.

    Args:
        window_s: How far into the past a limit may look, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._sequence = 0
        self._sent_at = -math.inf
        self._held_sequence = 0
        self._ends_at = -math.inf
        self._position = 0.0
        self._periods = collections.deque([_Period(-math.inf, 0.0)])
        self._rate = 0.0
        self._rate_at = -math.inf
        self._reported_rate = 0.0

    def note_request(self, now: float) -> None:
        """Counts a request of a caller as demand."""
        self._decay_rate(now)
        self._rate += 1.0 / DEMAND_MEMORY_S

    def make_demand(self, now: float) -> roster.HostDemand:
        """Creates the next demand; it must be sent after this call."""
        self._decay_rate(now)
        low = self._reported_rate / DEMAND_CHANGE_FACTOR
        high = self._reported_rate * DEMAND_CHANGE_FACTOR
        if not low <= self._rate <= high:
            self._reported_rate = self._rate
        self._sequence += 1
        self._sent_at = now
        return roster.HostDemand(
            self._sequence,
            self._reported_rate,
            self._held_sequence,
            self.get_fraction(now),
            self._window_s,
        )

    def apply_share(self, share: roster.HostShare | None, now: float) -> None:
        """Applies the answer to the newest demand; any other is ignored."""
        if share is None or share.sequence != self._sequence:
            return
        self._end_expired(now)
        self._held_sequence = share.sequence
        self._ends_at = self._sent_at + share.lease_s
        if self._ends_at <= now:
            self._begin_period(now, 0.0)
            return
        for period in self._periods:
            # No host held this part in the window, so this host may count it as held.
            period.fraction += share.unused_fraction
        self._position = share.position
        self._begin_period(now, share.fraction)

    def get_interval(self, now: float) -> tuple[float, float]:
        """Returns the position and length of this host's part of all limits."""
        return self._position, self.get_fraction(now)

    def get_fraction(self, now: float) -> float:
        """Returns the fraction held now; 0 without a valid lease."""
        self._end_expired(now)
        return self._periods[-1].fraction

    def get_lowest_fraction(self, since: float, now: float) -> float:
        """Returns the lowest fraction held at any time from ``since`` until now."""
        self._end_expired(now)
        lowest = self._periods[-1].fraction
        for index in range(len(self._periods) - 1):
            if self._periods[index + 1].starts_at > since:
                lowest = min(lowest, self._periods[index].fraction)
        return lowest

    def _end_expired(self, now: float) -> None:
        if now >= self._ends_at:
            self._begin_period(self._ends_at, 0.0)

    def _begin_period(self, starts_at: float, fraction: float) -> None:
        last = self._periods[-1]
        if math.isclose(last.fraction, fraction, abs_tol=1e-9):
            last.fraction = min(last.fraction, fraction)
        else:
            self._periods.append(_Period(starts_at, fraction))
        while (
            len(self._periods) > 1
            and self._periods[1].starts_at < starts_at - self._window_s
        ):
            self._periods.popleft()

    def _decay_rate(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._rate_at)
        self._rate *= math.exp(-elapsed_s / DEMAND_MEMORY_S)
        self._rate_at = now

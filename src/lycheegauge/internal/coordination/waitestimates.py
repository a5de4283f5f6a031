"""Estimates waiting times in a weighted fair queue."""

import bisect
import collections.abc
import itertools
import math

# The interval between departures is averaged over about this many requests.
INTERVAL_SAMPLES = 16
# A pause counts as a stall if it is longer than this many average intervals.
STALL_FACTOR = 4.0


class DepartureInterval:
    """Average interval between departures from a queue while it is not empty."""

    def __init__(self) -> None:
        self.interval_s = 0.0
        self._has_interval = False
        self._interval_started_at = -math.inf

    def note_backlog(self, now: float) -> None:
        """Records that the queue is no longer empty."""
        self._interval_started_at = now

    def note_departure(self, still_waiting: bool, now: float) -> None:
        """Records a departure; intervals without backlog are not averaged."""
        if still_waiting:
            interval = now - self._interval_started_at
            if not self._has_interval:
                self.interval_s = interval
            self._has_interval = True
            self.interval_s += (interval - self.interval_s) / INTERVAL_SAMPLES
        self._interval_started_at = now

    def estimate_stall(self, now: float) -> float:
        """Estimates for how long no request will leave the queue, in seconds.

        A stall is expected to last as long again as it has lasted so far. Counting
        the pause as a new interval instead caused most of a queue to be refused
        whenever the fleet paused for a moment.
        """
        pause = now - self._interval_started_at
        return pause if pause > STALL_FACTOR * self.interval_s else 0.0


class Backlog:
    """Snapshot of the lengths and weights of all flows.

    While one flow is served ``rounds`` times its weight, each other flow is served
    in proportion to its own weight, but at most as often as it has requests. The
    sum of this over all flows is read from prefix sums, so that re-estimating a
    whole queue costs no more than sorting its flows.

    Args:
        flows: Number of waiting requests and weight of each flow.
    """

    def __init__(self, flows: collections.abc.Iterable[tuple[int, float]]) -> None:
        ordered = sorted((length / weight, length, weight) for length, weight in flows)
        self._ratios = [ratio for ratio, _, _ in ordered]
        lengths = [length for _, length, _ in ordered]
        weights = [weight for _, _, weight in ordered]
        self._served = list(itertools.accumulate(lengths, initial=0))
        self._weights = list(itertools.accumulate(weights, initial=0.0))

    def count_served_before(self, ahead: int, length: int, weight: float) -> float:
        """Returns the expected number of requests served before a given one.

        Args:
            ahead: Number of requests ahead of it in its flow.
            length: Number of all requests waiting in its flow.
            weight: Weight of its flow.
        """
        rounds = (ahead + 1) / weight
        position = bisect.bisect_right(self._ratios, rounds)
        remaining_weight = self._weights[-1] - self._weights[position]
        total_served = self._served[position] + rounds * remaining_weight
        own = min(length, rounds * weight) if length else 0.0
        return ahead + max(0.0, total_served - own)

"""Estimates the current demand for each expert from cumulative counts."""

import collections.abc
import math
import operator

from lycheegauge.internal.protocol import maporders

HALF_LIFE_S = 1.5
"""Time after which a choice has half its weight: short compared to the seconds between
shifts of demand, long compared to the interval at which counts are read."""


class Demand:
    """Sums the ranks' choices of experts, with exponential decay."""

    def __init__(self) -> None:
        self._last_counts: dict[tuple[str, int], tuple[int, ...]] = {}
        self._loads: list[float] = []
        self._updated_at = -math.inf

    @property
    def total(self) -> float:
        """The decayed sum of all choices."""
        return sum(self._loads)

    def add_reports(
        self, reports: collections.abc.Iterable[maporders.EngineReport], now: float
    ) -> None:
        """Adds one round of reports with counts."""
        fade = math.pow(0.5, (now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self._loads = [load * fade for load in self._loads]
        for report in reports:
            self._add_counts(report)

    def get_layer_loads(self, layers: int) -> list[list[float]]:
        """Returns the load of each expert by layer; empty before the first counts."""
        if not self._loads or len(self._loads) % layers:
            return []
        size = len(self._loads) // layers
        return [
            self._loads[start : start + size]
            for start in range(0, len(self._loads), size)
        ]

    def _add_counts(self, report: maporders.EngineReport) -> None:
        key = (report.server, report.rank)
        if not report.counts:
            return
        before = self._last_counts.get(key)
        self._last_counts[key] = report.counts
        if len(self._loads) != len(report.counts):
            self._loads = [0.0] * len(report.counts)
        # The first counts after a start cover an unknown period and are ignored.
        if before is None or len(before) != len(report.counts):
            return
        if sum(report.counts) < sum(before):
            return
        added = map(operator.sub, report.counts, before)
        self._loads = list(map(operator.add, self._loads, added))

"""Estimates the demand for each expert of a large group, which is read in parts."""

import collections.abc
import dataclasses
import math
import operator

from lycheegauge.internal.coordination.groups import demand

FIRST_STEPS_MAX = 200
"""Number of passes up to which the counts since the ranks' start show the present
demand: some 10 s."""

CHOICES_PER_EXPERT = 20.0
"""Choices that a read must bring for each expert to count more than earlier ones."""

SHIFT_DISTANCE_MIN = 0.02
"""Fraction of the choices that may move to other experts, beyond chance, before earlier
choices lose weight. Requests of one caller choose the same experts."""

SHIFT_DISTANCE = 0.08
"""Fraction from which on demand has shifted. A read that covers a shift by half has
half its distance."""

NOISE_FACTOR = 0.4
"""Expected distance between two samples, as a multiple of the square root of experts
per choice."""

SUMS_MAX = 64
"""Sums kept: those of all parts, and of parts of which a rank was silent."""

SHIFTED_WEIGHT = 0.1
"""Weight of earlier choices after a shift."""


@dataclasses.dataclass(frozen=True, slots=True)
class CountSum:
    """The sum of the counts of some ranks.

    Attributes:
        members: The ranks.
        counts: How often they chose each expert since they started, layer by layer.
    """

    members: frozenset[int]
    counts: tuple[int, ...]


class PartDemand(demand.Demand):
    """Sums the choices of experts, with exponential decay and a sense of shifts.

    ``is_moving`` tells whether the latest read differs from the earlier ones, so that
    it may cover the time before a shift, too.

    Args:
        half_life_s: Time after which a choice has half its weight, in seconds, as long
            as reads bring enough choices.
    """

    def __init__(self, half_life_s: float) -> None:
        super().__init__()
        self._half_life_s = half_life_s
        self._sums: dict[frozenset[int], tuple[int, ...]] = {}
        self._epoch = -1
        self.is_moving = False

    def add_sums(
        self,
        sums: collections.abc.Iterable[CountSum],
        epoch: int,
        step: int,
        now: float,
    ) -> None:
        """Adds one round of sums.

        Args:
            sums: The sums of disjoint sets of ranks.
            epoch: How often the group was formed.
            step: The last pass that was started.
            now: Seconds.
        """
        is_new = epoch != self._epoch
        if is_new:
            self._sums.clear()
            self._epoch = epoch
        added: list[float] = []
        for item in sums:
            counts = self._add_sum(item, is_new and step < FIRST_STEPS_MAX)
            if counts:
                added = list(map(operator.add, added, counts)) if added else counts
        if not added:
            return
        if len(added) != len(self._loads):
            self._loads = [0.0] * len(added)
        fade = self._compute_fade(added, now)
        self._updated_at = now
        self._loads = [
            old * fade + new for old, new in zip(self._loads, added, strict=True)
        ]

    def _add_sum(self, item: CountSum, is_first: bool) -> list[float]:
        """Returns the choices since the same ranks were read before."""
        before = self._sums.get(item.members)
        self._sums[item.members] = item.counts
        if before is None:
            if len(self._sums) > SUMS_MAX:
                del self._sums[next(iter(self._sums))]
            return list(item.counts) if is_first else []
        # The intervals of overlapping sets would be counted twice.
        for members in list(self._sums):
            if members != item.members and members & item.members:
                del self._sums[members]
        if len(before) != len(item.counts):
            return []
        added = list(map(operator.sub, item.counts, before))
        # A rank that started again counts from 0.
        return [] if min(added, default=0) < 0 else [float(count) for count in added]

    def _compute_fade(self, added: list[float], now: float) -> float:
        """Computes the weight that earlier choices keep."""
        self.is_moving = False
        choices = sum(added)
        age_s = now - self._updated_at
        if choices < CHOICES_PER_EXPERT * len(added):
            return math.pow(0.5, age_s / max(self._half_life_s, demand.HALF_LIFE_S))
        fade = math.pow(0.5, age_s / self._half_life_s)
        known = self.total
        if known < 1.0:
            return fade
        moved = _compute_distance(self._loads, known, added, choices)
        moved -= NOISE_FACTOR * math.sqrt(len(added) * (1.0 / choices + 1.0 / known))
        shifted = (moved - SHIFT_DISTANCE_MIN) / (SHIFT_DISTANCE - SHIFT_DISTANCE_MIN)
        self.is_moving = shifted > 0.0
        return fade * min(1.0, max(SHIFTED_WEIGHT, 1.0 - shifted))


def _compute_distance(
    known: list[float], known_total: float, added: list[float], choices: float
) -> float:
    """Computes which fraction of the choices moved to other experts."""
    return 0.5 * sum(
        abs(before / known_total - after / choices)
        for before, after in zip(known, added, strict=True)
    )

"""Estimates expert loads and rank speeds from reports that may be late or lost."""

import collections
import dataclasses
import math

from lycheegauge.internal.protocol import expertmaps

MIN_SPEED = 0.05  # of the usual speed; avoids division by zero for a stalled rank


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How reports are averaged.

    Attributes:
        time_constant_s: Time constant of the exponentially decaying mean, in seconds.
    """

    time_constant_s: float = 30.0


class LoadEstimator:
    """Estimates each expert's tokens per second over all ranks of a group.

    A report is a rate over its own ``seconds``, so a lost report only reduces the
    number of samples and does not lower the load. Duplicate and reordered reports are
    dropped by ``sequence``. All ranks of a layer share one mean: one per rank would be
    128 x 64 x 60 floats at the largest size.
    """

    def __init__(
        self, layers: int, experts: int, ranks: int, settings: LoadSettings
    ) -> None:
        self._settings = settings
        self._ranks = ranks
        self._layer_means = [_DecayingMeans(experts) for _ in range(layers)]
        self._sequences: dict[tuple[int, int], int] = {}

    def add_report(self, report: expertmaps.ExpertLoad, now: float) -> bool:
        """Adds a rank's report; returns whether it was used."""
        source = (report.rank, report.layer)
        if report.sequence <= self._sequences.get(source, -1) or report.seconds <= 0:
            return False
        self._sequences[source] = report.sequence
        rates = [tokens / report.seconds for tokens in report.tokens]
        self._layer_means[report.layer].add(rates, now, self._settings.time_constant_s)
        return True

    def reset_rank(self, rank: int) -> None:
        """Discards the sequence numbers of a replaced rank."""
        for source in [source for source in self._sequences if source[0] == rank]:
            del self._sequences[source]

    def get_loads(self, layer: int) -> tuple[float, ...]:
        """Returns each expert's tokens per second over all ranks."""
        return tuple(self._ranks * mean for mean in self._layer_means[layer].means)


class _DecayingMeans:
    """Exponentially decaying mean rate per rank of each expert of a layer."""

    def __init__(self, experts: int) -> None:
        self.means = [0.0] * experts
        self._updated_at = 0.0
        self._weight = 0.0

    def add(self, rates: list[float], now: float, time_constant_s: float) -> None:
        passed_s = max(now - self._updated_at, 0.0)
        self._weight = self._weight * math.exp(-passed_s / time_constant_s) + 1.0
        self._updated_at = now
        gain = 1.0 / self._weight
        self.means = [
            mean + gain * (rate - mean)
            for mean, rate in zip(self.means, rates, strict=True)
        ]


class SpeedEstimator:
    """Estimates each rank's speed from its processed tokens and the time taken.

    Uses the median of the last reports, so that a single stall of a rank does not make
    it appear slow and cause a new split.
    """

    def __init__(self, ranks: int, kept_reports: int = 9) -> None:
        self._speeds = [
            collections.deque[float](maxlen=kept_reports) for _ in range(ranks)
        ]

    def add_timing(self, rank: int, tokens: float, seconds: float) -> None:
        """Adds a measurement of how long a rank took for some tokens."""
        if tokens > 0.0 and seconds > 0.0:
            self._speeds[rank].append(tokens / seconds)

    def get_speeds(self) -> tuple[float, ...]:
        """Returns speeds relative to the median rank; 1 where a speed is unknown."""
        medians = [
            sorted(kept)[len(kept) // 2] if kept else 0.0 for kept in self._speeds
        ]
        known = sorted(speed for speed in medians if speed > 0.0)
        if not known:
            return (1.0,) * len(medians)
        usual = known[len(known) // 2]
        return tuple(
            max(speed / usual, MIN_SPEED) if speed > 0.0 else 1.0 for speed in medians
        )

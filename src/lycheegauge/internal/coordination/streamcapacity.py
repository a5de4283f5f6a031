"""Measures the passes of a lock-step group and derives how many streams it can serve.

All ranks of a group run each pass together, and a pass writes one event of every
stream. A pass with n streams takes ``base_s + stream_s * n``. Slots say nothing about
this time: pauses exceed their target long before all slots are in use.
"""

import collections
import copy
import dataclasses
import enum
import math
import statistics

from lycheegauge.internal.protocol import roster, routetables

CAPACITY_FRACTION = 0.85
"""Fraction of the smallest pause target that a pass takes at capacity. The rest covers
the variation between passes."""

GAP_WINDOW_S = 0.6
"""Gaps of this time, in seconds, give the measured pass time."""

PASS_AGE_MAX_S = 1.5
"""Age from which a host's own measurement counts as unknown, in seconds."""

REPORT_AGE_MAX_S = 0.7
SHARED_AGE_MAX_S = PASS_AGE_MAX_S - REPORT_AGE_MAX_S
"""A host's report may have the first age when the leader uses it, and the leader's
median the second when a host uses it, in seconds. Messages carry no ages."""

OWN_SAMPLES_MIN = 3
"""Samples from which a host prefers its own measurement to the median over hosts."""

RECOMPUTE_INTERVAL_S = 0.02
"""How often a median is computed anew, in seconds. A host with all streams of a large
group has some thousand gaps in the window."""

SAMPLES_MAX = 4096

USUAL_HALF_LIFE_S = 10.0
"""Half-life of the usual cost of a stream, in seconds; longer than ranks are slow."""

USUAL_STATED_MULTIPLE = 2.5
"""Assumed usual cost of a stream before one was measured, as a multiple of the stated
one: the most loaded rank of a group with a moderate expert map has about this load."""

PRIOR_STREAMS_FRACTION = 0.25
"""Streams per server for which the usual cost of a stream counts beside the measured
one. With few streams the variation of a pass is as large as what they add to it."""

MAP_STATED_MULTIPLE = 2.0
"""Cost of a stream, as a multiple of the stated one, from which long passes are put
down to the expert map."""


class PassMeter:
    """Measures the pass time of one service from the gaps between events."""

    def __init__(self) -> None:
        self._gaps: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=SAMPLES_MAX
        )
        self._median_s = 0.0
        self._samples = 0
        self._latest_at = -math.inf
        self._computed_at = -math.inf
        self._shared_s = 0.0
        self._shared_at = -math.inf

    def note_gap(self, gap_s: float, events: int, now: float) -> None:
        """Records a pause in a stream and how many events arrived after it.

        Events that arrive together were written in as many passes.
        """
        if gap_s <= 0.0 or events < 1:
            return
        self._gaps.append((now, gap_s / events))
        self._latest_at = now

    def set_shared(self, pass_s: float, now: float) -> None:
        """Records the median over all hosts, as the log's leader returned it."""
        self._shared_s, self._shared_at = pass_s, now

    def get_pass(self, now: float) -> float | None:
        """Returns the pass time in seconds; ``None`` if it is unknown."""
        return self._find_pass(now)[0]

    def get_age(self, now: float) -> float | None:
        """Returns the age of the pass time in seconds; ``None`` if it is unknown.

        That of the median over hosts counts from the leader's answer.
        """
        pass_s, measured_at = self._find_pass(now)
        return None if pass_s is None else now - measured_at

    def copy(self) -> "PassMeter":
        """Returns a copy that can be read without changing this one."""
        copied = copy.copy(self)
        copied._gaps = self._gaps.copy()
        return copied

    def _find_pass(self, now: float) -> tuple[float | None, float]:
        """Returns the pass time, and when it was measured, in seconds."""
        self._compute(now)
        has_own = now - self._latest_at <= PASS_AGE_MAX_S
        if has_own and self._samples >= OWN_SAMPLES_MIN:
            return self._median_s, self._latest_at
        if now - self._shared_at <= SHARED_AGE_MAX_S:
            return self._shared_s, self._shared_at
        return (self._median_s if has_own else None), self._latest_at

    def make_report(self, service: str, now: float) -> roster.ServicePass | None:
        """Creates this host's report; ``None`` without gaps in the window."""
        self._compute(now)
        if now - self._latest_at > GAP_WINDOW_S:
            return None
        return roster.ServicePass(service, self._median_s, self._samples)

    def _compute(self, now: float) -> None:
        is_current = now - self._computed_at < RECOMPUTE_INTERVAL_S
        if is_current and self._samples >= OWN_SAMPLES_MIN:
            return
        while self._gaps and self._gaps[0][0] < now - GAP_WINDOW_S:
            self._gaps.popleft()
        if self._gaps:
            self._median_s = statistics.median(pass_s for _, pass_s in self._gaps)
            self._samples = len(self._gaps)
            self._computed_at = now


class OpenHistory:
    """The streams that were open while the passes were measured.

    The measured pass time is older than the newest count. Dividing by that count would
    raise the capacity whenever streams increase and lower it whenever they decrease,
    which made both oscillate by a quarter with a period of 1.5 s.
    """

    def __init__(self) -> None:
        self._counts: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=SAMPLES_MAX
        )

    def note(self, streams: float, now: float) -> None:
        """Records how many streams are open now."""
        if self._counts and now - self._counts[-1][0] < RECOMPUTE_INTERVAL_S:
            return
        self._counts.append((now, streams))
        while len(self._counts) > 1 and self._counts[1][0] <= now - GAP_WINDOW_S:
            self._counts.popleft()

    def copy(self) -> "OpenHistory":
        """Returns a copy to which counts can be added."""
        copied = OpenHistory()
        copied._counts = self._counts.copy()
        return copied

    def get_mean(self, streams: float, now: float) -> float:
        """Returns the mean of the last window.

        Args:
            streams: How many streams are open now.
            now: Current time in seconds.
        """
        since = now - GAP_WINDOW_S
        total, until, latest = 0.0, now, streams
        for at, count in reversed(self._counts):
            if at >= until:
                continue
            # Counts of other hosts are some tenths of a second apart while few streams
            # are open; in between they change gradually.
            start = max(at, since)
            middle = count + (latest - count) * ((start + until) / 2 - at) / (
                until - at
            )
            total += middle * (until - start)
            until, latest = start, count
            if at <= since:
                break
        return (total + latest * (until - since)) / GAP_WINDOW_S


class Cause(enum.StrEnum):
    """What makes passes long."""

    STREAMS = "streams"
    MAP = "map"
    SLOW_RANKS = "slow ranks"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLoad:
    """What is known of a lock-step group.

    Attributes:
        servers: The number of its ranks.
        slots: Their slots; 0 if unknown.
        open_streams: Streams open at all hosts.
        mean_streams: The same while the pass time was measured.
        pass_s: The measured pass time in seconds; ``None`` if unknown.
        target_gap_s: The smallest pause target of its routes, in seconds.
    """

    servers: int
    slots: int
    open_streams: float
    mean_streams: float
    pass_s: float | None
    target_gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCapacity:
    """How many streams a group can serve.

    Attributes:
        limit: Streams that may be open at all hosts together.
        pass_s: The pass time, measured or modelled, in seconds.
        base_s: A pass without streams, in seconds.
        stream_s: What each stream adds to a pass, in seconds.
        cause: What makes passes long.
    """

    limit: float
    pass_s: float
    base_s: float
    stream_s: float
    cause: Cause

    @property
    def is_slow(self) -> bool:
        """Whether passes exceed the target even without streams."""
        return self.cause is Cause.SLOW_RANKS

    def predict_pass(self, streams: float) -> float:
        """Predicts the time of a pass with this number of streams, in seconds."""
        return self.base_s + self.stream_s * streams


class CapacityEstimator:
    """Estimates the capacity for streams of one service.

    Args:
        profile: What the operator states about its engines.
    """

    def __init__(self, profile: routetables.EngineProfile) -> None:
        self._profile = profile
        self._usual_s = 0.0
        self._learned_at = -math.inf

    def estimate(self, load: GroupLoad) -> StreamCapacity:
        """Estimates the capacity; changes nothing."""
        base_s = self._profile.steps_per_event * self._profile.step_s
        stated_s = self._get_stated_s(load.servers)
        highest_s = CAPACITY_FRACTION * load.target_gap_s
        streams = max(1.0, load.mean_streams)
        stream_s = stated_s
        pace = 1.0
        if load.pass_s is not None:
            usual_s = self._usual_s or USUAL_STATED_MULTIPLE * stated_s
            pace = load.pass_s / (base_s + usual_s * streams)
            prior = PRIOR_STREAMS_FRACTION * load.servers
            added_s = load.pass_s - base_s + prior * usual_s
            stream_s = max(stated_s, added_s / (streams + prior))
        if base_s * max(1.0, pace) >= highest_s:
            # With the usual cost of a stream, even a pass without streams is too long.
            usual_s = (self._usual_s or stated_s) * max(1.0, pace)
            base_s *= max(1.0, pace)
            return StreamCapacity(
                load.slots or math.inf,
                load.pass_s or base_s + usual_s * streams,
                base_s,
                usual_s,
                Cause.SLOW_RANKS,
            )
        limit = (highest_s - base_s) / stream_s
        if load.pass_s is None or load.pass_s <= highest_s:
            # With few streams most of a pass is reading prompts, which does not grow
            # with the streams; extrapolating it would hold back a group that is idle.
            limit = max(limit, load.servers)
        cause = Cause.STREAMS
        if stream_s >= MAP_STATED_MULTIPLE * stated_s:
            cause = Cause.MAP
        return StreamCapacity(
            max(1.0, min(limit, load.slots or math.inf)),
            load.pass_s or base_s + stream_s * load.open_streams,
            base_s,
            stream_s,
            cause,
        )

    def learn(self, load: GroupLoad, capacity: StreamCapacity, now: float) -> None:
        """Updates the usual cost of a stream with a measurement."""
        is_representative = load.mean_streams >= load.servers / 2
        if load.pass_s is None or capacity.is_slow or not is_representative:
            return
        if not self._usual_s:
            self._usual_s = capacity.stream_s
        elapsed_s = max(0.0, min(1.0, now - self._learned_at))
        weight = 1.0 - math.pow(0.5, elapsed_s / USUAL_HALF_LIFE_S)
        self._usual_s += weight * (capacity.stream_s - self._usual_s)
        self._learned_at = now

    def _get_stated_s(self, servers: int) -> float:
        """Returns what a stream adds to a pass at least, in seconds."""
        profile = self._profile
        added_s = profile.steps_per_event * profile.stream_step_s / max(1, servers)
        # A profile without the cost of a stream must not give an infinite capacity.
        return max(added_s, 1e-6)

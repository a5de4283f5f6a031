"""Decides whether a stream starts now, waits at its entry host or is refused.

The decision is a function of its arguments, so that a command can explain it without
changing a queue, a counter or a random state.

Hosts know the streams of the others only from news that is some tens of ms old. So a
host has a guaranteed part of the capacity, and may use a part of what is free
everywhere beside it, so that all hosts together don't overshoot on the same old news.
Streams of less urgent levels leave some capacity free for more urgent ones (trunk
reservation), which costs less than ending streams that have begun.
"""

import dataclasses
import enum
import math
import random

from lycheegauge.internal.coordination import streamcapacity
from lycheegauge.internal.protocol import controlcalls, routetables

HEADROOM_S = 0.1
"""Time for which the arrivals of more urgent levels find a free place, in seconds."""

HEADROOM_MAX_FRACTION = 0.2
"""Largest part of the capacity that a level leaves free for more urgent ones."""

URGENT_OVERSHOOT = 0.02
"""Part of the capacity by which the most urgent of several levels may exceed it. On 44
hosts the count of all streams is wrong by more than the headroom, and passes still meet
the target."""

MIN_SHARE = 0.1
"""Fraction of a host's starts that a level gets at least while its requests wait."""

PATIENCE_FRACTION = 0.75
"""Part of a caller's patience before its first event that waiting may use."""

PATIENCE_MIN_S = 2.0
PATIENCE_FIRST_TARGETS = 4.0
PATIENCE_GAP_TARGETS = 8.0
"""Callers leave after the longest of a time in seconds, this multiple of the target to
the first event and that of the target between events."""

FIRST_EVENT_PASSES = 2.0
"""Passes until the first event: one that is under way, and the request's own."""

DEFAULT_EVENTS = 20.0
"""Assumed events of a stream if neither its caller nor the operator states a length."""

RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_FRACTION = 1.0 / 3.0
"""Callers retry after at most this part of the time that they have left."""

SLOW_RETRY_AFTER_S = 1.5
"""Expected time until slow ranks have recovered, in seconds. They are slow for some
seconds, and a caller has to come back early enough to be served."""

UNLEASED_WAIT_S = 0.5
"""Expected wait at a host without a lease or a stream that can end, in seconds. A new
lease comes with one of the next pulls."""

RATE_MEMORY_S = 3.0
"""Time over which arrivals are averaged, in seconds."""


class Verdict(enum.StrEnum):
    """What happens to a request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class Cause(enum.StrEnum):
    """Why a request does not start now."""

    NONE = ""
    NO_CAPACITY = "no capacity"
    SLOW_RANKS = "slow ranks"
    QUEUE_FULL = "queue full"
    WAITED = "waited too long"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The expected work of a request, in prompt tokens and events."""

    prompt_tokens: float
    events: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostLoad:
    """What a host knows when it decides.

    Attributes:
        capacity: The capacity of the group.
        own: This host's open streams.
        others: Those of all other hosts.
        fraction: This host's fraction of all limits; 0 without a lease.
        extra: Streams beyond its guaranteed part that it may start now.
        extra_per_s: Expected number of those per second.
        replaceable: Streams that ended since the lease did.
        headroom: Streams that the request's level leaves free; negative if it may use
            more than the capacity.
        growth: Streams that arrivals of the request's level and more urgent ones add at
            all hosts before this host hears of it, beyond those that end meanwhile.
        ahead: Waiting requests that start before this one.
        urgent_per_s: Arrivals of more urgent levels at this host per second.
        mean_events: The events of a usual stream.
    """

    capacity: streamcapacity.StreamCapacity
    own: int
    others: float
    fraction: float
    extra: float
    extra_per_s: float
    replaceable: int
    headroom: float
    growth: float
    ahead: int
    urgent_per_s: float
    mean_events: float

    @property
    def free(self) -> float:
        """The streams that may still be opened at all hosts together."""
        return self.capacity.limit - self.own - self.others

    @property
    def guaranteed(self) -> int:
        """The streams that this host may have open whatever the others do."""
        if not math.isfinite(self.capacity.limit):
            return self.own + 1
        return max(1, math.floor(self.capacity.limit * self.fraction))

    def count_places(
        self, ignores_headroom: bool = False, is_new: bool = False
    ) -> float:
        """Counts the streams that a request's level may start here now.

        Args:
            ignores_headroom: Whether nothing is left free for more urgent levels.
            is_new: Whether the request has only just arrived. Such requests start as
                long as the free capacity covers all that arrive anywhere until the
                next update; requests that wait at all hosts could overshoot it.
        """
        if self.fraction <= 0.0:
            return self.replaceable
        reserved = 0.0 if ignores_headroom else self.headroom
        if reserved > 0.0 and self.free < 1.0 + reserved:
            return 0.0
        places = max(self.guaranteed - self.own, min(self.extra, self.free))
        if is_new and self.free >= 1.0 + reserved + self.growth:
            return max(1.0, places)
        return places


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLoad:
    """What a host knows of a request when it decides.

    Attributes:
        work: Its expected work.
        left_s: Time to its deadline, in seconds.
        waited_s: Time since its arrival, in seconds.
        target_first_s: The target to the first event, in seconds.
        target_gap_s: The target between two events, in seconds.
    """

    work: Work
    left_s: float
    waited_s: float
    target_first_s: float
    target_gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a request.

    Attributes:
        verdict: What happens to it.
        cause: Why it does not start now.
        wait_max_s: How long it may wait, in seconds.
        expected_s: Expected time until it can start, in seconds.
    """

    verdict: Verdict
    cause: Cause = Cause.NONE
    wait_max_s: float = 0.0
    expected_s: float = 0.0


def estimate_work(
    size: controlcalls.RequestSize | None, profile: routetables.EngineProfile
) -> Work:
    """Estimates a request's work from its stated size, else from the usual ones."""
    tokens_per_event = max(1, profile.steps_per_event)
    mean_events = get_mean_events(profile)
    if size is None:
        return Work(profile.mean_prompt_tokens, mean_events)
    events = mean_events
    if size.answer_tokens_hint is not None:
        events = size.answer_tokens_hint / tokens_per_event
    if size.answer_tokens_max > 0:
        events = min(events, size.answer_tokens_max / tokens_per_event)
    return Work(size.prompt_tokens, max(1.0, events))


def get_mean_events(profile: routetables.EngineProfile) -> float:
    """Returns the events of a usual stream."""
    if not profile.mean_answer_tokens:
        return DEFAULT_EVENTS
    return profile.mean_answer_tokens / max(1, profile.steps_per_event)


def decide(
    host: HostLoad,
    request: RequestLoad,
    profile: routetables.EngineProfile,
    wait_max_s: float,
) -> Decision:
    """Decides whether a request starts now, waits or is refused.

    Args:
        host: What the host knows.
        request: What it knows of the request.
        profile: The engines of the request's service.
        wait_max_s: The longest wait of any request, in seconds.
    """
    capacity, open_streams = host.capacity, host.own + host.others
    pass_s = capacity.predict_pass(min(open_streams + 1, capacity.limit))
    if not can_finish(capacity, open_streams, request.work, request.left_s):
        return Decision(Verdict.REFUSE, Cause.SLOW_RANKS, 0.0, SLOW_RETRY_AFTER_S)
    if not host.ahead and host.count_places(is_new=True) >= 1.0:
        return Decision(Verdict.START)
    wait_max_s = min(wait_max_s, limit_wait(request, pass_s, profile))
    expected_s = estimate_wait(host)
    is_too_late = wait_max_s <= 0.0 or expected_s > wait_max_s
    return Decision(
        Verdict.REFUSE if is_too_late else Verdict.WAIT,
        Cause.NO_CAPACITY,
        max(0.0, wait_max_s),
        expected_s,
    )


def can_finish(
    capacity: streamcapacity.StreamCapacity,
    open_streams: float,
    expected: Work,
    left_s: float,
) -> bool:
    """Tells whether a stream that starts now is expected to end before its deadline.

    Only slow ranks are taken into account; otherwise the capacity ensures it.
    """
    if not capacity.is_slow:
        return True
    streams = min(open_streams + 1, capacity.limit)
    return expected.events * capacity.predict_pass(streams) <= left_s


def limit_wait(
    request: RequestLoad, pass_s: float, profile: routetables.EngineProfile
) -> float:
    """Returns how long a request may wait, in seconds; not positive for not at all.

    After it, the answer would end after its deadline, or the caller would leave before
    its first event.
    """
    first_s = FIRST_EVENT_PASSES * pass_s
    if profile.prompt_tokens_per_s:
        first_s += request.work.prompt_tokens / profile.prompt_tokens_per_s
    duration_s = first_s + request.work.events * pass_s
    patience_s = max(
        PATIENCE_MIN_S,
        PATIENCE_FIRST_TARGETS * request.target_first_s,
        PATIENCE_GAP_TARGETS * request.target_gap_s,
    )
    return min(
        request.left_s - duration_s,
        PATIENCE_FRACTION * patience_s - first_s - request.waited_s,
    )


def estimate_wait(host: HostLoad) -> float:
    """Estimates the time until a new request of a level can start, in seconds.

    Places here come free as this host's streams end, and as the other hosts leave
    some. Requests of more urgent levels that arrive meanwhile go ahead, apart from the
    level's least share.
    """
    pass_s = host.capacity.predict_pass(
        min(host.capacity.limit, max(1.0, host.own + host.others))
    )
    held = max(host.own, host.guaranteed if host.fraction > 0.0 else 0)
    starts_per_s = held / max(1e-3, host.mean_events * pass_s) + host.extra_per_s
    left_per_s = max(MIN_SHARE * starts_per_s, starts_per_s - host.urgent_per_s)
    return (host.ahead + 1) / left_per_s if left_per_s > 0.0 else UNLEASED_WAIT_S


def compute_retry_after(
    expected_s: float, left_s: float, random_source: random.Random
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Callers that are refused together are spread over half the time.
    """
    wanted_s = max(RETRY_AFTER_MIN_S, expected_s) * random_source.uniform(1.0, 1.5)
    return max(0.0, min(wanted_s, RETRY_AFTER_MAX_FRACTION * left_s))


class ArrivalRates:
    """Averages the arrivals of each level at one host.

    Args:
        levels: The number of levels.
    """

    def __init__(self, levels: int) -> None:
        self._rates = [0.0] * levels
        self._at = -math.inf

    def note_arrival(self, level: int, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self._rates[level] += 1.0 / RATE_MEMORY_S

    def get_more_urgent(self, level: int, now: float) -> float:
        """Returns the arrivals per second of all levels that are more urgent."""
        self._decay(now)
        return sum(self._rates[:level])

    def get_up_to(self, level: int, now: float) -> float:
        """Returns the arrivals per second of a level and all more urgent ones."""
        return self.get_more_urgent(level + 1, now)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / RATE_MEMORY_S)
        self._rates = [rate * factor for rate in self._rates]
        self._at = now


def compute_headroom(
    level: int, levels: int, urgent_per_s: float, fraction: float, limit: float
) -> float:
    """Returns the streams that a level leaves free for more urgent ones.

    Args:
        level: The level; 0 is the most urgent.
        levels: The number of levels.
        urgent_per_s: Arrivals of more urgent levels at this host per second.
        fraction: This host's fraction of all limits, which follows its requests.
        limit: The capacity.
    """
    if not level and levels > 1:
        return -URGENT_OVERSHOOT * limit
    if not level or fraction <= 0.0:
        return 0.0
    reserve = max(1.0, urgent_per_s / fraction * HEADROOM_S)
    # A part of a stream would keep the only place of a small group free for ever.
    return math.floor(min(level * reserve, HEADROOM_MAX_FRACTION * limit))


def compute_growth(
    host_per_s: float,
    fraction: float,
    open_streams: float,
    duration_s: float,
    interval_s: float,
) -> float:
    """Returns how many more streams start than end between two load updates.

    Args:
        host_per_s: Arrivals at this host per second.
        fraction: This host's fraction of all limits, which follows its requests.
        open_streams: Streams open at all hosts.
        duration_s: The usual duration of a stream, in seconds.
        interval_s: The time between two updates, in seconds.
    """
    if fraction <= 0.0:
        return 0.0
    ends_per_s = open_streams / max(1e-3, duration_s)
    return max(0.0, host_per_s / fraction - ends_per_s) * interval_s


class ExtraAllowance:
    """Streams that a host may start beyond its guaranteed part.

    In each interval between two load updates a host may use its fraction of what is
    free at all hosts. A part of a stream is rounded at random, since with many hosts it
    is usually less than one; while requests wait, the parts add up instead.

    Args:
        random_source: Rounds parts of a stream.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._left = 0.0
        self._per_s = 0.0
        self._renewed_at = -math.inf
        self._interval_s = 0.0

    @property
    def left(self) -> float:
        """The streams that may be started in this interval."""
        return self._left

    @property
    def per_s(self) -> float:
        """The expected number of streams per second."""
        return self._per_s

    @property
    def renews_at(self) -> float:
        """When the next interval begins, in seconds."""
        return self._renewed_at + self._interval_s

    def renew(
        self,
        fraction: float,
        free: float,
        interval_s: float,
        is_waiting: bool,
        now: float,
    ) -> None:
        """Begins the next interval if it is due."""
        if now < self._renewed_at + interval_s:
            return
        part = fraction * max(0.0, free) if fraction > 0.0 else 0.0
        saved = min(1.0, self._left) if is_waiting else self._random_source.random()
        # Parts that all hosts saved while nothing is free would be used at once later.
        self._left = saved + part if part > 0.0 else 0.0
        self._per_s = part / interval_s
        self._renewed_at, self._interval_s = now, interval_s

    def note_end(self) -> None:
        """Allows a stream in the place of one that ended here, if there is capacity."""
        self._left = max(1.0, self._left)

    def take(self) -> None:
        """Uses one stream."""
        self._left = max(0.0, self._left - 1.0)

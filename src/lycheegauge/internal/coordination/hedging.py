"""Decides when a late request is sent a second time, and to which servers.

A request whose answer takes longer than nearly all answers of its kind is probably at a
server that is slow or stuck, so a copy elsewhere is answered sooner. Copies are work
that nobody asked for: they are limited to a fraction of the requests, and none is sent
while servers are busy, so hedging ends before it feeds an overload (Dean and Barroso,
The Tail at Scale, 2013).
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics

from lycheegauge.internal.coordination import hostshares, serverselection

TIMES_S = 10.0
"""Age up to which the times of answers count, in seconds."""

TIMES_MIN = 20
"""Answers below which it is not known what a late one is."""

TIMES_MAX = 400
"""Times kept for each kind of request, which bounds memory and sorting."""

LATE_FRACTION = 0.95
"""An answer is late if this fraction of the others took less time."""

THRESHOLD_AGE_S = 0.25
"""How long a computed threshold is used, in seconds."""

WINDOW_S = 10.0
"""Window of the limit on copies, in seconds."""

USED_FRACTION = 0.85
"""Part of the limit that hosts use. Demand can move between hosts a little faster than
their shares; without this reserve the copies reached 1.07 of the limit in the test."""

BUSY_MAX = 0.7
"""Busy fraction of a service's slots above which no copy is sent."""

SIZE_CLASS_BITS = 2
"""Sizes within a class differ by a factor of up to two to the power of this. Narrower
classes would rarely reach ``TIMES_MIN`` answers at one of several tens of hosts."""

GROUP_OUTPUT_S = 0.3
"""A lock-step group is slow if its other servers sent nothing for this time, in
seconds. It covers several passes."""

PASS_WINDOW_S = 0.6
"""Window of the pauses that show how long a group's passes take, in seconds."""


class Reason(enum.StrEnum):
    """Why a late request is not sent a second time."""

    NOT_REPEATABLE = "not_repeatable"
    STARTED = "started"
    NO_ATTEMPT_LEFT = "no_attempt_left"
    SUSPECTED_OF_CRASH = "suspected_of_crash"
    WAITING = "requests_wait"
    BUSY = "busy"
    GROUP_SLOW = "group_slow"
    NO_SERVER = "no_server"
    LIMIT = "limit"
    RETRY_BUDGET = "retry_budget"


Kind = tuple[str, int]
"""A route's name and a size class."""


def classify_size(size: int) -> int:
    """Returns the class of a size, in tokens or bytes; 0 if it is not known."""
    return (max(0, size).bit_length() + SIZE_CLASS_BITS - 1) // SIZE_CLASS_BITS


class AnswerTimes:
    """How long the requests of each kind waited for their first answer."""

    def __init__(self) -> None:
        self._times: dict[Kind, collections.deque[tuple[float, float]]] = {}
        self._thresholds: dict[Kind, tuple[float, float | None]] = {}

    def note_answer(self, kind: Kind, waited_s: float, now: float) -> None:
        """Records an answer.

        Args:
            kind: The request's route and size class.
            waited_s: Time from the first send to the whole answer, or for a stream to
                its first event, in seconds.
            now: Current time in seconds.
        """
        times = self._times.setdefault(kind, collections.deque(maxlen=TIMES_MAX))
        times.append((now, waited_s))

    def get_late_after(self, kind: Kind, now: float) -> float | None:
        """Returns after how many seconds an answer is late; ``None`` if not known."""
        computed_at, threshold = self._thresholds.get(kind, (-math.inf, None))
        if now - computed_at >= THRESHOLD_AGE_S:
            threshold = self._compute_threshold(kind, now)
            self._thresholds[kind] = (now, threshold)
        return threshold

    def drop_old(self, now: float) -> None:
        """Drops kinds without recent answers."""
        for kind, times in list(self._times.items()):
            if times[-1][0] <= now - TIMES_S:
                del self._times[kind]
                self._thresholds.pop(kind, None)

    def _compute_threshold(self, kind: Kind, now: float) -> float | None:
        times = self._times.get(kind, collections.deque())
        while times and times[0][0] <= now - TIMES_S:
            times.popleft()
        if len(times) < TIMES_MIN:
            return None
        waited = sorted(waited_s for _, waited_s in times)
        return waited[min(len(waited) - 1, math.ceil(LATE_FRACTION * len(waited)) - 1)]


class HedgeLimit:
    """Limits one host's copies for one service to a fraction of its own requests.

    Whenever a copy is sent, the host's copies of the last window are at most the
    fraction of its requests in the same window. While hosts restart or join, or demand
    moves between them, requests that one host used for its copies may be followed by as
    many at another. Only the part of the host's share that it held in the whole window
    therefore counts: what others may have used was never part of that.

    Args:
        share: This host's fraction of the limits of all hosts.
    """

    def __init__(self, share: hostshares.HostShareHolder) -> None:
        self._share = share
        self._requests: collections.deque[float] = collections.deque()
        self._copies: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request of a caller."""
        _drop_before(self._requests, now - WINDOW_S)
        self._requests.append(now)

    def has_left(self, fraction: float, now: float) -> bool:
        """Tells whether another copy may be sent now."""
        _drop_before(self._requests, now - WINDOW_S)
        _drop_before(self._copies, now - WINDOW_S)
        held = self._share.get_fraction(now)
        if held <= 0.0:
            return False
        steady = self._share.get_lowest_fraction(now - WINDOW_S, now) / held
        allowed = USED_FRACTION * fraction * len(self._requests) * steady
        return len(self._copies) + 1 <= allowed

    def spend(self, now: float) -> None:
        """Counts a copy."""
        self._copies.append(now)


@dataclasses.dataclass(frozen=True, slots=True)
class LateRequest:
    """What decides whether a late request may be sent a second time.

    Attributes:
        is_idempotent: Whether it may run more than once.
        is_started: Whether its caller has got a part of an answer.
        has_attempt_left: Whether its route allows another attempt.
        is_suspect: Whether it may have crashed a server.
        is_waiting: Whether requests of its service wait for a start at this host.
        is_group: Whether its service's servers run in lock step.
        group_silent_s: Time since another server of the service sent anything.
        pass_s: How long a pass of the service takes; 0 if not known.
        target_gap_s: The target for pauses between events; 0 if there is none.
    """

    is_idempotent: bool
    is_started: bool
    has_attempt_left: bool
    is_suspect: bool
    is_waiting: bool
    is_group: bool
    group_silent_s: float
    pass_s: float
    target_gap_s: float


def check_request(request: LateRequest) -> Reason | None:
    """Returns why a request is not sent a second time, whatever the servers are."""
    if not request.is_idempotent:
        return Reason.NOT_REPEATABLE
    if request.is_started:
        return Reason.STARTED
    if not request.has_attempt_left:
        return Reason.NO_ATTEMPT_LEFT
    if request.is_suspect:
        return Reason.SUSPECTED_OF_CRASH
    if request.is_waiting:
        return Reason.WAITING
    if request.is_group and _is_group_slow(request):
        return Reason.GROUP_SLOW
    return None


def _is_group_slow(request: LateRequest) -> bool:
    """Tells whether all servers of a lock-step group are slow: a copy gains nothing."""
    if request.group_silent_s > GROUP_OUTPUT_S:
        return True
    return 0.0 < request.target_gap_s < request.pass_s


def list_eligible(
    candidates: collections.abc.Sequence[serverselection.Candidate], slots: int
) -> list[serverselection.Candidate] | Reason:
    """Lists the servers that a copy may be sent to, or returns why there are none.

    Args:
        candidates: All servers of the service.
        slots: The slots of a server that did not announce its own.
    """
    total = sum(max(1, item.server.slots or slots) for item in candidates)
    busy = sum(max(1, item.server.slots or slots) * item.busy for item in candidates)
    if busy > BUSY_MAX * total:
        return Reason.BUSY
    eligible = [item for item in candidates if _is_eligible(item)]
    return eligible or Reason.NO_SERVER


def _is_eligible(candidate: serverselection.Candidate) -> bool:
    is_excluded = (
        candidate.is_leaving
        or candidate.server.leaving
        or candidate.server.silent
        or not candidate.may_send
        or not candidate.has_connection
        or candidate.limit_interval_s > 0.0
        or candidate.is_tried
        or candidate.is_cold
        or candidate.has_failed
        or candidate.is_out
        or not (candidate.can_hold and candidate.has_room)
    )
    return not is_excluded and candidate.busy < 1.0


class PassTimes:
    """The usual pause between parts of each service's streams: one pass each."""

    def __init__(self) -> None:
        self._gaps: dict[str, collections.deque[tuple[float, float]]] = {}

    def note_gap(self, service: str, gap_s: float, now: float) -> None:
        """Records a pause in a stream."""
        gaps = self._gaps.setdefault(service, collections.deque(maxlen=TIMES_MAX))
        gaps.append((now, gap_s))

    def get_pass_s(self, service: str, now: float) -> float:
        """Returns the median of the recent pauses, in seconds; 0 without any."""
        gaps = self._gaps.get(service, ())
        recent = [gap_s for at, gap_s in gaps if at > now - PASS_WINDOW_S]
        return statistics.median(recent) if recent else 0.0


class Hedging:
    """One host's knowledge for second copies, and its limits on them.

    Attributes:
        extra_fraction: Copies as a fraction of a service's requests; 0 turns hedging
            off. It may change at any time.
        has_waiting: Tells whether requests for a service wait for a start at this host.

    Args:
        extra_fraction: The initial fraction.
        share: This host's fraction of the limits of all hosts.
    """

    def __init__(
        self, extra_fraction: float, share: hostshares.HostShareHolder
    ) -> None:
        self.extra_fraction = extra_fraction
        self.times = AnswerTimes()
        self.passes = PassTimes()
        self.has_waiting: collections.abc.Callable[[str], bool] = _has_none_waiting
        self._share = share
        self._limits: dict[str, HedgeLimit] = {}

    @property
    def is_active(self) -> bool:
        """Whether copies may be sent at all."""
        return self.extra_fraction > 0.0

    def note_request(self, service: str, now: float) -> None:
        """Counts a request of a caller, also while hedging is off: it may be set on."""
        self._get_limit(service).note_request(now)

    def has_left(self, service: str, now: float) -> bool:
        """Tells whether the limit allows another copy for a service."""
        limit = self._get_limit(service)
        return self.is_active and limit.has_left(self.extra_fraction, now)

    def spend(self, service: str, now: float) -> None:
        """Counts a copy that is sent."""
        self._get_limit(service).spend(now)

    def _get_limit(self, service: str) -> HedgeLimit:
        return self._limits.setdefault(service, HedgeLimit(self._share))


def _has_none_waiting(service: str) -> bool:
    """Default for ``has_waiting``, used while no request waits at the host."""
    return False


def _drop_before(times: collections.deque[float], since: float) -> None:
    while times and times[0] <= since:
        times.popleft()

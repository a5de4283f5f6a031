"""The requests of one service that wait at an entry host for capacity.

Each level has its own queues, so that an urgent request never waits behind one that can
wait, whatever their organisations. Within a level organisations are served by weight
and then by deadline; requests that return after a refusal go ahead of new ones.

A request that has waited for so long that its first event will be late goes behind
those of its level that can still be in time: after a burst all requests would otherwise
wait for their turn and be late, although there is capacity for all new ones.
"""

import collections
import collections.abc
import dataclasses
import math

from returns import result

from lycheegauge.internal.coordination import queueing, streamadmission
from lycheegauge.internal.protocol import work

BODY_BYTES_MAX = 8_388_608
"""Bodies of waiting requests that a host holds, in bytes; two of the largest size."""

QUEUE_SLACK_S = 60.0
"""Added to the deadlines in the queues, in seconds, which keeps their order. The queues
would otherwise refuse by their own forecast, which does not know the capacity."""

NO_ORGANISATION = "-"
"""The queues need a name for the requests of routes that are open to all."""

STARTS_PER_SHARE = round(1.0 / streamadmission.MIN_SHARE)
"""A level whose requests wait gets one of this many starts at least."""

ON_TIME_FRACTION = 0.5
"""Part of its target to the first event that a request may wait and still be in time;
the rest is for reading its prompt and its first pass."""

LARGE_FRACTION = 0.9
RECENT_WORKS = 100
RECENT_WORKS_MIN = 20
"""A request is large if its work is above this quantile of its route's last ones."""

LARGE_TARGETS = 4.0
"""Targets to the first event after which a large request is not passed over."""

RETURN_MEMORY_S = 5.0
RETURNS_MAX = 1024
"""How long a refused request is known, in seconds, and how many of them."""


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """A request that passes admission, and its state there.

    Attributes:
        number: Identifies it at this host.
        route: The name of its route.
        organisation: The organisation that sent it; empty if unknown.
        priority: Its priority; a lower one is more urgent.
        level: The rank of its priority among those of its service, from 0.
        work: Its expected work.
        target_first_s: The target to its first event, in seconds.
        target_gap_s: The target between its events, in seconds.
        arrived_at: When it arrived, in seconds.
        deadline: When its caller stops waiting, in seconds.
        body_bytes: The size of its body.
        identify: Returns what identifies it when it is sent again.
        waits_until: When it is refused if it still waits, in seconds.
        queued_at: When it began to wait, in seconds.
        is_waiting: Whether it waits.
        is_open: Whether it has started and not ended.
        is_large: Whether its work is large for its route.
        has_returned: Whether it was refused before and came back.
    """

    number: int
    route: str
    organisation: str
    priority: int
    work: streamadmission.Work
    target_first_s: float
    target_gap_s: float
    arrived_at: float
    deadline: float
    body_bytes: int
    identify: collections.abc.Callable[[], str]
    level: int = 0
    waits_until: float = math.inf
    queued_at: float = math.inf
    is_waiting: bool = False
    is_open: bool = False
    is_large: bool = False
    has_returned: bool = False

    def is_late(self, now: float) -> bool:
        """Tells whether it goes behind requests that can still be in time."""
        late_from = self.arrived_at + ON_TIME_FRACTION * self.target_first_s
        return now >= late_from and not self.has_returned


class _Level:
    """The queues of one level, and how often it was passed over."""

    def __init__(self, length: int) -> None:
        # The wait is bounded by the admission, so the queues assume no service time.
        self.returned = queueing.FairQueue(length, 0.0)
        self.new = queueing.FairQueue(length, 0.0)
        self.late = queueing.FairQueue(length, 0.0)
        self.passed_over = 0

    def __len__(self) -> int:
        return len(self.returned) + len(self.new) + len(self.late)


class WaitingStreams:
    """The waiting requests of all levels.

    Args:
        levels: The number of levels.
        length: The most requests that wait.
    """

    def __init__(self, levels: int, length: int) -> None:
        self._levels = [_Level(length) for _ in range(levels)]
        self._length = length
        self._streams: dict[int, Stream] = {}
        self._body_bytes = 0
        self._returns: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._works: dict[str, collections.deque[float]] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._streams)

    def __iter__(self) -> collections.abc.Iterator[Stream]:
        """Iterates over the waiting requests."""
        return iter(tuple(self._streams.values()))

    def count_ahead(self, level: int, now: float) -> int:
        """Counts the waiting requests that start before a new one of a level."""
        ahead = sum(len(item) for item in self._levels[: level + 1])
        if not ahead and self._streams:
            return int(self._find_due(now) is not None)
        return ahead

    def note_work(self, stream: Stream) -> None:
        """Records a request's work, and whether it is large for its route."""
        works = self._works.setdefault(
            stream.route, collections.deque(maxlen=RECENT_WORKS)
        )
        size = stream.work.prompt_tokens + stream.work.events
        if len(works) >= RECENT_WORKS_MIN:
            smaller = sum(other < size for other in works)
            stream.is_large = smaller >= LARGE_FRACTION * len(works)
        works.append(size)

    def has_room(self, stream: Stream) -> bool:
        """Tells whether a request could be queued now."""
        return self._list_displaced(stream) is not None

    def add(self, stream: Stream, now: float) -> tuple[bool, tuple[Stream, ...]]:
        """Queues a request.

        Returns:
            Whether it waits, and less urgent requests that no longer do because of it.
        """
        displaced = self._list_displaced(stream)
        if displaced is None:
            return False, ()
        for item in displaced:
            self.remove(item)
        level = self._levels[stream.level]
        stream.has_returned = self._has_returned(stream, now)
        queue = level.returned if stream.has_returned else level.new
        if not _enqueue(queue, stream, now):
            return False, displaced
        stream.is_waiting, stream.queued_at = True, now
        self._streams[stream.number] = stream
        self._body_bytes += stream.body_bytes
        return True, displaced

    def remove(self, stream: Stream) -> None:
        """Removes a request that no longer waits."""
        if self._streams.pop(stream.number, None) is None:
            return
        stream.is_waiting = False
        self._body_bytes -= stream.body_bytes
        level = self._levels[stream.level]
        name = str(stream.number)
        for queue in (level.returned, level.new, level.late):
            if queue.remove(name):
                break
        if not len(level):
            level.passed_over = 0

    def peek(self, now: float) -> tuple[Stream, bool] | None:
        """Returns the next request, and whether it may use the headroom.

        A level that was passed over for too long, and a large request that was, may:
        they would otherwise not start as long as more urgent ones keep arriving.
        """
        self._move_late(now)
        due = self._find_due(now)
        if due is not None:
            return due, True
        for level in self._levels:
            if len(level):
                return self._peek_level(level, now), False
        return None

    def take(self, stream: Stream, now: float) -> None:
        """Removes a request that starts."""
        level = self._levels[stream.level]
        for queue in (level.returned, level.new, level.late):
            request = queue.peek()
            if request is not None and request.request_id == str(stream.number):
                queue.dequeue(now)
                break
        self.remove(stream)
        self.note_start(stream.level)

    def note_start(self, level: int) -> None:
        """Counts a start, which passes over the waiting requests of other levels."""
        for number, other in enumerate(self._levels):
            if number == level or not len(other):
                other.passed_over = 0
            else:
                other.passed_over += 1

    def note_refused(self, stream: Stream, now: float) -> None:
        """Remembers a refused request, in case its caller sends it again."""
        fingerprint = stream.identify()
        self._returns.pop(fingerprint, None)
        self._returns[fingerprint] = now
        if len(self._returns) > RETURNS_MAX:
            self._returns.popitem(last=False)

    def _move_late(self, now: float) -> None:
        """Moves requests that can't be in time any more behind others."""
        for stream in self._streams.values():
            level = self._levels[stream.level]
            if stream.is_late(now) and level.new.remove(str(stream.number)):
                _enqueue(level.late, stream, now)

    def _has_returned(self, stream: Stream, now: float) -> bool:
        if not self._returns:
            return False
        refused_at = self._returns.pop(stream.identify(), -math.inf)
        return now - refused_at <= RETURN_MEMORY_S

    def _peek_level(self, level: _Level, now: float) -> Stream:
        request = level.returned.peek() or level.new.peek() or level.late.peek()
        assert request is not None
        return self._streams[int(request.request_id)]

    def _find_due(self, now: float) -> Stream | None:
        """Finds a request that must not be passed over again."""
        for level in self._levels:
            if len(level) and level.passed_over >= STARTS_PER_SHARE - 1:
                return self._peek_level(level, now)
        for stream in self._streams.values():
            waited_s = now - stream.queued_at
            if stream.is_large and waited_s > LARGE_TARGETS * stream.target_first_s:
                return stream
        return None

    def _list_displaced(self, stream: Stream) -> tuple[Stream, ...] | None:
        """Lists the less urgent requests that a new one displaces.

        Returns:
            ``None`` if there is no room for the new one.
        """
        if stream.body_bytes > BODY_BYTES_MAX:
            return None
        displaced: list[Stream] = []
        length = len(self._streams)
        body_bytes = self._body_bytes + stream.body_bytes
        others = sorted(
            self._streams.values(), key=lambda item: (item.level, item.deadline)
        )
        while length >= self._length or body_bytes > BODY_BYTES_MAX:
            last = others.pop()
            if last.level <= stream.level:
                return None
            displaced.append(last)
            length -= 1
            body_bytes -= last.body_bytes
        return tuple(displaced)


def _enqueue(queue: queueing.FairQueue, stream: Stream, now: float) -> bool:
    """Adds a request to a queue; returns whether there was room."""
    request = work.Request(
        str(stream.number),
        stream.organisation or NO_ORGANISATION,
        "",
        b"",
        "",
        QUEUE_SLACK_S + max(0.0, stream.deadline - now),
    )
    return not isinstance(queue.add(request, now), result.Failure)

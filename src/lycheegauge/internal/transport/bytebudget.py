"""Counts the bytes that a process holds for callers and servers, and bounds them.

Each request has a holder with its part of the count. A holder returns everything when
it is closed, and ignores what is set later: a count that leaks would in the end refuse
every request.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import fcntl
import socket
import struct
import termios
import typing

from lycheegauge.internal.transport import clock

CHECK_INTERVAL_S = 0.25
"""Interval at which waiting holders are checked for progress, in seconds."""

UPDATE_INTERVAL_S = 0.05
"""Progress is not measured more often, as each waiting request costs a system call."""

ENDED_AT_ONCE_MAX = 16
"""Requests ended in one check; more would delay others, as each writes a log line."""

UNSENT_IN_SYSTEM_BYTES = 65_536
"""How much unsent data the system buffers for each connection. Without it, the system
buffers megabytes, which no count of the process sees, and progress shows late."""


class Part(enum.IntEnum):
    """What the bytes of a holder are."""

    BODY = 0
    TO_SERVER = 1
    FROM_SERVER = 2
    BUFFERED = 3
    PENDING = 4
    TO_CALLER = 5


class Side(enum.StrEnum):
    """Whom a request waits for to take or send bytes."""

    BODY = "body"
    SERVER = "server"
    CALLER = "caller"


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """Why a request was ended.

    Attributes:
        side: Whom it waited for.
        held_bytes: The bytes that were held for it.
        still_s: Time since these last made progress, in seconds.
        ended_before: How many were ended before it since the process started.
    """

    side: Side
    held_bytes: int
    still_s: float
    ended_before: int


class Limits(typing.Protocol):
    """Decides by the number of bytes held; see ``coordination.memorylimits``."""

    @property
    def bound_bytes(self) -> int:
        """The limit over all connections."""

    def get_share(self, held_bytes: int) -> int:
        """Returns the present share of a connection."""

    def accepts_body(self, held_bytes: int, body_bytes: int, more_bytes: int) -> bool:
        """Tells whether a request body may be read."""

    def accepts_connection(self, held_bytes: int) -> bool:
        """Tells whether a newly accepted connection may be read."""

    def choose_ended(
        self,
        holdings: "collections.abc.Iterable[Holder]",
        held_bytes: int,
        now: float,
    ) -> "Holder | None":
        """Chooses the request that is ended next, if the bound requires it."""


class Holder:
    """The bytes held for one request.

    Attributes:
        held_bytes: The bytes held.
        progressed_at: When the side that is waited for last took or sent bytes.
        is_closed: Whether everything was returned.
        end: Called if the request is ended because of the bound.
    """

    def __init__(self, budget: "ByteBudget") -> None:
        self.budget = budget
        self.held_bytes = 0
        self.progressed_at = clock.read_clock()
        self.is_closed = False
        self.end: collections.abc.Callable[[Ending], object] = lambda ending: None
        self._parts = [0] * len(Part)
        self._waits: dict[Side, collections.abc.Callable[[], int]] = {}
        self._measured: list[int] = []

    def set_bytes(self, part: Part, count: int) -> None:
        """Sets how many bytes of one kind are held; may end this or other requests."""
        more = count - self._parts[part]
        if not more:
            return
        if more > 0 and not self.is_closed:
            self.budget.make_room(self, more)
        if self.is_closed:
            return
        self._parts[part] = count
        self.held_bytes += more
        self.budget.note_change(more)

    def begin_wait(
        self, side: Side, measure: collections.abc.Callable[[], int]
    ) -> None:
        """Notes that bytes wait for a side; it is ended if it stalls for long.

        Args:
            side: Whom the bytes wait for.
            measure: Returns a number that grows with each byte that the side moves.
        """
        if side in self._waits or self.is_closed:
            return
        self._waits[side] = measure
        self.progressed_at = clock.read_clock()
        self._measured = [measure() for measure in self._waits.values()]
        self.budget.add_waiting(self)

    def end_wait(self, side: Side) -> None:
        """Notes that no bytes wait for a side any longer."""
        if self._waits.pop(side, None) is not None and not self._waits:
            self.budget.remove_waiting(self)

    def update_progress(self, now: float) -> None:
        """Checks whether a side that is waited for has moved bytes."""
        measured = [measure() for measure in self._waits.values()]
        if measured != self._measured:
            self._measured, self.progressed_at = measured, now

    @property
    def side(self) -> Side:
        """Whom the request waits for; the caller, if for several."""
        return max(self._waits, key=list(Side).index, default=Side.CALLER)

    def close(self) -> None:
        """Returns all bytes."""
        if self.is_closed:
            return
        self.is_closed = True
        self._waits.clear()
        self.budget.remove_waiting(self)
        held_bytes, self.held_bytes = self.held_bytes, 0
        self.budget.note_change(-held_bytes)


class ByteBudget:
    """The bytes held by a process, and the requests that wait for slow peers.

    Args:
        limits: Decides what gives way.

    Attributes:
        held_bytes: The bytes held.
        peak_bytes: The most that were held at any time.
        ended_count: How many requests were ended because of the bound.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.peak_bytes = 0
        self.ended_count = 0
        self._waiting: dict[Holder, None] = {}
        self._updated_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._call_when_free: list[collections.abc.Callable[[], object]] = []

    @property
    def share_bytes(self) -> int:
        """The present share of a connection, in bytes."""
        return self.limits.get_share(self.held_bytes)

    @property
    def waiting_count(self) -> int:
        """How many requests wait for a caller or a server to move bytes."""
        return len(self._waiting)

    @property
    def accepts_connection(self) -> bool:
        """Whether a newly accepted connection may be read."""
        return self.limits.accepts_connection(self.held_bytes)

    def accepts_body(self, body_bytes: int, more_bytes: int) -> bool:
        """Tells whether a request body may be read on."""
        return self.limits.accepts_body(self.held_bytes, body_bytes, more_bytes)

    def call_when_free(self, callback: collections.abc.Callable[[], object]) -> None:
        """Calls ``callback`` once, as soon as new connections may be read."""
        self._call_when_free.append(callback)

    def make_room(self, holder: Holder, more_bytes: int) -> None:
        """Ends requests until more bytes fit under the bound.

        If no request is left that waits for a caller or a server, the one that needs
        the bytes is ended itself.
        """
        bound_bytes = self.limits.bound_bytes
        if self.held_bytes + more_bytes > bound_bytes:
            self._end_while_required(more_bytes)
            is_too_much = self.held_bytes + more_bytes > bound_bytes
            if is_too_much and not holder.is_closed:
                self._end(holder, clock.read_clock())

    def note_change(self, more_bytes: int) -> None:
        """Changes the count."""
        self.held_bytes += more_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        if self._call_when_free and more_bytes < 0:
            asyncio.get_running_loop().call_soon(self._call_if_free)

    def add_waiting(self, holder: Holder) -> None:
        """Adds a request that waits for a caller or a server."""
        self._waiting[holder] = None
        self._start_timer()

    def remove_waiting(self, holder: Holder) -> None:
        """Removes a request that waits no longer."""
        self._waiting.pop(holder, None)

    def end_stalled(self, stalled_s: float) -> None:
        """Ends requests without progress for some time, whatever is held.

        Not all at once; it is called again and again while a host stops.
        """
        now = clock.read_clock()
        self._update_progress(now)
        stalled = [
            holder
            for holder in self._waiting
            if now - holder.progressed_at >= stalled_s
        ]
        for holder in stalled[:ENDED_AT_ONCE_MAX]:
            self._end(holder, now)

    def close(self) -> None:
        """Stops checking for progress."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_while_required(self, more_bytes: int) -> None:
        now = clock.read_clock()
        self._update_progress(now)
        for _ in range(ENDED_AT_ONCE_MAX):
            held_bytes = self.held_bytes + more_bytes
            ended = self.limits.choose_ended(self._waiting, held_bytes, now)
            if ended is None:
                return
            self._end(ended, now)

    def _update_progress(self, now: float) -> None:
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        for holder in self._waiting:
            holder.update_progress(now)

    def _end(self, holder: Holder, now: float) -> None:
        still_s = now - holder.progressed_at
        ending = Ending(holder.side, holder.held_bytes, still_s, self.ended_count)
        self.ended_count += 1
        holder.close()
        holder.end(ending)

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        self._end_while_required(0)
        self._call_if_free()
        if self._waiting:
            self._start_timer()

    def _call_if_free(self) -> None:
        if self._call_when_free and self.accepts_connection:
            callbacks, self._call_when_free = self._call_when_free, []
            for callback in callbacks:
                callback()


def limit_system_buffer(connected: socket.socket) -> None:
    """Limits the unsent data that the system buffers for a connection."""
    option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
    if option is not None and connected.family in (socket.AF_INET, socket.AF_INET6):
        connected.setsockopt(socket.IPPROTO_TCP, option, UNSENT_IN_SYSTEM_BYTES)


def count_unacknowledged(connected: socket.socket) -> int:
    """Counts the bytes in the system's buffer that the peer has not acknowledged."""
    try:
        answer = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError):
        # The socket is closed.
        return 0
    count: int = struct.unpack("i", answer)[0]
    return count

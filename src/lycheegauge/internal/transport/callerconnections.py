"""What each open connection of a caller is doing, so that a stop cuts off none."""

import dataclasses
import enum
import socket

import tornado.http1connection
import tornado.iostream

from lycheegauge.internal.transport import clock


class Phase(enum.Enum):
    """What a caller's connection is doing."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


@dataclasses.dataclass(slots=True)
class _CallerConnection:
    """A connection that the HTTP server reads requests from.

    Attributes:
        request: The connection of the current request, or of the next one.
        phase: What it is doing.
        since: When that began, in seconds.
    """

    request: tornado.http1connection.HTTP1Connection
    phase: Phase
    since: float

    @property
    def has_unread(self) -> bool:
        """Whether part of a request has arrived that was not read yet."""
        stream = self.request.stream
        if stream.closed():
            return False
        if stream._read_buffer_size:
            return True
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(stream.socket.recv(1, flags))
        except OSError:
            return False


class CallerConnections:
    """The open connections of callers.

    Attributes:
        is_stopping: Whether each connection is closed after its next response.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self._connections: dict[object, _CallerConnection] = {}
        self._detached: set[tornado.iostream.IOStream] = set()

    def begin_request(
        self, key: object, request: tornado.http1connection.HTTP1Connection
    ) -> None:
        """Records that a connection waits for its next request."""
        now = clock.read_clock()
        self._connections[key] = _CallerConnection(request, Phase.IDLE, now)

    def set_phase(self, key: object, phase: Phase) -> None:
        """Records what a connection does from now on."""
        connection = self._connections.get(key)
        if connection is not None:
            connection.phase, connection.since = phase, clock.read_clock()

    def remove(self, key: object) -> None:
        """Removes a connection that is closed or detached."""
        self._connections.pop(key, None)

    def add_detached(self, stream: tornado.iostream.IOStream) -> None:
        """Adds a connection that the HTTP server gave up before its response."""
        self._detached = {item for item in self._detached if not item.closed()}
        self._detached.add(stream)

    @property
    def is_empty(self) -> bool:
        """Whether all connections are closed, also those without the HTTP server."""
        return not self._connections and all(item.closed() for item in self._detached)

    def close_idle(self, idle_s: float) -> None:
        """Closes connections that have had no byte of a request for some time."""
        before = clock.read_clock() - idle_s
        for connection in list(self._connections.values()):
            is_idle = connection.phase is Phase.IDLE and connection.since <= before
            if is_idle and not connection.has_unread:
                connection.request.close()

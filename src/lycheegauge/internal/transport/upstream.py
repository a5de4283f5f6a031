"""Persistent HTTP connections to backend servers.

tornado's client opens a new connection for each request, and could mistake an
extra response for the response to the next request. This module therefore keeps
the connections itself and parses with h11.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import itertools
import re
import socket
import typing

import h11

from lycheegauge import errors
from lycheegauge.internal.transport import bytebudget, clock, closedelimited, peers

CONNECT_TIMEOUT_S = 0.4
"""A lost SYN is only resent after seconds; trying another server is faster."""

TCP_USER_TIMEOUT_MS = 1500
"""A server that does not acknowledge sent data for this long is unreachable, in ms."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_MAX = 2
"""Silent connections are probed, since a network partition does not close them."""

DEFAULT_IDLE_S = 2.0
"""How long a connection is kept idle if its server advertises no timeout."""

IDLE_MARGIN_S = 1.0
"""Idle connections are closed this long before the server would close them."""

IDLE_MAX_S = 20.0
"""Upper limit on how long a connection is kept idle, in seconds."""

MAX_UNREAD_BYTES = 262_144
"""With more unread bytes of a response than this, reading from the server pauses."""

CARRIED_IDS_MAX = 256
"""Request ids that a connection remembers. It carries no more requests after that."""

INFORMATIONAL_RESPONSES_MAX = 8
"""Informational responses (status 1xx) accepted before the response to a request."""

STATUS_MAX = 599
"""The highest status of a response (RFC 9110, section 15); others are invalid."""

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,9})")


class Framing(enum.StrEnum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    NO_BODY = "no_body"
    CHUNKS = "chunks"
    LENGTH = "length"
    CONNECTION = "connection"


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response, with header names in lower case.

    Attributes:
        framing: What marks the end of the body. With ``Framing.CONNECTION`` a body
            that was broken off can look like a complete one.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    framing: Framing

    def get(self, name: str) -> str:
        """Returns a header's value, or an empty string."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key == lowered), "")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request to a backend server."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]


class UpstreamConnection(asyncio.Protocol):
    """One connection, which carries one request at a time.

    A faulty server may send an answer once more when the next request arrives. Only the
    request's id tells such a copy from the next answer, so a connection must not carry
    two requests with the same id.

    Attributes:
        number: The connection's number, unique in this process.
        request_count: The number of requests sent.
        is_ambiguous: Whether a second copy of its last answer could not be told from
            the next answer. Such a connection is not used again.
        holder: Counts the bytes held for the current request; ``None`` if they are
            not counted.
        has_extra_data: Whether the server sent more than it was asked for, such as a
            second copy of an answer.
    """

    _numbers = itertools.count(1)

    def __init__(self) -> None:
        self.number = next(self._numbers)
        self.holder: bytebudget.Holder | None = None
        self.has_extra_data = False
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.request_count = 0
        self.is_ambiguous = False
        self._request_id = ""
        self._carried_ids: set[int] = set()
        self._codec = h11.Connection(h11.CLIENT)
        self._method = ""
        self._transport: asyncio.Transport | None = None
        self._events: collections.deque[typing.Any] = collections.deque()
        self._unread_bytes = 0
        self._read_ahead: collections.deque[bytes] = collections.deque()
        self._informational_responses = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure = ""
        self._interruption = ""
        self._is_busy = False
        self._has_head = False
        self._is_reading_paused = False
        self._close_callback: typing.Callable[[], None] | None = None

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the socket options."""
        self._transport = typing.cast(asyncio.Transport, transport)
        _set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection if no response is expected."""
        if not self._is_busy:
            self.has_extra_data = True
            self._fail("the server sent data without a request")
            return
        self._codec.receive_data(data)
        self._parse()

    def eof_received(self) -> bool:
        """Completes a response without a length; any other is incomplete."""
        if self._is_busy and not self._failure:
            self._codec.receive_data(b"")
            self._parse()
        if not (self._events and isinstance(self._events[-1], h11.EndOfMessage)):
            self._failure = self._failure or "the server closed the connection"
        self._wake_waiter()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Records why the connection was closed."""
        reason = f"connection lost: {error}" if error else "closed"
        self._failure = self._failure or reason
        self._wake_waiter()
        if self._close_callback is not None:
            self._close_callback()

    def hold_reading(self) -> None:
        """Pauses reading while the caller delays the response; does nothing here."""

    def release_reading(self) -> None:
        """Ends the pause."""

    def move_bytes(self, holder: bytebudget.Holder | None) -> None:
        """Counts the bytes of the current request with another holder."""
        self.holder = holder

    # Called by the pool and by the code that sends requests.

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return (
            not self._failure
            and not self._is_busy
            and not self.is_ambiguous
            and len(self._carried_ids) < CARRIED_IDS_MAX
            and self._transport is not None
        )

    def has_carried(self, request_id: str) -> bool:
        """Tells whether the connection has carried a request with this id."""
        return hash(request_id) in self._carried_ids

    def check_answer_id(self, answer_id: str) -> None:
        """Checks that the answer whose head was read belongs to the current request.

        A request without an id may get one from its server.

        Args:
            answer_id: The request id that the answer names; empty if it names none.

        Raises:
            errors.BackendServerFailedError: The answer is for another request.
        """
        self.is_ambiguous = not answer_id
        if not answer_id or answer_id == self._request_id:
            return
        if self._request_id or self.has_carried(answer_id):
            message = f"the answer is for another request, {answer_id}"
            raise errors.BackendServerFailedError(message, "read answer")
        self._note_id(answer_id)

    def _note_id(self, request_id: str) -> None:
        # An id may be as long as a caller's headers, so its hash is kept instead.
        if request_id:
            self._carried_ids.add(hash(request_id))

    def set_close_callback(self, callback: typing.Callable[[], None]) -> None:
        """Calls ``callback`` when the connection is closed."""
        self._close_callback = callback

    def send(self, head: RequestHead, body: bytes, request_id: str = "") -> None:
        """Sends a request.

        Args:
            head: Method, target and headers.
            body: The body.
            request_id: The id that answers to this request name, if they name one.

        Raises:
            errors.BorderError: The method, target or headers are invalid HTTP.
        """
        assert self._transport is not None
        try:
            # Header text is ISO 8859-1, as it was decoded from the caller's bytes.
            sent = self._codec.send(
                h11.Request(
                    method=head.method,
                    target=head.target.encode("latin-1"),
                    headers=[
                        (name.encode("latin-1"), text.encode("latin-1"))
                        for name, text in head.headers
                    ],
                )
            )
            sent_body = self._codec.send(h11.Data(data=body)) if body else b""
            sent_end = self._codec.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise errors.BorderError(str(error), "send request") from error
        self._is_busy = True
        self._has_head = False
        self._informational_responses = 0
        self._method = head.method
        self._request_id = request_id
        self._note_id(request_id)
        self.request_count += 1
        self._write_request(sent or b"", (sent_body or b"") + (sent_end or b""))

    async def read_head(self) -> ResponseHead:
        """Waits for the status and headers of the response.

        Raises:
            errors.BackendServerFailedError: The response is incomplete or malformed.
        """
        event = await self._next_event()
        self._has_head = True
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        self._update_idle_limit(event)
        reason = event.reason.decode("latin-1")
        framing = _find_framing(self._method, event.status_code, headers)
        return ResponseHead(event.status_code, reason, headers, framing)

    async def read_chunk(self) -> bytes:
        """Waits for a chunk of the body; returns empty bytes at the end of the body.

        With ``Framing.CONNECTION`` that is also the end of a body that was broken off
        without a reset.

        Raises:
            errors.BackendServerFailedError: The response is incomplete or malformed.
        """
        if self._read_ahead:
            return self._read_ahead.popleft()
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            self._finish_response()
            return b""
        # Chunks that have arrived already are returned together.
        parts = [bytes(event.data)]
        while self._events and isinstance(self._events[0], h11.Data):
            parts.append(bytes(self._pop_event().data))
        return b"".join(parts)

    def unread(self, parts: collections.abc.Iterable[bytes]) -> None:
        """Makes ``read_chunk`` return parts that it has returned before.

        Empty bytes among them are the end of the body, as ``read_chunk`` returns it.
        """
        self._read_ahead.extend(parts)

    def close_with_error(self, reason: str) -> None:
        """Closes the connection; pending reads fail with the reason."""
        self._fail(reason)

    def interrupt(self, reason: str) -> None:
        """Makes pending reads fail with the reason; the connection stays open."""
        self._interruption = reason
        self._wake_waiter()

    def hang_up(self) -> bool:
        """Closes the sending side: the server stops its work, but may still answer.

        Returns:
            Whether the head of an answer can still be read. If not, the connection is
            closed.
        """
        transport = self._transport
        if (
            transport is None
            or transport.is_closing()
            or self._failure
            or self._has_head
            or not self._is_busy
            or self._has_unsent(transport)
        ):
            self.abort()
            return False
        self._interruption = ""
        transport.write_eof()
        return True

    def _has_unsent(self, transport: asyncio.Transport) -> bool:
        """Tells whether a part of the request has not been sent."""
        return transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Closes the connection at once, so that the server stops its work."""
        self._failure = self._failure or "aborted"
        if self._transport is not None:
            self._transport.abort()

    def _finish_response(self) -> None:
        """Prepares the connection for the next request, or closes it."""
        self._is_busy = False
        trailing, is_closed = self._codec.trailing_data
        self.has_extra_data = bool(trailing)
        if (
            trailing
            or is_closed
            or self._codec.our_state is not h11.DONE
            or (self._codec.their_state is not h11.DONE)
        ):
            self.abort()
            return
        self._codec.start_next_cycle()
        self.idle_since = clock.read_clock()

    async def _next_event(self) -> typing.Any:
        while not self._events:
            failure = self._failure or self._interruption
            if failure:
                raise errors.BackendServerFailedError(failure, "read answer")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._pop_event()

    def _pop_event(self) -> typing.Any:
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._unread_bytes -= len(event.data)
            self._limit_reading()
        return event

    def _write_request(self, head: bytes, body: bytes) -> None:
        """Writes a request; ``body`` includes its end."""
        assert self._transport is not None
        self._transport.write(head + body)

    def _limit_reading(self) -> None:
        """Pauses reading from the server while too much of its response is unread."""
        if self._is_reading_paused:
            if self._unread_bytes < MAX_UNREAD_BYTES:
                self._is_reading_paused = False
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.resume_reading()
        elif self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _parse(self) -> None:
        try:
            while True:
                event = self._codec.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                if isinstance(event, h11.ConnectionClosed):
                    break
                if isinstance(event, h11.InformationalResponse):
                    self._informational_responses += 1
                    if self._informational_responses > INFORMATIONAL_RESPONSES_MAX:
                        self._fail(
                            f"more than {INFORMATIONAL_RESPONSES_MAX} "
                            "informational responses"
                        )
                        return
                    continue
                if isinstance(event, h11.Response) and event.status_code > STATUS_MAX:
                    self._fail(f"malformed HTTP response: status {event.status_code}")
                    return
                self._events.append(event)
                if isinstance(event, h11.Data):
                    self._unread_bytes += len(event.data)
                if isinstance(event, h11.EndOfMessage):
                    break
        except h11.RemoteProtocolError as error:
            self._fail(f"malformed or incomplete HTTP response: {error}")
            return
        self._limit_reading()
        self._wake_waiter()

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason
        self.abort()
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _update_idle_limit(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"keep-alive":
                found = KEEP_ALIVE_TIMEOUT.search(value)
                if found:
                    advertised_s = float(found.group(1))
                    limit = max(advertised_s - IDLE_MARGIN_S, advertised_s / 2)
                    self.idle_limit_s = min(IDLE_MAX_S, limit)


def _find_framing(
    method: str, status: int, headers: tuple[tuple[str, str], ...]
) -> Framing:
    names = {name for name, _ in headers}
    if method == "HEAD" or status in closedelimited.BODYLESS_STATUS_CODES:
        return Framing.NO_BODY
    if "transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if "content-length" in names else Framing.CONNECTION


class ConnectionPool:
    """Keeps idle connections for each backend server.

    The key identifies a server together with its address. Requests to a server
    that takes over the address of another therefore never use old connections.

    Args:
        make_connection: Creates the protocol of a new connection.

    Attributes:
        on_extra_data: Called with the key of a server that sent more than it was asked
            for, once its connection is closed.
    """

    def __init__(
        self,
        make_connection: typing.Callable[[], UpstreamConnection] = UpstreamConnection,
    ) -> None:
        self._make_connection = make_connection
        self.on_extra_data: typing.Callable[[str], None] = lambda key: None
        self._idle_connections: dict[str, list[UpstreamConnection]] = {}
        self._open_connections: dict[str, set[UpstreamConnection]] = {}

    def has_idle(self, key: str) -> bool:
        """Returns whether there is an idle connection to a server."""
        return bool(self._idle_connections.get(key))

    def count_open(self, key: str) -> int:
        """Counts the open connections to a server, busy and idle."""
        return len(self._open_connections.get(key, ()))

    async def acquire(
        self, key: str, address: str, request_id: str = ""
    ) -> UpstreamConnection:
        """Returns an idle connection, or opens a new one.

        Args:
            key: Identifies the server.
            address: The server's address.
            request_id: The id of the request to be sent. A connection that has carried
                it is closed instead, since a copy of the answer may follow.

        Raises:
            errors.PeerUnreachableError: No connection could be opened in time.
        """
        idle = self._pop_idle(key, request_id)
        if idle is not None:
            return idle
        return await self.connect(key, address)

    async def connect(self, key: str, address: str) -> UpstreamConnection:
        """Opens a new connection.

        Raises:
            errors.PeerUnreachableError: No connection could be opened in time.
        """
        loop = asyncio.get_running_loop()
        try:
            host, port = peers.split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    self._make_connection, host, port
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # An address that can't be one fails in several ways.
            detail = f"connection failed: {type(error).__name__} {error}"
            raise errors.PeerUnreachableError(detail, "connect", address) from error
        open_connections = self._open_connections.setdefault(key, set())
        open_connections.add(connection)
        connection.set_close_callback(lambda: self._discard_closed(key, connection))
        return connection

    def _discard_closed(self, key: str, connection: UpstreamConnection) -> None:
        open_connections = self._open_connections.get(key)
        if open_connections is not None:
            open_connections.discard(connection)
            if not open_connections:
                del self._open_connections[key]
        if connection.has_extra_data:
            self.on_extra_data(key)

    def release(self, key: str, connection: UpstreamConnection) -> None:
        """Returns a connection to the pool if it can be reused, or closes it."""
        if connection.is_usable:
            self._idle_connections.setdefault(key, []).append(connection)
        else:
            connection.abort()

    def close_stale(self, keys: typing.Container[str]) -> None:
        """Closes idle connections that are too old or not among the keys."""
        now = clock.read_clock()
        for key, connections in list(self._idle_connections.items()):
            kept = [c for c in connections if key in keys and _is_reusable(c, now)]
            for connection in connections:
                if connection not in kept:
                    connection.abort()
            if kept:
                self._idle_connections[key] = kept
            else:
                del self._idle_connections[key]

    def close(self) -> None:
        """Closes all idle connections."""
        self.close_stale(())

    def _pop_idle(self, key: str, request_id: str) -> UpstreamConnection | None:
        connections = self._idle_connections.get(key, [])
        now = clock.read_clock()
        while connections:
            connection = connections.pop()
            has_carried = connection.has_carried(request_id)
            if _is_reusable(connection, now) and not has_carried:
                return connection
            connection.abort()
        return None


def _is_reusable(connection: UpstreamConnection, now: float) -> bool:
    idle_s = now - connection.idle_since
    return connection.is_usable and idle_s < connection.idle_limit_s


def _set_socket_options(connected: socket.socket) -> None:
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES_MAX),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, setting)

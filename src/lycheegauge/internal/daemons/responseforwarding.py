"""Passes a backend server's response on to the caller of one request."""

import asyncio
import collections

import tornado.httputil

from lycheegauge import errors
from lycheegauge.internal.coordination import (
    eventstream,
    headers,
    partdetector,
    requestwork,
)
from lycheegauge.internal.daemons import forwarder, requestrecord
from lycheegauge.internal.protocol import routetables
from lycheegauge.internal.transport import clock, ingress, upstream

OK = 200
EVENT_STREAM_TYPE = "text/event-stream"
BUFFERED_BODY_MAX_BYTES = 262_144
"""A non-streamed response up to this size is buffered completely before it is
forwarded, so that the request can still be repeated if the response is cut off."""

DISCARD_MAX_BYTES = 65_536
DISCARD_TIMEOUT_S = 0.05
"""How much of a body that is not forwarded is read, so that its connection can be
reused. A server may send it for as long as the connection is open."""


class ResponseForwarder:
    """Forwards the responses to one request, of which the caller gets a single one.

    Attributes:
        splitter: The events of a stream that another server can resume; ``None``
            before the first attempt at one.
        is_settled: Whether the attempt's answer did not crash its server.

    Args:
        shared: The state shared by all requests of the entry host.
        exchange: The request and its response to the caller.
        record: Logs the request's events.
    """

    def __init__(
        self,
        shared: forwarder.Forwarder,
        exchange: ingress.Exchange,
        record: requestrecord.RequestRecord,
    ) -> None:
        self._shared = shared
        self._exchange = exchange
        self._record = record
        self._service = ""
        self._server = ""
        self._parts: tuple[str, ...] = ()
        self._suspicions: partdetector.Suspicions = {}
        self._first_written_at: float | None = None
        self._event_at: float | None = None
        self._began_with_type = False
        self._brought: requestwork.RequestWork | None = None
        self.splitter: eventstream.EventSplitter | None = None
        self.is_settled = False

    @property
    def last_event_id(self) -> str:
        """The id of the last whole event that was passed on; empty for none."""
        return self.splitter.last_id if self.splitter else ""

    def begin_attempt(
        self,
        service: str,
        server: str,
        parts: tuple[str, ...],
        brought: requestwork.RequestWork | None = None,
    ) -> None:
        """Prepares for the response of another server.

        Args:
            service: The request's service.
            server: The server's name.
            parts: The parts that the request's prompt shares with others.
            brought: The tokens and the work that the request brings to the server.
        """
        self._brought = brought
        self._service, self._server, self._parts = service, server, parts
        detector = self._shared.crashdetector.parts
        self._suspicions = detector.list_suspicions(parts)
        self.is_settled, self._first_written_at = False, None
        self._event_at = None

    def may_forward(
        self, route: routetables.Route, head: upstream.ResponseHead
    ) -> bool:
        """Tells whether a response may follow what the caller has received.

        After a part of a stream only the rest of one may, and an error that gives no
        media type looks like one.
        """
        if not self._exchange.is_started:
            return True
        has_type = bool(head.get("content-type"))
        return is_event_stream(route, head) and (has_type or not self._began_with_type)

    async def forward(
        self,
        route: routetables.Route,
        head: upstream.ResponseHead,
        connection: upstream.UpstreamConnection,
    ) -> None:
        """Forwards a response to its regular end.

        Raises:
            errors.BackendServerFailedError: The response is incomplete or malformed.
        """
        if not is_event_stream(route, head):
            await self._forward_plain(head, connection)
        elif route.repetition.is_idempotent:
            await self._forward_events(head, connection)
        else:
            await self._forward_parts(head, connection)
        self._shared.metrics.count_answer(self._service)

    def note_settled(self, now: float) -> None:
        """Records that the attempt's answer did not crash its server."""
        if not self.is_settled and self._parts:
            self.is_settled = True
            detector = self._shared.crashdetector.parts
            detector.note_settled(self._parts, self._suspicions, now)

    async def _forward_plain(
        self, head: upstream.ResponseHead, connection: upstream.UpstreamConnection
    ) -> None:
        buffered: collections.deque[bytes] = collections.deque()
        buffered_bytes = 0
        while part := await connection.read_chunk():
            if self._exchange.is_started:
                await self._write(part, connection)
                continue
            buffered.append(part)
            buffered_bytes += len(part)
            self._exchange.note_buffered(buffered_bytes)
            if buffered_bytes > self._exchange.limit_buffer(BUFFERED_BODY_MAX_BYTES):
                self._start(head)
                await self._write_buffered(buffered, connection)
        if not self._exchange.is_started:
            self._start(head)
            if buffered:
                await self._write_buffered(buffered, connection)
        self._exchange.finish()

    async def _write_buffered(
        self,
        buffered: collections.deque[bytes],
        connection: upstream.UpstreamConnection,
    ) -> None:
        if self._exchange.holder is None:
            await self._write(b"".join(buffered), connection)
            return
        # Joined, all would be held until the last byte is sent.
        left_bytes = sum(map(len, buffered))
        while buffered:
            part = buffered.popleft()
            left_bytes -= len(part)
            self._exchange.note_buffered(left_bytes)
            await self._write(part, connection)

    async def _forward_parts(
        self, head: upstream.ResponseHead, connection: upstream.UpstreamConnection
    ) -> None:
        """Forwards a stream that no other server can resume, as its bytes arrive."""
        splitter = eventstream.EventSplitter()
        while part := await connection.read_chunk():
            self._count_events(splitter.feed(part))
            _check_events(splitter)
            self._exchange.note_buffered(splitter.incomplete_bytes)
            if not self._exchange.is_started:
                self._start(head)
            await self._write(part, connection, splitter.pop_count())
        self._check_stream_end(head, splitter)
        if not self._exchange.is_started:
            self._start(head)
        self._exchange.finish()

    async def _forward_events(
        self, head: upstream.ResponseHead, connection: upstream.UpstreamConnection
    ) -> None:
        """Forwards complete events only, so that another server can resume a stream."""
        if self.splitter is None:
            name = self._shared.dialect.headers.last_event_id
            last_id = self._exchange.headers.get(name, "")
            self.splitter = eventstream.EventSplitter(last_id)
        splitter = self.splitter
        continues = self._exchange.is_started
        splitter.begin_attempt(continues)
        while part := await connection.read_chunk():
            events = splitter.feed(part)
            self._count_events(events)
            self._exchange.note_buffered(splitter.incomplete_bytes)
            if events:
                if not self._exchange.is_started:
                    self._start(head)
                await self._write(events, connection, splitter.pop_count())
            _check_events(splitter)
        self._check_stream_end(head, splitter)
        if continues and not splitter.attempt_has_events:
            _check_empty_rest(head)
        if not self._exchange.is_started:
            self._start(head)
        self._exchange.finish()

    def _count_events(self, events: bytes) -> None:
        """Counts whole events toward the tokens that the server holds."""
        if self._brought is not None and events:
            memory = self._shared.choice.memory
            memory.note_events(self._brought, eventstream.count_events(events))

    def _check_stream_end(
        self, head: upstream.ResponseHead, splitter: eventstream.EventSplitter
    ) -> None:
        """Checks that a stream may have ended where its server ended it.

        Raises:
            errors.BackendServerFailedError: The stream was broken off, or the response
                to the caller would state an end that the server did not state.
        """
        detail = ""
        if splitter.incomplete_bytes:
            detail = f"stream ended {splitter.incomplete_bytes} bytes into an event"
        elif head.framing is upstream.Framing.CONNECTION:
            if not splitter.attempt_has_events:
                detail = "connection closed before the first event"
            elif self._exchange.is_started and not self._exchange.is_close_delimited:
                detail = "connection closed, which does not confirm the stream's end"
        if detail:
            raise errors.BackendServerFailedError(detail, "read answer")

    async def _write(
        self, part: bytes, connection: upstream.UpstreamConnection, events: int = 0
    ) -> None:
        now = clock.read_clock()
        if self._first_written_at is None:
            self._first_written_at = now
        elif now - self._first_written_at >= partdetector.SETTLED_S:
            self.note_settled(now)
        gap_s = self._record.note_part(now)
        self._shared.note_gap(self._service, gap_s)
        if events:
            # A pass is measured between events of one attempt; a part may be less.
            if self._event_at is not None:
                self._shared.admission.note_gap(
                    self._service, now - self._event_at, now, events
                )
            self._event_at = now
        self._shared.progress.note_part(self._service, self._server, now)
        delay_s = await self._exchange.write(part, connection)
        self._record.skip_delay(delay_s)

    def _start(self, head: upstream.ResponseHead) -> None:
        forwarded_headers = tornado.httputil.HTTPHeaders()
        for name, text in headers.strip_hop_by_hop(head.headers):
            forwarded_headers.add(name, text)
        if self.splitter is not None:
            # Another server may send the rest of the stream, of any length.
            forwarded_headers.pop("Content-Length", None)
        self._began_with_type = bool(head.get("content-type"))
        self._record.first_part_at = clock.read_clock()
        is_close_delimited = head.framing is upstream.Framing.CONNECTION
        self._exchange.start(
            head.status, head.reason, forwarded_headers, is_close_delimited
        )


def is_event_stream(route: routetables.Route, head: upstream.ResponseHead) -> bool:
    """Tells whether a response is an event stream that the route allows."""
    media_type = head.get("content-type").partition(";")[0].strip().lower()
    return (
        route.repetition.is_stream
        and head.status == OK
        and media_type in ("", EVENT_STREAM_TYPE)
    )


async def discard_body(connection: upstream.UpstreamConnection) -> bool:
    """Reads and discards a small rest of a response that is not forwarded.

    Returns:
        Whether the response has ended, so that its connection can be reused.
    """
    discarded_bytes = 0
    try:
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            while part := await connection.read_chunk():
                discarded_bytes += len(part)
                if discarded_bytes > DISCARD_MAX_BYTES:
                    return False
    except (TimeoutError, errors.BackendServerFailedError):
        return False
    return True


def _check_events(splitter: eventstream.EventSplitter) -> None:
    """Checks that a stream has sent events only, and none that is too large.

    Raises:
        errors.BackendServerFailedError: It has sent something else.
    """
    message = ""
    if splitter.is_oversized:
        message = f"event larger than {eventstream.EVENT_MAX_BYTES} bytes"
    elif splitter.is_malformed:
        message = "the rest of a stream holds something else than events"
    if message:
        raise errors.BackendServerFailedError(message, "read answer")


def _check_empty_rest(head: upstream.ResponseHead) -> None:
    """Checks that a response without an event says that a stream has ended.

    Raises:
        errors.BackendServerFailedError: It gives no media type, so it may be an error.
    """
    if not head.get("content-type"):
        message = "the rest of a stream is empty and has no media type"
        raise errors.BackendServerFailedError(message, "read answer")

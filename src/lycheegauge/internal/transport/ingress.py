"""HTTP server for callers whose requests are forwarded unchanged."""

import collections.abc
import typing

import tornado.http1connection
import tornado.httputil
import tornado.iostream

from lycheegauge.internal.transport import (
    bytebudget,
    callerconnections,
    callershare,
    clock,
    closedelimited,
    web,
)

MAX_UNSENT_BYTES = 65_536
"""With more unsent data than this, writing waits until the caller has read it."""


class Exchange:
    """One request of a caller and the response to it.

    Attributes:
        method: The request's method.
        target: The request target, exactly as received.
        headers: The request's headers.
        body: The complete request body.
        arrived_at: When the request was completely read, in seconds.
        is_disconnected: Whether the caller has disconnected.
        is_started: Whether the response has been started.
        closes_connection: Whether the connection is closed after the response; also
            if the ingress is stopping when the response starts.
        is_close_delimited: Whether the end of the response is only marked by the end
            of its connection.
        holder: Counts the bytes held for the exchange; ``None`` if they are not
            counted.
        is_body_refused: Whether the body was not read because of the bound on bytes.
        ending: Why the exchange was ended because of that bound; ``None`` if it was
            not.
    """

    def __init__(
        self,
        connection: tornado.http1connection.HTTP1Connection,
        start: tornado.httputil.RequestStartLine,
        headers: tornado.httputil.HTTPHeaders,
        body: bytes,
        connections: callerconnections.CallerConnections,
        holder: bytebudget.Holder | None = None,
    ) -> None:
        self.method = start.method
        self.target = start.path
        self.headers = headers
        self.body = body
        self.arrived_at = clock.read_clock()
        self.is_disconnected = False
        self.is_started = False
        self.closes_connection = False
        self._connections = connections
        self.is_close_delimited = False
        self._accepts_chunks = start.version == "HTTP/1.1"
        self._connection: (
            tornado.http1connection.HTTP1Connection
            | closedelimited.CloseDelimitedResponse
        ) = connection
        self._disconnect_callback: collections.abc.Callable[[], object] | None = None
        self._ending_callback: collections.abc.Callable[[], object] | None = None
        connection.set_close_callback(self._handle_disconnect)
        self.is_body_refused = False
        self.ending: bytebudget.Ending | None = None
        self._is_body_read = True
        self._is_finished = False
        self.holder = holder
        self._share: callershare.CallerShare | None = None
        if holder is not None:
            holder.end = self._end
            self._share = callershare.CallerShare(connection.stream, holder)

    @property
    def delayed_s(self) -> float:
        """For how long the caller has delayed the response; 0 if that is not known."""
        return self._share.delayed_s if self._share is not None else 0.0

    @property
    def longest_delay_s(self) -> float:
        """The longest pause in reading from the server for the caller."""
        return self._share.longest_delay_s if self._share is not None else 0.0

    def limit_buffer(self, buffered_bytes: int) -> int:
        """Limits how much of the response is buffered before it is started."""
        if self.holder is None:
            return buffered_bytes
        return min(buffered_bytes, self.holder.budget.share_bytes)

    def note_buffered(self, count: int) -> None:
        """Counts bytes of the response that wait for more before they are sent."""
        if self.holder is not None:
            self.holder.set_bytes(bytebudget.Part.BUFFERED, count)

    def call_on_ending(self, callback: collections.abc.Callable[[], object]) -> None:
        """Calls ``callback`` if the exchange is ended because of the bound."""
        self._ending_callback = callback

    def call_on_disconnect(
        self, callback: collections.abc.Callable[[], object]
    ) -> None:
        """Calls ``callback`` once if the caller disconnects during the exchange."""
        self._disconnect_callback = callback

    def start(
        self,
        status: int,
        reason: str,
        headers: tornado.httputil.HTTPHeaders,
        is_close_delimited: bool = False,
    ) -> None:
        """Sends the status line and headers of the response.

        Args:
            status: The status code.
            reason: The reason phrase.
            headers: The headers; without a length the body is sent in chunks.
            is_close_delimited: Whether the response gets neither a length nor chunks,
                so that it doesn't state where it ends.
        """
        self.is_started = True
        if is_close_delimited or self._must_end_by_closing(status, headers):
            self._detach()
        if self.closes_connection or self._connections.is_stopping:
            headers["Connection"] = "close"
        line = tornado.httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._write(lambda: self._connection.write_headers(line, headers))

    def _must_end_by_closing(
        self, status: int, headers: tornado.httputil.HTTPHeaders
    ) -> bool:
        is_bodyless = status in closedelimited.BODYLESS_STATUS_CODES
        has_body = self.method != "HEAD" and not is_bodyless
        return has_body and not self._accepts_chunks and "Content-Length" not in headers

    def _detach(self) -> None:
        """Takes the connection from the HTTP server, which would send chunks."""
        connection = self._connection
        if self.is_disconnected or isinstance(
            connection, closedelimited.CloseDelimitedResponse
        ):
            return
        self.is_close_delimited = True
        stream = connection.detach()
        self._connections.add_detached(stream)
        self._connection = closedelimited.CloseDelimitedResponse(
            stream, self._handle_disconnect
        )

    async def write(
        self, data: bytes, source: callershare.ReadingSource | None = None
    ) -> float:
        """Sends a chunk of the body; waits if the caller reads slowly.

        Args:
            data: The chunk.
            source: The connection that pauses meanwhile, if bytes are counted.

        Returns:
            For how long the caller delayed it, in seconds; 0 if that is not known.
        """
        if self._share is not None:
            return await self._share.write(
                lambda piece: self._write(lambda: self._connection.write(piece)),
                data,
                source,
            )
        sent = self._write(lambda: self._connection.write(data))
        stream = self._connection.stream
        if sent is not None and stream is not None and not stream.closed():
            if len(stream._write_buffer) > MAX_UNSENT_BYTES:
                try:
                    await sent
                except tornado.iostream.StreamClosedError:
                    self._handle_disconnect()
        return 0.0

    def finish(self) -> None:
        """Completes the response."""
        self._is_finished = True
        if not self.is_disconnected and self._is_body_read:
            self._disconnect_callback = None
            self._connection.finish()
            if self._share is not None and self.holder is not None:
                self._share.note_written()
                self._share.call_when_sent(self.holder.close)

    def defer_finish(self) -> None:
        """Notes that the response may be sent before the body has been read."""
        self._is_body_read = False

    def note_disconnect(self) -> None:
        """Notes that the caller has disconnected before the body had been read."""
        self._handle_disconnect()

    def note_body_read(self) -> None:
        """Completes a response that was sent before the body had been read.

        The connection would otherwise be closed with unread data, and the reset may
        reach the caller before the response.
        """
        self._is_body_read = True
        if self._is_finished:
            self.finish()

    def answer(
        self,
        status: int,
        reason: str,
        body: bytes,
        headers: collections.abc.Mapping[str, str],
    ) -> None:
        """Sends a complete response."""
        response_headers = tornado.httputil.HTTPHeaders()
        for name, text in headers.items():
            response_headers.add(name, text)
        response_headers["Content-Length"] = str(len(body))
        self.start(status, reason, response_headers)
        if body and self.method != "HEAD":
            self._write(lambda: self._connection.write(body))
        self.finish()

    def abort(self) -> None:
        """Ends the connection so that a partial response can't look complete."""
        self._disconnect_callback = None
        self.is_disconnected = True
        self._connection.close()
        if self.holder is not None:
            self.holder.close()

    def _end(self, ending: bytebudget.Ending) -> None:
        """Ends the exchange because of the bound on the bytes held."""
        self.ending = ending
        if self._ending_callback is not None:
            self._ending_callback()
        stream = self._connection.stream
        if stream is not None:
            # Otherwise the system would still hold what the caller does not read.
            closedelimited.set_reset(stream)
        callback = self._disconnect_callback
        self.abort()
        if callback is not None:
            callback()

    def _write(self, write: collections.abc.Callable[[], typing.Any]) -> typing.Any:
        if self.is_disconnected:
            return None
        sent = write()
        # A write fails if the caller disconnects; the close callback handles that.
        sent.add_done_callback(lambda future: future.exception())
        return sent

    def _handle_disconnect(self) -> None:
        self.is_disconnected = True
        if self.holder is not None:
            self.holder.close()
        callback, self._disconnect_callback = self._disconnect_callback, None
        if callback is not None:
            callback()


Handler = collections.abc.Callable[[Exchange], None]


class Ingress(tornado.httputil.HTTPServerConnectionDelegate):
    """Reads complete requests and passes each to a handler.

    Args:
        handle: Called with each exchange; it must send the response.
        body_limit: The size limit of a request body, in bytes.
        budget: Bounds the bytes held; ``None`` if they are not counted.

    Attributes:
        connections: The open connections.
    """

    def __init__(
        self,
        handle: Handler,
        body_limit: int,
        budget: bytebudget.ByteBudget | None = None,
    ) -> None:
        self.handle = handle
        self.body_limit = body_limit
        self.budget = budget
        self.connections = callerconnections.CallerConnections()

    def start_request(
        self, server_conn: object, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Creates the reader of one request."""
        connection = typing.cast(tornado.http1connection.HTTP1Connection, request_conn)
        connection.stream.set_nodelay(True)
        self.connections.begin_request(server_conn, connection)
        return _RequestReader(self, server_conn, connection)

    def on_close(self, server_conn: object) -> None:
        """Removes the connection; an exchange handles its own disconnection."""
        self.connections.remove(server_conn)


class _RequestReader(tornado.httputil.HTTPMessageDelegate):
    """Reads one request."""

    def __init__(
        self,
        ingress: Ingress,
        key: object,
        connection: tornado.http1connection.HTTP1Connection,
    ) -> None:
        self._ingress = ingress
        self._key = key
        self._connection = connection
        self._start: tornado.httputil.RequestStartLine | None = None
        self._headers = tornado.httputil.HTTPHeaders()
        self._body = bytearray()
        self._stated_bytes = -1
        self._holder: bytebudget.Holder | None = None
        self._refused: Exchange | None = None

    def headers_received(
        self,
        start_line: (
            tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine
        ),
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        """Stores the request line and headers."""
        self._ingress.connections.set_phase(self._key, callerconnections.Phase.READING)
        self._start = typing.cast(tornado.httputil.RequestStartLine, start_line)
        self._headers = headers
        budget = self._ingress.budget
        if budget is None:
            return
        self._holder = bytebudget.Holder(budget)
        self._holder.end = lambda _: self._refuse_body()
        length = headers.get("Content-Length", "")
        if web.CONTENT_LENGTH.fullmatch(length):
            # A larger body than is allowed is answered with 413, and not stored.
            body_bytes = self._stated_bytes = int(length)
            if body_bytes <= self._ingress.body_limit and not budget.accepts_body(
                body_bytes, body_bytes
            ):
                self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body, unless the body is over the limit."""
        if self._refused is not None:
            return
        if len(self._body) <= self._ingress.body_limit:
            self._body += chunk
            if self._holder is not None:
                self._count_body(self._holder, len(chunk))

    def _count_body(self, holder: bytebudget.Holder, chunk_bytes: int) -> None:
        body_bytes = len(self._body)
        if not holder.budget.accepts_body(body_bytes, chunk_bytes):
            self._refuse_body()
            return
        if body_bytes != self._stated_bytes:
            holder.begin_wait(bytebudget.Side.BODY, lambda: len(self._body))
        holder.set_bytes(bytebudget.Part.BODY, body_bytes)

    def _refuse_body(self) -> None:
        """Has the request refused as not run, and discards the rest of its body."""
        assert self._start is not None and self._holder is not None
        self._holder.close()
        self._body = bytearray()
        exchange = Exchange(
            self._connection,
            self._start,
            self._headers,
            b"",
            self._ingress.connections,
        )
        exchange.is_body_refused = True
        exchange.defer_finish()
        self._refused = exchange
        self._ingress.handle(exchange)

    def finish(self) -> None:
        """Passes the complete request to the handler, or responds with 413."""
        assert self._start is not None
        connections = self._ingress.connections
        connections.set_phase(self._key, callerconnections.Phase.ANSWERING)
        if self._refused is not None:
            self._refused.note_body_read()
            return
        # The reader lives as long as the exchange, which has a copy of the body.
        body, self._body = bytes(self._body), bytearray()
        if self._holder is not None:
            self._holder.end_wait(bytebudget.Side.BODY)
        exchange = Exchange(
            self._connection,
            self._start,
            self._headers,
            body,
            connections,
            self._holder,
        )
        if len(body) > self._ingress.body_limit:
            exchange.closes_connection = True
            exchange.answer(413, "Content Too Large", b"", {})
            return
        self._ingress.handle(exchange)

    def on_connection_close(self) -> None:
        """Discards a request that was not completely read."""
        if self._holder is not None:
            self._holder.close()
        if self._refused is not None:
            self._refused.note_disconnect()

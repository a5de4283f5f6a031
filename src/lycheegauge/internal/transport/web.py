"""Base classes of the HTTP listeners: limits, typed errors, start and close."""

import collections.abc
import re
import socket
import sys
import typing

import tornado.httpserver
import tornado.httputil
import tornado.iostream
import tornado.netutil
import tornado.web

from lycheegauge import settings
from lycheegauge.internal.transport import bytebudget, peers

HEADER_READ_FACTOR = 4
"""Headers up to this multiple of the limit are read, to refuse them with a reason."""

MAX_READ_BYTES = 65_536
"""Upper limit on the size of one read of a body."""

BOUNDED_READ_BYTES = 16_384
"""Upper limit on one read if held bytes are counted. What a caller sends ahead of the
response to its request is read once and not counted."""

MALFORMED_DETAIL = "malformed HTTP/1.1: invalid start line, header, length or chunk"
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"
"""What tornado writes to the stream when it can't parse a request."""

ProblemWriter = collections.abc.Callable[[str], bytes]
"""Builds the response body for a malformed request from the error detail."""


CONTENT_LENGTH = re.compile("[0-9]{1,18}")
"""The form of a length that is checked here; tornado refuses longer numbers.

Python converts no number of more than 4,300 digits, and ``isdigit`` accepts
superscripts, which ``int`` does not.
"""


class LimitedServer(tornado.httpserver.HTTPServer):
    """An HTTP server that immediately closes connections over a limit.

    tornado responds to a request that it can't parse with an empty 400, without
    calling a handler. That response is replaced by one with a typed error.
    """

    connections_max = 0
    write_malformed: ProblemWriter | None = None
    budget: bytebudget.ByteBudget | None = None
    unread_streams: list[tuple[tornado.iostream.IOStream, typing.Any]]
    """Accepted connections that are not read, as too many bytes are held."""

    def handle_stream(
        self, stream: tornado.iostream.IOStream, address: typing.Any
    ) -> None:
        """Handles a new connection, or closes it if the limit is reached."""
        if len(self._connections) + len(self.unread_streams) >= self.connections_max:
            stream.close()
            return
        if self.budget is not None:
            bytebudget.limit_system_buffer(stream.socket)
            if not self.budget.accepts_connection:
                self.unread_streams.append((stream, address))
                if len(self.unread_streams) == 1:
                    self.budget.call_when_free(self._read_streams)
                return
        self._serve_stream(stream, address)

    def _read_streams(self) -> None:
        streams, self.unread_streams = self.unread_streams, []
        for stream, address in streams:
            self._serve_stream(stream, address)

    def close_unread(self) -> None:
        """Closes the connections that are not read."""
        for stream, _ in self.unread_streams:
            stream.close()
        self.unread_streams.clear()

    def _serve_stream(
        self, stream: tornado.iostream.IOStream, address: typing.Any
    ) -> None:
        if self.write_malformed is not None:
            self._replace_bad_request(stream, self.write_malformed)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Tells the application of a closed connection, as tornado does not."""
        super().on_close(server_conn)
        application = self.request_callback
        if not isinstance(application, tornado.web.Application) and isinstance(
            application, tornado.httputil.HTTPServerConnectionDelegate
        ):
            application.on_close(server_conn)

    def accept_queued(self, listening: socket.socket) -> None:
        """Accepts the connections that wait at a listening socket."""
        while True:
            try:
                accepted, address = listening.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                return
            self._handle_connection(accepted, address)

    def _replace_bad_request(
        self, stream: tornado.iostream.IOStream, write_malformed: ProblemWriter
    ) -> None:
        write = stream.write

        def write_typed(data: typing.Any) -> typing.Any:
            if data == TORNADO_BAD_REQUEST:
                data = self._make_bad_request(write_malformed(MALFORMED_DETAIL))
            return write(data)

        stream.write = write_typed  # type: ignore[method-assign]

    def _make_bad_request(self, body: bytes) -> bytes:
        head = (
            "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class Application(tornado.web.Application):
    """Handlers, and the writer of errors for requests that reach none of them."""

    def __init__(
        self, handlers: list[typing.Any], write_malformed: ProblemWriter
    ) -> None:
        super().__init__(handlers, log_function=lambda handler: None)
        self.write_malformed = write_malformed


class Listener:
    """An HTTP server on one listening socket."""

    def __init__(
        self,
        address: str,
        application: (
            tornado.web.Application | tornado.httputil.HTTPServerConnectionDelegate
        ),
        limits: settings.Limits,
        budget: bytebudget.ByteBudget | None = None,
    ) -> None:
        self._host, self._port = peers.split_address(address)
        # The handlers of ``Application`` limit the body themselves. With a limit
        # here, tornado would respond with 400 before they can refuse a large body.
        read_bytes = MAX_READ_BYTES if budget is None else BOUNDED_READ_BYTES
        has_typed_errors = isinstance(application, Application)
        self._server = LimitedServer(
            application,
            max_header_size=limits.header_bytes * HEADER_READ_FACTOR,
            max_body_size=sys.maxsize if has_typed_errors else limits.body_bytes,
            chunk_size=min(limits.body_bytes, limits.buffered_bytes, read_bytes),
            max_buffer_size=limits.body_bytes + limits.buffered_bytes,
            idle_connection_timeout=limits.idle_timeout_s,
            body_timeout=limits.idle_timeout_s,
        )
        self._server.connections_max = limits.connections
        self._server.budget = budget
        self._server.unread_streams = []
        if isinstance(application, Application):
            self._server.write_malformed = application.write_malformed
        self._sockets: list[typing.Any] = []

    async def start(self) -> str:
        """Starts listening and returns the address, with the port in use."""
        self._sockets = tornado.netutil.bind_sockets(self._port, self._host)
        self._server.add_sockets(self._sockets)
        return f"{self._host}:{self._sockets[0].getsockname()[1]}"

    def count_connections(self) -> int:
        """Counts the open connections."""
        return len(self._server._connections) + self.count_unread()

    def count_unread(self) -> int:
        """Counts the accepted connections that are not read yet."""
        return len(self._server.unread_streams)

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay open.

        Connections that the system has already established are accepted first, as
        closing the socket would reset them.
        """
        for listening in self._sockets:
            self._server.accept_queued(listening)
        self._sockets = []
        self._server.stop()

    async def close(self) -> None:
        """Closes the listening socket and every connection."""
        self._server.stop()
        self._server.close_unread()
        await self._server.close_all_connections()


@tornado.web.stream_request_body
class BodyHandler(tornado.web.RequestHandler):
    """Reads a body up to a limit and refuses a larger one with a typed error.

    The body is streamed, as tornado would otherwise respond to an oversized one
    itself, with an empty 400.
    """

    body_limit = 0
    header_limit = 0

    def set_limits(self, limits: settings.Limits) -> None:
        """Sets the limits on headers and body."""
        self.header_limit = limits.header_bytes
        self.body_limit = limits.body_bytes
        self.received_body = bytearray()

    def prepare(self) -> None:
        """Refuses headers over the limit, and a body whose stated length is over it."""
        headers = self.request.headers.get_all()
        if sum(len(name) + len(value) for name, value in headers) > self.header_limit:
            self.set_header("Connection", "close")
            self.write_problem(431, f"headers larger than {self.header_limit} bytes")
            return
        length = self.request.headers.get("Content-Length", "0")
        if CONTENT_LENGTH.fullmatch(length) and int(length) > self.body_limit:
            self.refuse_large_body()

    def data_received(self, chunk: bytes) -> None:
        """Adds a chunk to the body, unless the request was refused already."""
        if self._finished:
            return
        self.received_body += chunk
        if len(self.received_body) > self.body_limit:
            self.received_body.clear()
            self.refuse_large_body()

    def refuse_large_body(self) -> None:
        """Responds with 413 and closes the connection."""
        self.set_header("Connection", "close")
        self.write_problem(413, f"body larger than {self.body_limit} bytes")

    def write_problem(self, status: int, detail: str) -> None:
        """Responds with a typed error; each API defines its own body."""
        raise NotImplementedError

    def write_error(self, status_code: int, **details: typing.Any) -> None:
        """Responds with a typed error to requests that tornado refuses itself."""
        error = (details.get("exc_info") or (None, None, None))[1]
        detail = error.log_message if isinstance(error, tornado.web.HTTPError) else None
        self.write_problem(status_code, detail or self._reason)

"""Common ground of the HTTP listeners: limits, typed errors, start, close."""

import collections.abc
import re
import sys
import typing

import tornado.httpserver
import tornado.httputil
import tornado.iostream
import tornado.netutil
import tornado.web

from lycheegauge import settings
from lycheegauge.internal.transport import peers

HEADER_READ_FACTOR = 4
"""Headers up to so many times the limit are read, to be refused with a reason."""

CHUNK_BYTES = 65_536
"""Most that is read of a body at a time."""

MALFORMED = "this is no well-formed HTTP/1.1: a bad start line, header, length or chunk"
LIBRARY_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"
"""What the library writes to the stream when it can't parse a request."""

ProblemWriter = collections.abc.Callable[[str], bytes]
"""Makes the JSON body that tells of a malformed request."""


LENGTH = re.compile("[0-9]{1,18}")
"""A body length that is judged here; the library refuses longer numbers.

Python converts no number of more than 4,300 digits, and ``isdigit`` takes
superscripts, which ``int`` does not.
"""


class LimitedServer(tornado.httpserver.HTTPServer):
    """An HTTP server that closes connections beyond a limit at once.

    A request that the library can't parse reaches no handler and is answered
    with an empty 400 by the library; that answer is replaced by a typed one.
    """

    connections_max = 0
    write_malformed: ProblemWriter | None = None

    def handle_stream(
        self, stream: tornado.iostream.IOStream, address: typing.Any
    ) -> None:
        """Accepts a connection unless the limit is reached."""
        if len(self._connections) >= self.connections_max:
            stream.close()
            return
        if self.write_malformed is not None:
            self._replace_refusal(stream, self.write_malformed)
        super().handle_stream(stream, address)

    def _replace_refusal(
        self, stream: tornado.iostream.IOStream, write_malformed: ProblemWriter
    ) -> None:
        write = stream.write

        def write_typed(data: typing.Any) -> typing.Any:
            if data == LIBRARY_REFUSAL:
                data = self._make_refusal(write_malformed(MALFORMED))
            return write(data)

        stream.write = write_typed  # type: ignore[method-assign]

    def _make_refusal(self, body: bytes) -> bytes:
        head = (
            "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class Application(tornado.web.Application):
    """Handlers, and how a request that reaches none of them is refused."""

    def __init__(
        self, handlers: list[typing.Any], write_malformed: ProblemWriter
    ) -> None:
        super().__init__(handlers, log_function=lambda handler: None)
        self.write_malformed = write_malformed


class Listener:
    """Owns one listening HTTP socket."""

    def __init__(
        self,
        address: str,
        application: (
            tornado.web.Application | tornado.httputil.HTTPServerConnectionDelegate
        ),
        limits: settings.Limits,
    ) -> None:
        self._host, self._port = peers.split_address(address)
        # Handlers of ``Application`` bound what they collect; with a limit here
        # the library would answer a large body with a 400 before they refuse it.
        typed = isinstance(application, Application)
        self._server = LimitedServer(
            application,
            max_header_size=limits.header_bytes * HEADER_READ_FACTOR,
            max_body_size=sys.maxsize if typed else limits.body_bytes,
            chunk_size=min(limits.body_bytes, limits.buffered_bytes, CHUNK_BYTES),
            max_buffer_size=limits.body_bytes + limits.buffered_bytes,
            idle_connection_timeout=limits.idle_timeout_s,
            body_timeout=limits.idle_timeout_s,
        )
        self._server.connections_max = limits.connections
        if isinstance(application, Application):
            self._server.write_malformed = application.write_malformed
        self._sockets: list[typing.Any] = []

    async def start(self) -> str:
        """Starts listening and returns the address, with the port in use."""
        self._sockets = tornado.netutil.bind_sockets(self._port, self._host)
        self._server.add_sockets(self._sockets)
        return f"{self._host}:{self._sockets[0].getsockname()[1]}"

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections go on."""
        self._server.stop()

    async def close(self) -> None:
        """Closes the listening socket and every connection."""
        self._server.stop()
        await self._server.close_all_connections()


@tornado.web.stream_request_body
class BodyHandler(tornado.web.RequestHandler):
    """Collects a bounded body; a larger one gets a typed refusal.

    The body is streamed because otherwise the library answers an oversized
    one itself, with an empty 400.
    """

    body_limit = 0
    header_limit = 0

    def set_limits(self, limits: settings.Limits) -> None:
        """Takes the limits on headers and body."""
        self.header_limit = limits.header_bytes
        self.body_limit = limits.body_bytes
        self.collected = bytearray()

    def prepare(self) -> None:
        """Refuses headers, and a body by its length, that are over the limit."""
        headers = self.request.headers.get_all()
        if sum(len(name) + len(value) for name, value in headers) > self.header_limit:
            self.set_header("Connection", "close")
            self.write_problem(431, f"the headers are over {self.header_limit} bytes")
            return
        length = self.request.headers.get("Content-Length", "0")
        if LENGTH.fullmatch(length) and int(length) > self.body_limit:
            self.refuse_large_body()

    def data_received(self, chunk: bytes) -> None:
        """Collects a part of the body, unless it is refused already."""
        if self._finished:
            return
        self.collected += chunk
        if len(self.collected) > self.body_limit:
            self.collected.clear()
            self.refuse_large_body()

    def refuse_large_body(self) -> None:
        """Answers that the body is too large and closes the connection."""
        self.set_header("Connection", "close")
        self.write_problem(413, f"the body is over {self.body_limit} bytes")

    def write_problem(self, status: int, detail: str) -> None:
        """Answers with a typed error; listeners give it their own body."""
        raise NotImplementedError

    def write_error(self, status_code: int, **details: typing.Any) -> None:
        """Answers what the library itself refuses with a typed error."""
        error = (details.get("exc_info") or (None, None, None))[1]
        detail = error.log_message if isinstance(error, tornado.web.HTTPError) else None
        self.write_problem(status_code, detail or self._reason)

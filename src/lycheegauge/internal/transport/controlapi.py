"""HTTP API for control calls from operators, backend servers and callers.

The handler function, which knows the dialect, parses path and body.
"""

import collections.abc
import dataclasses
import typing

import tornado.web

from lycheegauge import settings
from lycheegauge.internal.transport import clock, web


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a control call."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


@dataclasses.dataclass(slots=True)
class Sender:
    """The client that sent a call.

    Attributes:
        read_at: When its call was read, in seconds.
        has_left: Whether it has closed the connection without waiting for the answer.
    """

    read_at: float
    has_left: bool = False


Handler = collections.abc.Callable[
    [str, str, bytes, Sender], collections.abc.Awaitable[Response]
]
"""Called with method, request target, body and sender."""


class CallHandler(web.BodyHandler):
    """Passes every call to one function."""

    def initialize(self, handle: Handler, limits: settings.Limits) -> None:
        """Sets the function and the limits."""
        self._handle = handle
        self._sender = Sender(clock.read_clock())
        self.set_limits(limits)

    async def get(self) -> None:
        """Responds to a GET request."""
        await self._answer()

    async def post(self) -> None:
        """Responds to a POST request."""
        await self._answer()

    async def put(self) -> None:
        """Responds to a PUT request."""
        await self._answer()

    async def delete(self) -> None:
        """Responds to a DELETE request."""
        await self._answer()

    def on_connection_close(self) -> None:
        """Records that the client has left."""
        super().on_connection_close()
        self._sender.has_left = True

    async def _answer(self) -> None:
        method, target = str(self.request.method), str(self.request.uri)
        body = bytes(self.received_body)
        answer = await self._handle(method, target, body, self._sender)
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        await self.finish(answer.body)

    def write_problem(self, status: int, detail: str) -> None:
        """Responds to a malformed call with the error as text."""
        self.set_status(status)
        self.finish(detail.encode() + b"\n")

    def compute_etag(self) -> str | None:
        """Sends no entity tag, as no client makes conditional requests."""
        return None


def make_application(handle: Handler, limits: settings.Limits) -> web.Application:
    """Builds the application of one listener."""
    parameters: dict[str, typing.Any] = {"handle": handle, "limits": limits}
    handlers = [tornado.web.url(".*", CallHandler, parameters)]
    return web.Application(handlers, lambda detail: detail.encode())

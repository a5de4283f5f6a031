"""HTTP API for control calls from operators, backend servers and callers.

The handler function, which knows the dialect, parses path and body.
"""

import collections.abc
import dataclasses
import typing

import tornado.web

from lycheegauge import settings
from lycheegauge.internal.transport import web


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a control call."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = collections.abc.Callable[
    [str, str, bytes], collections.abc.Awaitable[Response]
]
"""Called with method, request target and body."""


class CallHandler(web.BodyHandler):
    """Passes every call to one function."""

    def initialize(self, handle: Handler, limits: settings.Limits) -> None:
        """Sets the function and the limits."""
        self._handle = handle
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

    async def _answer(self) -> None:
        method, target = str(self.request.method), str(self.request.uri)
        answer = await self._handle(method, target, bytes(self.received_body))
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

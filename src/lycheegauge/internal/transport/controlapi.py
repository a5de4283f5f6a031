"""The listeners for calls to the system itself: operators, servers, callers.

Which call it is, and what its body says, is read with the border's dialect.
"""

import collections.abc
import dataclasses
import typing

import tornado.web

from lycheegauge import settings
from lycheegauge.internal.transport import web


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a control call."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = collections.abc.Callable[[str, str, bytes], collections.abc.Awaitable[Answer]]
"""Takes method, target and body."""


class CallHandler(web.BodyHandler):
    """Hands every call to one function."""

    def initialize(self, handle: Handler, limits: settings.Limits) -> None:
        """Takes the function and the limits."""
        self._handle = handle
        self.set_limits(limits)

    async def get(self) -> None:
        """Answers a GET."""
        await self._answer()

    async def post(self) -> None:
        """Answers a POST."""
        await self._answer()

    async def put(self) -> None:
        """Answers a PUT."""
        await self._answer()

    async def delete(self) -> None:
        """Answers a DELETE."""
        await self._answer()

    async def _answer(self) -> None:
        method, target = str(self.request.method), str(self.request.uri)
        answer = await self._handle(method, target, bytes(self.collected))
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        await self.finish(answer.body)

    def write_problem(self, status: int, detail: str) -> None:
        """Answers a malformed call."""
        self.set_status(status)
        self.finish(detail.encode() + b"\n")

    def compute_etag(self) -> str | None:
        """Sends no entity tag; nobody asks with one."""
        return None


def make_application(handle: Handler, limits: settings.Limits) -> web.Application:
    """Makes the application of one listener."""
    parameters: dict[str, typing.Any] = {"handle": handle, "limits": limits}
    handlers = [tornado.web.url(".*", CallHandler, parameters)]
    return web.Application(handlers, lambda detail: detail.encode())

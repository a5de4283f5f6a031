"""A fake backend server, which announces itself and answers over HTTP.

It replaces a model engine or a plain booking service in the ``local`` command, in
tests and in manual trials. It does no real work.
"""

import asyncio
import collections.abc
import dataclasses
import json
import typing
import uuid

import loguru
import tornado.httpclient
import tornado.web

from lycheegauge import settings
from lycheegauge.internal.daemons import fakerank
from lycheegauge.internal.transport import web

ANNOUNCE_INTERVAL_S = 0.5
CRASH_TEXT = "crash-the-server"


@dataclasses.dataclass(frozen=True, slots=True)
class FakeSettings:
    """Behaviour of a fake backend server.

    ``token_interval_s`` is the time between tokens in seconds, ``tokens`` the
    length of an answer. Until it has served ``warm_after`` requests the server is
    cold, and crashes above ``cold_capacity`` concurrent requests. With a ``rank`` it
    runs the steps of a ``group``, each ``step_time_s`` seconds long.
    """

    service: str
    engine: str
    announce_to: str
    address: str = "127.0.0.1:0"
    capacity: int = 16
    tokens: int = 20
    token_interval_s: float = 0.005
    call_time_s: float = 0.01
    cold_capacity: int = 1000
    warm_after: int = 0
    group: str = ""
    rank: int = -1
    step_time_s: float = 0.02


class FakeServer:
    """Owns the listener and the background tasks of one fake server."""

    def __init__(self, fake: FakeSettings) -> None:
        self.fake = fake
        self.boot_id = uuid.uuid4().hex[:12]
        self.running: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.served = 0
        self.runs: list[str] = []
        self._listener = web.Listener(
            fake.address, self._make_application(), settings.Limits()
        )
        self._task: asyncio.Task[None] | None = None
        self._rank_task: asyncio.Task[None] | None = None
        self.address = ""
        self.leaving = False

    async def start(self) -> None:
        """Starts the listener, the announcements and the steps of a rank."""
        self.address = await self._listener.start()
        self._task = asyncio.create_task(self._announce())
        if self.fake.rank >= 0:
            engine = fakerank.FakeRank(
                self.fake.announce_to, self.boot_id, self.fake.rank
            )
            self._rank_task = asyncio.create_task(engine.run(self.fake.step_time_s))

    async def close(self) -> None:
        """Stops immediately, as a crash would."""
        for task in (self._task, self._rank_task):
            if task is not None:
                task.cancel()
        await self._listener.close()

    def _make_application(self) -> tornado.web.Application:
        handler_arguments = {"server": self}
        return tornado.web.Application(
            [
                (r"/v1/completions", CompletionsHandler, handler_arguments),
                (r"/v1/cancel", CancelHandler, handler_arguments),
                (r"/call", PlainHandler, handler_arguments),
            ],
            log_function=lambda handler: None,
        )

    def build_announcement(self) -> bytes:
        """Returns the announcement as JSON."""
        content = {
            "service": self.fake.service,
            "engine": self.fake.engine,
            "address": self.address,
            "boot_id": self.boot_id,
            "capacity": self.fake.capacity,
            "running": sum(self.running.values()),
            "leaving": self.leaving,
            "group": self.fake.group,
            "rank": self.fake.rank,
        }
        return json.dumps(content).encode()

    async def _announce(self) -> None:
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        url = f"http://{self.fake.announce_to}/v1/announcement"
        while True:
            try:
                await client.fetch(url, method="POST", body=self.build_announcement())
            except OSError:
                pass
            except tornado.httpclient.HTTPError:
                pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def start_run(self, request_id: str, body: bytes) -> None:
        """Records the start of a run.

        Raises:
            CrashError: The body asks for a crash, or the server is cold and overloaded.
        """
        self.running[request_id] = self.running.get(request_id, 0) + 1
        self.runs.append(request_id)
        is_overloaded = sum(self.running.values()) > self.fake.cold_capacity
        if (
            CRASH_TEXT.encode() in body
            or is_overloaded
            and self.served < self.fake.warm_after
        ):
            raise CrashError

    def finish_run(self, request_id: str) -> None:
        """Records the end of a run."""
        self.running[request_id] -= 1
        if not self.running[request_id]:
            del self.running[request_id]
        self.served += 1

    async def crash(self) -> None:
        """Closes all connections and restarts with a new boot id."""
        loguru.logger.warning(
            "the fake backend server crashed", step="run", peer=self.address
        )
        await self._listener.close()
        for task in (self._task, self._rank_task):
            if task is not None:
                task.cancel()
        self.boot_id = uuid.uuid4().hex[:12]
        self.running.clear()
        self.served = 0
        host = self.address
        self._listener = web.Listener(host, self._make_application(), settings.Limits())
        await self.start()


class CrashError(Exception):
    """Raised when the fake backend server must crash."""


class FakeHandler(tornado.web.RequestHandler):
    """Base class of the fake server's request handlers."""

    def initialize(self, server: FakeServer) -> None:
        """Stores the fake server."""
        self.server = server
        self.is_disconnected = False

    def on_connection_close(self) -> None:
        """Records that the agent has disconnected."""
        self.is_disconnected = True

    def crash_server(self) -> None:
        """Crashes the fake server without answering."""
        self.detach().close()
        self.server.crashing = asyncio.create_task(  # type: ignore[attr-defined]
            self.server.crash()
        )


class CompletionsHandler(FakeHandler):
    """Streams tokens that depend only on the prompt."""

    async def post(self) -> None:
        """Streams the tokens from ``resume_at`` to the end."""
        content = json.loads(self.request.body)
        request_id = content["request_id"]
        try:
            self.server.start_run(request_id, self.request.body)
        except CrashError:
            self.crash_server()
            return
        try:
            async for text in self.make_tokens(content):
                data = json.dumps({"choices": [{"text": text}]})
                self.write(f"data: {data}\n\n")
                await self.flush()
            self.write("data: [DONE]\n\n")
        finally:
            self.server.finish_run(request_id)

    async def make_tokens(
        self, content: dict[str, typing.Any]
    ) -> collections.abc.AsyncIterator[str]:
        """Yields the requested tokens, one every ``token_interval_s`` seconds."""
        words = content["prompt"].split() or ["empty"]
        total = int(content.get("max_tokens", self.server.fake.tokens))
        for index in range(content.get("resume_at", 0), total):
            if self.is_disconnected or content["request_id"] in self.server.cancelled:
                return
            await asyncio.sleep(self.server.fake.token_interval_s)
            yield f"{words[index % len(words)]}-{index} "


class CancelHandler(FakeHandler):
    """Stops a stream."""

    def post(self) -> None:
        """Marks the request as cancelled."""
        self.server.cancelled.add(json.loads(self.request.body)["request_id"])
        self.finish({})


class PlainHandler(FakeHandler):
    """Books a slot and counts each run, so that a repeated run can be detected."""

    async def post(self) -> None:
        """Answers with the number of runs that this server has started."""
        request_id = self.request.headers.get("Lycheegauge-Request-Id", "")
        try:
            self.server.start_run(request_id, self.request.body)
        except CrashError:
            self.crash_server()
            return
        run = len(self.server.runs)
        try:
            await asyncio.sleep(self.server.fake.call_time_s)
            self.finish({"booked": True, "run": run})
        finally:
            self.server.finish_run(request_id)

"""A server that sends an engine adapter given bytes, and runs of orders on it."""

import asyncio
import dataclasses
import json

from lycheegauge import errors
from lycheegauge.internal.daemons import engineclient
from lycheegauge.internal.protocol import calls, enginedialects, maporders, work
from lycheegauge.internal.transport import engines

WAIT_S = 20.0
ORDER = maporders.MapOrder(maporders.MapOrderKind.GO, 1, 1, step=5)
FIRST_TOKEN_TIMEOUT_S = 0.3
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def make_event(token):
    return b"data: " + json.dumps({"choices": [{"text": token}]}).encode() + b"\n\n"


ONE_TOKEN = HEAD + make_event("one")
UNTERMINATED_LINE = ONE_TOKEN + b"data: " + b"x" * 2_000_000
FAULTS = {
    "answers with status 500": b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n{}",
    "answers with something else": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhi!\n",
    "sends an event that is no JSON": ONE_TOKEN + b"data: {\n\n",
    "sends an event without choices": ONE_TOKEN + b"data: {}\n\n",
    "sends a token that is a number": ONE_TOKEN + make_event(1),
    "closes before the end": ONE_TOKEN,
    "closes before the first byte": b"",
    "sends a line without an end": UNTERMINATED_LINE,
    "never answers the first byte": None,
}


class FakeEngine:
    """A server that reads a request, sends the given bytes and closes."""

    def __init__(self, answer):
        self._answer = answer
        self._open_writers = []
        self.address = "127.0.0.1:1"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if self._answer is None:
            self._open_writers.append(writer)
            return
        try:
            writer.write(self._answer)
            await writer.drain()
        except ConnectionError:
            pass
        if self._answer == UNTERMINATED_LINE:
            self._open_writers.append(writer)
            return
        writer.close()

    async def close(self):
        self._server.close()
        for writer in self._open_writers:
            writer.transport.abort()


def make_order():
    headers = calls.CallHeaders()
    body = b'{"prompt": "a"}'
    request = calls.make_request("drafting", headers, body, "a", True)
    return work.WorkOrder(
        dataclasses.replace(request, deadline_s=FIRST_TOKEN_TIMEOUT_S), 1, "entry", 1
    )


async def run_engine(name, answer, refuse=False):
    """Returns the replies, and the error if there was one."""
    fake = FakeEngine(answer)
    await fake.start()
    if refuse:
        await fake.close()
    engine = engines.make_engine(name, fake.address)
    replies = []
    failure = None
    try:
        async for reply in engine.run(make_order()):
            replies.append(reply)
    except errors.BackendServerFailedError as error:
        failure = error
    engine.close()
    await fake.close()
    return replies, failure


def run_bounded(coroutine):
    async def bounded():
        return await asyncio.wait_for(coroutine, WAIT_S)

    return asyncio.run(bounded())


async def send_order(answer):
    """Returns what an engine's client makes of an answer to an order."""
    server = FakeEngine(answer)
    await server.start()
    dialect = enginedialects.get_dialect("native")
    client = engineclient.EngineClient(dialect, server.address)
    try:
        return await client.order(ORDER)
    finally:
        client.close()
        await server.close()

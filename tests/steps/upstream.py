import asyncio
import collections
import contextlib
import itertools
import json
import socket
import struct
import time

import behave
from support import gatewayhost

from lycheegauge import errors
from lycheegauge.internal.daemons import engineclient
from lycheegauge.internal.protocol import enginedialects, maporders
from lycheegauge.internal.transport import upstream

BODY = b"0123456789"
HEAD = b"HTTP/1.1 200 OK\r\n"
SIZED = HEAD + b"Content-Length: 10\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = SIZED + BODY

# What is sent, and whether the server then closes or resets the connection.
RESPONSES = {
    "a whole answer": (WHOLE, ""),
    "a whole answer in chunks": (
        CHUNKED + b"4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", "",
    ),
    "a whole answer and says close": (
        HEAD + b"Connection: close\r\nContent-Length: 10\r\n\r\n" + BODY, "close",
    ),
    "an answer without a length": (HEAD + b"\r\n" + BODY, "close"),
    "an answer without a length, reset": (HEAD + b"\r\n" + BODY, "reset"),
    "half of an answer": (SIZED + BODY[:5], "close"),
    "half of an answer in chunks": (CHUNKED + b"4\r\n0123\r\n6\r\n45", "close"),
    "bytes that are no answer": (b"\x00\x01 not http\r\n\r\n", ""),
    "two answers": (WHOLE + WHOLE, ""),
    "nothing, and closes": (b"", "close"),
    "a whole answer and later another": (WHOLE, "again"),
    "idle": (HEAD + b"Keep-Alive: timeout=1\r\nContent-Length: 10\r\n\r\n" + BODY, ""),
}  # fmt: skip


class Server:
    """Answers every request with the same bytes."""

    def __init__(self, sent, ending):
        self.sent, self.ending = sent, ending
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(self.sent)
                await writer.drain()
                if self.ending == "again":
                    await asyncio.sleep(0.05)
                    writer.write(self.sent)
                if self.ending == "reset":
                    # The bytes must arrive first: a reset discards unread data.
                    await asyncio.sleep(0.05)
                    opened = writer.get_extra_info("socket")
                    no_linger = struct.pack("ii", 1, 0)
                    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
                    writer.transport.abort()
                    return
                if self.ending == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def send_request(pool, address, request_id=""):
    connection = await pool.acquire("server", address, request_id)
    try:
        head = upstream.RequestHead("GET", "/", (("Host", "s"),))
        connection.send(head, b"", request_id)
        await connection.read_head()
        body = b""
        while part := await connection.read_chunk():
            body += part
    except errors.BackendServerFailedError:
        connection.abort()
        return "breaks off", connection
    assert body == BODY, body
    pool.release("server", connection)
    return "is whole", connection


async def run_requests(name, request_count=1, pause_s=0.1, ids=()):
    server, pool = Server(*RESPONSES[name]), upstream.ConnectionPool()
    address = await server.start()
    outcomes = []
    for request_id, _ in itertools.zip_longest(ids, range(request_count), fillvalue=""):
        outcome, connection = await send_request(pool, address, request_id)
        if pause_s:
            await asyncio.sleep(pause_s)
        outcomes.append((outcome, connection.is_usable))
    pool.close()
    server.server.close()
    return outcomes, server.connections


@behave.given("a backend server that sends {sent}")
def keep_sent(context, sent):
    context.sent = sent


@behave.given("a backend server that keeps idle connections for one second")
def keep_idle(context):
    context.sent = "idle"


@behave.then("the answer {outcome}")
def check_outcome(context, outcome):
    outcomes, _ = asyncio.run(run_requests(context.sent))
    context.kept = outcomes[0][1]
    assert outcomes[0][0] == outcome, outcomes


@behave.then("the connection is {kept}")
def check_kept(context, kept):
    assert context.kept == (kept == "kept")


@behave.then("the second request opens a new connection")
def check_late(context):
    outcomes, connections = asyncio.run(
        run_requests(context.sent, request_count=2, pause_s=0.2)
    )
    assert [outcome for outcome, _ in outcomes] == ["is whole", "is whole"]
    assert connections == 2


@behave.then("a request sent at once opens a new connection")
def check_immediate(context):
    outcomes, connections = asyncio.run(
        run_requests(context.sent, request_count=2, pause_s=0)
    )
    assert [outcome for outcome, _ in outcomes] == ["is whole", "is whole"], outcomes
    assert connections == 2


@behave.then("a request after that second opens a new connection")
def check_idle(context):
    _, connections = asyncio.run(
        run_requests(context.sent, request_count=2, pause_s=0.1)
    )
    assert connections == 1, "the idle connection was not reused within its time-out"
    _, connections = asyncio.run(
        run_requests(context.sent, request_count=2, pause_s=1.0)
    )
    assert connections == 2


ENGINE_REPORT = {
    "server": "rank-0", "group": "g", "epoch": 1, "rank": 0, "size": 2,
    "is_open": True, "step": 7,
}  # fmt: skip
ENGINE_DOCUMENTS = {
    "/v1/rank": ("report", ENGINE_REPORT),
    "/v1/rank/counts": ("counts", [3, 1, 2]),
    "/v1/rank/experts": ("experts", [[0, 1], [1, 0]]),
}


def make_engine_reply(document, is_faulty, fault):
    whole = json.dumps(document).encode()
    if not is_faulty:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(whole)
        return gatewayhost.Reply(head + whole)
    if "refused" in fault:
        body = whole if "whole" in fault else b""
        head = b"HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n" % len(body)
        return gatewayhost.Reply(head + body)
    part = whole[:-2] if "within" in fault else b""
    return gatewayhost.Reply(HEAD + b"\r\n" + part, "close")


async def observe_engine(faulty, fault):
    def reply(fields, target):
        name, document = ENGINE_DOCUMENTS[target]
        return make_engine_reply(document, name == faulty, fault)

    server = gatewayhost.ScriptedServer(reply)
    await server.start()
    client = engineclient.EngineClient(
        enginedialects.get_dialect("native"), server.address
    )
    try:
        question = maporders.EngineQuestion(counts=True, experts=True)
        return await client.observe(question)
    finally:
        client.close()
        await server.close()


@behave.given("an engine whose {document} {fault}")
def make_faulty_engine(context, document, fault):
    report = asyncio.run(observe_engine("", ""))
    assert report.counts == (3, 1, 2) and len(report.experts) == 2, report
    context.faulty, context.fault = document, fault


@behave.then("reading the engine's state fails")
def check_engine_fault(context):
    try:
        report = asyncio.run(observe_engine(context.faulty, context.fault))
    except errors.LycheegaugeError:
        return
    raise AssertionError(f"read as {report}")


class RefusingEngine(gatewayhost.ScriptedServer):
    """Accepts its first order only; then sends an answer of one kind once more.

    Attributes:
        connections: How often each connection was used.
    """

    def __init__(self, repeated_target=None):
        super().__init__(self.reply)
        self.repeated_target = repeated_target
        self.late = {}
        self.has_accepted = False
        self.connections = collections.Counter()

    def reply(self, fields, target):
        connection = asyncio.current_task()
        self.connections[connection] += 1
        status, body = b"200 OK", json.dumps(ENGINE_REPORT).encode()
        if "content-length" in fields:
            status, body = b"409 Conflict" if self.has_accepted else status, b""
            self.has_accepted = True
        head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        late = self.late.pop(connection, b"")
        if target == self.repeated_target and self.has_accepted:
            self.late[connection], self.repeated_target = head + body, None
        return gatewayhost.Reply(late + head + body)


@behave.given(
    "an engine that sends its {answer} once more when the next request arrives"
)
def make_repeating_engine(context, answer):
    dialect = enginedialects.get_dialect("native")
    sent = maporders.MapOrder(maporders.MapOrderKind.GO, 1, 1, step=5)
    call = dialect.make_report_call()
    if answer == "answer to an order":
        call = dialect.encode_order(sent)
    context.engine = RefusingEngine(call.target)


@behave.given("an engine that refuses orders")
def make_refusing_engine(context):
    context.engine = RefusingEngine()


async def run_engine(engine, count, reads_first):
    """Sends orders; reads the state before those that ``reads_first`` names."""
    await engine.start()
    dialect = enginedialects.get_dialect("native")
    client = engineclient.EngineClient(dialect, engine.address)
    sent = maporders.MapOrder(maporders.MapOrderKind.GO, 1, 1, step=5)
    outcomes = []
    try:
        for number in range(count):
            if reads_first(number):
                with contextlib.suppress(errors.LycheegaugeError):
                    await client.observe(maporders.EngineQuestion(counts=False))
            outcomes.append((await client.order(sent)).outcome)
        return outcomes
    finally:
        client.close()
        await engine.close()


@behave.then("an order that it refuses is not reported as done")
def check_second_order(context):
    for reads_first in (lambda number: True, lambda number: not number):
        engine = RefusingEngine(context.engine.repeated_target)
        outcomes = asyncio.run(run_engine(engine, 4, reads_first))
        assert maporders.MapOrderOutcome.DONE not in outcomes[1:], outcomes
        assert maporders.MapOrderOutcome.CONFLICT in outcomes, outcomes


@behave.then(
    "twenty orders, some of them one right after the other, use one connection"
)
def check_connections(context):
    outcomes = asyncio.run(run_engine(context.engine, 20, lambda number: number % 3))
    assert outcomes[1:] == [maporders.MapOrderOutcome.CONFLICT] * 19, outcomes
    assert len(context.engine.connections) == 1


@behave.then("an order is reported as unanswered within {limit_s:f} seconds")
def check_silent_engine(context, limit_s):
    # A switch may send up to about ten orders in a row to each rank, and a pause
    # between events of more than 0.12 s is late.
    async def order():
        server = Server(b"", "")
        dialect = enginedialects.get_dialect("native")
        client = engineclient.EngineClient(dialect, await server.start())
        began = time.monotonic()
        sent = maporders.MapOrder(maporders.MapOrderKind.GO, 1, 1, step=5)
        reply = await client.order(sent)
        took_s = time.monotonic() - began
        client.close()
        server.server.close()
        return reply.outcome, took_s

    outcome, took_s = asyncio.run(order())
    assert outcome is maporders.MapOrderOutcome.UNANSWERED
    assert took_s < limit_s, took_s


@behave.then(
    "a connection is closed after {count:d} requests with ids, not without them"
)
def check_request_limit(context, count):
    async def run(ids):
        return await run_requests(context.sent, count + 1, pause_s=0, ids=ids)

    named, connections = asyncio.run(run([f"id-{n}" for n in range(count + 1)]))
    assert connections == 2
    assert [usable for _, usable in named] == [True] * (count - 1) + [False, True]
    _, connections = asyncio.run(run([]))
    assert connections == 1


@behave.then("open connections are counted until they are closed")
def check_count(context):
    async def check():
        server = Server(WHOLE, "")
        address = await server.start()
        pool = upstream.ConnectionPool()
        opened = [await pool.acquire("server", address) for _ in range(3)]
        assert pool.count_open("server") == 3 and not pool.has_idle("server")
        for connection in opened[:2]:
            connection.abort()
        pool.release("server", opened[2])
        await asyncio.sleep(0.05)
        assert pool.count_open("server") == 1 and pool.has_idle("server")
        pool.close()
        await asyncio.sleep(0.05)
        assert pool.count_open("server") == 0
        server.server.close()

    asyncio.run(check())

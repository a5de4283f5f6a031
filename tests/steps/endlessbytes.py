import asyncio
import contextlib
import socket
import time

import behave
from support import engineservers, gatewayhost

from lycheegauge import errors
from lycheegauge.internal.daemons import engineclient, lateanswers
from lycheegauge.internal.protocol import enginedialects, maporders
from lycheegauge.internal.transport import engines

MB = 1_000_000
PART = b"x" * 65_536
REFUSAL = b"HTTP/1.1 503 Full\r\nLycheegauge-Not-Run: 1\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
HEADS = {
    "a stated length": b"Content-Length: 100000000000\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "neither": b"\r\n",
}
DIALECT_NAME = "native"


class EndlessServer:
    """Sends ``head`` and then ``part`` again and again until the connection closes.

    Attributes:
        sent_bytes: What the other side has taken in, apart from socket buffers.
    """

    def __init__(self, head, part):
        self.head, self.part = head, part
        self.sent_bytes = 0
        self.address = ""
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        # Otherwise megabytes that the other side never reads would be buffered here.
        for listener in self._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, len(PART))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while not writer.is_closing():
                writer.write(self.part)
                await writer.drain()
                self.sent_bytes += len(self.part)
        writer.close()


def encode_chunk(part):
    return b"%x\r\n%b\r\n" % (len(part), part)


async def call_gateway(context, server, repetition):
    host = gatewayhost.GatewayHost([server], repetition, attempts_max=1)
    await host.start()
    began_at = time.monotonic()
    try:
        context.received = await gatewayhost.call(host.address)
        context.took_s = time.monotonic() - began_at
    finally:
        await host.close()
    context.taken_bytes = server.sent_bytes


@behave.given("a server that refuses a request and then sends {framing} without end")
def refuse_endlessly(context, framing):
    part = encode_chunk(PART) if framing == "chunks" else PART
    server = EndlessServer(REFUSAL + HEADS[framing], part)
    asyncio.run(call_gateway(context, server, "safe"))


@behave.then("its caller is refused within {limit_s:d} second")
def check_refused(context, limit_s):
    assert context.received.status == 503, context.received
    assert context.took_s < limit_s, context.took_s


@behave.then("the entry host took in less than {limit_mb:d} MB")
def check_taken(context, limit_mb):
    assert context.taken_bytes < limit_mb * MB, context.taken_bytes


@behave.given("a server that sends informational responses without end")
def inform_endlessly(context):
    server = EndlessServer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
    asyncio.run(call_gateway(context, server, "unsafe"))


@behave.then("its request ends with status {status:d} within {limit_s:d} second")
def check_status(context, status, limit_s):
    assert context.received.status == status, context.received
    assert context.took_s < limit_s, context.took_s


@behave.given("a {repetition} route whose server sends an event without end")
def send_endless_event(context, repetition):
    head = STREAM + HEADS["chunks"] + encode_chunk(b"id: 1\ndata: ")
    asyncio.run(
        call_gateway(context, EndlessServer(head, encode_chunk(PART)), repetition)
    )


@behave.then("its caller gets no complete answer within {limit_s:d} second")
def check_no_answer(context, limit_s):
    received = context.received
    assert received.status == 502 or received.end == "broken", received.status
    assert context.took_s < limit_s, context.took_s


@behave.given("an engine whose report has no end")
def report_endlessly(context):
    async def observe():
        server = EndlessServer(
            b"HTTP/1.1 200 OK\r\n" + HEADS["chunks"], encode_chunk(PART)
        )
        await server.start()
        dialect = enginedialects.get_dialect(DIALECT_NAME)
        client = engineclient.EngineClient(dialect, server.address)
        try:
            await client.observe(maporders.EngineQuestion(counts=False, experts=False))
        except errors.LycheegaugeError as error:
            context.error = error
        finally:
            client.close()
            await server.close()
        context.taken_bytes = server.sent_bytes

    context.error = None
    asyncio.run(observe())


@behave.then("its client reports a failure having read less than {limit_mb:d} MB")
def check_report(context, limit_mb):
    assert isinstance(context.error, errors.BackendServerFailedError), context.error
    assert context.taken_bytes < limit_mb * MB, context.taken_bytes


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_PARTS = {
    "a status line": (b"HTTP/1.1 200 ", PART),
    "a header": (HEAD + b"X-Long: ", PART),
    "headers": (HEAD, b"X-Many: 1\r\n" * 1000),
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "a body without a length": (HEAD + b"\r\n", PART),
    "a chunk size": (CHUNKED, b"0" * len(PART)),
    "chunks": (CHUNKED, encode_chunk(PART)),
    "trailers": (CHUNKED + b"0\r\n", b"X-Many: 1\r\n" * 1000),
}
RUN_LIMIT_S = 10.0


async def measure(part, call):
    """Returns what a server sends until a client's call ends, and whether it failed."""
    server = EndlessServer(*ENDLESS_PARTS[part])
    await server.start()
    has_failed = False
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            await call(server.address)
    except errors.LycheegaugeError:
        has_failed = True
    finally:
        await server.close()
    return server.sent_bytes, has_failed


@behave.given("an engine that sends {part} without end")
def choose_part(context, part):
    context.part = part


async def run_engine(name, address):
    engine = engines.make_engine(name, address)
    try:
        async for _ in engine.run(engineservers.make_order()):
            pass
    finally:
        engine.close()


async def cancel_completion(address):
    engine = engines.make_engine("completions", address)
    try:
        await engine.cancel("request")
    finally:
        engine.close()


@behave.then(
    "a plain service's run reads its size limit, and a completion and its cancelling"
    " less than {limit_mb:d} MB"
)
def check_runs(context, limit_mb):
    for name in ("plain", "completions"):
        taken, has_failed = asyncio.run(
            measure(context.part, lambda address, name=name: run_engine(name, address))
        )
        assert has_failed, (name, taken)
        # Its connection holds some more bytes than the adapter.
        allowed = engines.MAX_RESPONSE_BYTES + 1 * MB if name == "plain" else 0
        assert taken < max(limit_mb * MB, allowed), (name, taken)
    taken, _ = asyncio.run(measure(context.part, cancel_completion))
    assert taken < limit_mb * MB, ("cancel", taken)


@behave.then(
    "an order to it and a question for its state each read less than {limit_mb:d} MB"
)
def check_engine_client(context, limit_mb):
    question = maporders.EngineQuestion(counts=False, experts=False)
    order = maporders.MapOrder(maporders.MapOrderKind.GO, 1, 1, step=5)

    async def ask(address, is_order):
        dialect = enginedialects.get_dialect(DIALECT_NAME)
        client = engineclient.EngineClient(dialect, address)
        try:
            if is_order:
                reply = await client.order(order)
                assert reply.outcome is maporders.MapOrderOutcome.UNANSWERED, reply
            else:
                await client.observe(question)
        finally:
            client.close()

    for is_order in (False, True):
        taken, has_failed = asyncio.run(
            measure(context.part, lambda address, is_it=is_order: ask(address, is_it))
        )
        assert has_failed != is_order
        assert taken < limit_mb * MB, (is_order, taken)


class LateServer(EndlessServer):
    """Begins to send once its request was given up."""

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            # The other side ends its direction when it gives up.
            await reader.read()
            writer.write(self.head)
            while not writer.is_closing():
                writer.write(self.part)
                await writer.drain()
                self.sent_bytes += len(self.part)
        writer.close()


@behave.given("a server that sends {part} without end after its request was given up")
def send_late(context, part):
    async def leave():
        server = LateServer(*ENDLESS_PARTS[part])
        host = gatewayhost.GatewayHost([server], "unsafe", attempts_max=1)
        await host.start()
        try:
            address, port = host.address.split(":")
            _, writer = await asyncio.open_connection(address, int(port))
            writer.write(f"GET / HTTP/1.1\r\nHost: {gatewayhost.HOST}\r\n\r\n".encode())
            await asyncio.sleep(0.1)
            # The caller leaves, so that the attempt is given up.
            writer.transport.abort()
            await asyncio.sleep(2 * lateanswers.LISTEN_S)
        finally:
            await host.close()
        context.taken_bytes = server.sent_bytes
        assert server.sent_bytes > 0

    asyncio.run(leave())

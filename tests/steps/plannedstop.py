import asyncio
import contextlib
import random
import socket
import time

import behave
from support import gatewayhost, processes

from lycheegauge import settings
from lycheegauge.internal.daemons import entry, gateway
from lycheegauge.internal.protocol import calls, work

STEP_S = 0.05
HEAD = f"POST / HTTP/1.1\r\nHost: {gatewayhost.HOST}\r\nContent-Length: 4\r\n\r\n"
REQUEST = HEAD.encode() + b"body"
STREAM_REQUEST = REQUEST.replace(b"POST / ", b"POST /stream ")
LARGE_REQUEST = REQUEST.replace(b"POST / ", b"POST /large ")
UNFRAMED_REQUEST = REQUEST.replace(b"POST / ", b"POST /unframed ")
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LARGE_BODY = b"x" * 3_000_000
PIECES = 8
LOAD_TIMEOUT_S = 30.0


class SlowServer:
    """Answers after a delay; ``/stream`` sends pieces for twice as long."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.arrivals = []
        self.address = ""
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                self.arrivals.append(time.monotonic())
                await asyncio.sleep(self.delay_s)
                await self._answer(head, writer)
        writer.close()

    async def _answer(self, head, writer):
        if b" /stream " in head:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(PIECES):
                writer.write(b"2\r\nok\r\n")
                await asyncio.sleep(2 * self.delay_s / PIECES)
            writer.write(b"0\r\n\r\n")
        elif b" /large " in head:
            length = len(LARGE_BODY)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
            writer.write(LARGE_BODY)
        elif b" /unframed " in head:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nok")
            await writer.drain()
            writer.close()
        else:
            writer.write(ANSWER)


class Caller:
    """One connection of a caller."""

    def __init__(self, address):
        self._host, port = address.split(":")
        self._port = int(port)

    async def open(self):
        # With the default limit the client would read ahead.
        self.reader, self.writer = await asyncio.open_connection(
            self._host, self._port, limit=1024
        )
        return self

    async def ask(self, request=REQUEST):
        self.writer.write(request)
        return await self.read()

    async def read(self):
        try:
            async with asyncio.timeout(gatewayhost.CALLER_TIMEOUT_S):
                return await gatewayhost.read_response(self.reader)
        except ConnectionError:
            return gatewayhost.Received(0, {}, b"", "broken")

    def close(self):
        self.writer.close()


def is_complete(received):
    return received.status in (200, 503) and received.end != "broken"


@behave.given("an entry host before a server that answers after {delay_s:g} seconds")
def make_host(context, delay_s):
    context.server = SlowServer(delay_s)
    context.make_host = lambda: gatewayhost.GatewayHost(
        [context.server], "unsafe", attempts_max=1
    )


POINTS = {}


def at_point(point):
    def register(go_on):
        POINTS[point] = go_on
        return go_on

    return register


async def drain_while(host, finish_request):
    """Drains while a request goes on.

    Returns:
        The response, and the seconds from its end to the end of the stop.
    """
    draining = asyncio.create_task(host.finish_drain())
    await asyncio.sleep(STEP_S)
    received = await finish_request
    ended_at = time.monotonic()
    async with asyncio.timeout(gatewayhost.CALLER_TIMEOUT_S):
        await draining
    return received, time.monotonic() - ended_at


@at_point("waits in the accept queue")
async def stop_with_queued_connection(host):
    # The system connects it, and nothing is accepted before the stop goes on.
    name, port = host.address.split(":")
    connected = socket.create_connection((name, int(port)))
    connected.sendall(REQUEST)
    draining = asyncio.create_task(host.finish_drain())
    caller = Caller(host.address)
    caller.reader, caller.writer = await asyncio.open_connection(sock=connected)
    received = await caller.read()
    ended_at = time.monotonic()
    await draining
    return received, time.monotonic() - ended_at


@at_point("has not been sent on its new connection")
async def stop_with_new_connection(host):
    caller = await Caller(host.address).open()
    await asyncio.sleep(STEP_S)
    return await drain_while(host, caller.ask())


async def stop_within_request(host, sent_bytes):
    caller = await Caller(host.address).open()
    caller.writer.write(REQUEST[:sent_bytes])
    await asyncio.sleep(STEP_S)
    return await drain_while(host, caller.ask(REQUEST[sent_bytes:]))


@at_point("is sent up to the middle of its head")
async def stop_within_head(host):
    return await stop_within_request(host, len(HEAD) // 2)


@at_point("is sent up to the middle of its body")
async def stop_within_body(host):
    return await stop_within_request(host, len(HEAD) + 2)


async def stop_after_sending(host, request, wait_s=STEP_S):
    caller = await Caller(host.address).open()
    caller.writer.write(request)
    await asyncio.sleep(wait_s)
    return await drain_while(host, caller.read())


@at_point("is at the server")
async def stop_at_server(host):
    return await stop_after_sending(host, REQUEST)


@at_point("is answered in part")
async def stop_in_answer(host):
    return await stop_after_sending(host, STREAM_REQUEST, 0.3)


@at_point("is an answer without a length")
async def stop_in_unframed_answer(host):
    return await stop_after_sending(host, UNFRAMED_REQUEST)


@at_point("is read slowly by its caller")
async def stop_with_slow_reader(host):
    caller = await Caller(host.address).open()
    caller.writer.transport.pause_reading()
    caller.writer.write(LARGE_REQUEST)
    await asyncio.sleep(0.5)

    async def read_late():
        await asyncio.sleep(0.5)
        caller.writer.transport.resume_reading()
        return await caller.read()

    return await drain_while(host, read_late())


@at_point("follows a stream on the same connection")
async def stop_before_next_request(host):
    # The head of the stream was sent before the stop began.
    caller = await Caller(host.address).open()
    caller.writer.write(STREAM_REQUEST)
    await asyncio.sleep(0.3)
    host.start_drain()

    async def ask_next():
        received = await caller.read()
        assert is_complete(received), received
        return await caller.ask()

    return await drain_while(host, ask_next())


@at_point("follows 0.1 s after an answer")
async def stop_before_late_request(host):
    caller = await Caller(host.address).open()
    caller.writer.write(STREAM_REQUEST)
    await asyncio.sleep(0.3)
    host.start_drain()

    async def ask_next():
        received = await caller.read()
        assert is_complete(received), received
        await asyncio.sleep(0.1)
        return await caller.ask()

    return await drain_while(host, ask_next())


@behave.when("the host stops accepting while a caller's request {point}")
def stop_at(context, point):
    async def run():
        host = context.make_host()
        await host.start()
        if "on the same connection" not in point and "after an answer" not in point:
            # The other points set up a request before the stop begins.
            host.start_drain()
        try:
            context.received, context.drained_s = await POINTS[point](host)
            context.connections = host.count_connections()
        finally:
            await host.close()

    asyncio.run(run())


@behave.then("that caller gets a complete answer")
def check_answer(context):
    assert is_complete(context.received), context.received


@behave.then("the host has no connection left within {limit_s:d} seconds")
def check_drained(context, limit_s):
    assert context.connections == 0, context.connections
    assert context.drained_s < limit_s, context.drained_s


@behave.when("the host stops accepting while a stream runs on another connection")
def stop_beside_stream(context):
    async def run():
        host = context.make_host()
        await host.start()
        try:
            kept = await Caller(host.address).open()
            assert is_complete(await kept.ask())
            streaming = await Caller(host.address).open()
            streaming.writer.write(STREAM_REQUEST)
            await asyncio.sleep(STEP_S)
            host.start_drain()
            draining = asyncio.create_task(host.finish_drain())
            await asyncio.sleep(STEP_S)
            context.arrivals = len(context.server.arrivals)
            context.received = await kept.ask()
            context.streamed = await streaming.read()
            await draining
        finally:
            await host.close()

    asyncio.run(run())


@behave.then(
    "a request on a kept connection is refused as not run with Connection: close"
)
def check_refused(context):
    assert context.received.status == 503, context.received
    assert context.received.headers["connection"] == "close", context.received
    assert float(context.received.headers["retry-after"]) < 0.5, context.received
    assert context.streamed.status == 200, context.streamed
    assert context.streamed.end == "framed", context.streamed


@behave.then("the server got no request after that")
def check_not_sent(context):
    assert len(context.server.arrivals) == context.arrivals


@behave.when("the host stops accepting with {count:d} idle connections")
def stop_with_idle(context, count):
    async def run():
        host = context.make_host()
        await host.start()
        try:
            for index in range(count):
                caller = await Caller(host.address).open()
                if index % 2:
                    await caller.ask()
            host.start_drain()
            began_at = time.monotonic()
            await host.finish_drain()
            context.drained_s = time.monotonic() - began_at
            context.connections = host.count_connections()
        finally:
            await host.close()

    asyncio.run(run())


async def keep_asking(host, source, received):
    """Asks on kept and new connections until the host accepts no more."""
    requests = (REQUEST, REQUEST, STREAM_REQUEST, LARGE_REQUEST, UNFRAMED_REQUEST)
    while True:
        try:
            caller = await Caller(host.address).open()
        except OSError:
            return
        while True:
            await asyncio.sleep(source.uniform(0.0, 0.05))
            if caller.reader.at_eof():
                # The close was there before the request.
                break
            answer = await caller.ask(source.choice(requests))
            received.append(answer)
            is_kept = answer.headers.get("connection") != "close"
            if not (is_kept and answer.end == "framed"):
                break
        caller.close()


@behave.then(
    "{callers:d} callers get only complete answers during a stop with seed {seed:d}"
)
def check_load(context, callers, seed):
    source = random.Random(seed)
    received = []

    async def run():
        context.server = SlowServer(0.02)
        host = gatewayhost.GatewayHost([context.server], "unsafe", attempts_max=1)
        await host.start()
        tasks = [
            asyncio.create_task(keep_asking(host, source, received))
            for _ in range(callers)
        ]
        try:
            # A slow machine takes longer for as many requests.
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                while len(received) < 5 * callers:
                    await asyncio.sleep(STEP_S)
            await asyncio.sleep(source.uniform(0.0, 0.2))
            context.before_stop = len(received)
            host.start_drain()
            await asyncio.sleep(source.uniform(0.1, 0.5))
            async with asyncio.timeout(gatewayhost.CALLER_TIMEOUT_S):
                await host.finish_drain()
            context.connections = host.count_connections()
        finally:
            await host.close()
        async with asyncio.timeout(gatewayhost.CALLER_TIMEOUT_S):
            await asyncio.gather(*tasks)

    asyncio.run(run())
    cut = [item for item in received if not is_complete(item)]
    assert len(received) > context.before_stop >= 5 * callers, len(received)
    assert not cut, (len(cut), len(received), cut[0].status, cut[0].end)
    assert context.connections == 0, context.connections


@behave.given("an entry host whose last pull takes {pull_s:g} seconds")
def make_slow_pull(context, pull_s):
    context.pull_s = pull_s


@behave.when("it is told to stop")
def stop_slowly(context):
    async def stop():
        port = processes.reserve_ports(1)[0]
        part = settings.GatewaySettings(
            name="gateway-1", availability_zone="zone-a",
            caller_address="127.0.0.1:0", readiness_address="127.0.0.1:0",
            peer_address=f"127.0.0.1:{port}",
            roster={"seed_hosts": ("127.0.0.9:1",)},
        )  # fmt: skip
        daemon = gateway.GatewayDaemon(part)

        async def pull_once():
            await asyncio.sleep(context.pull_s)
            return True

        daemon._pull_once = pull_once
        began_at = time.monotonic()
        draining = asyncio.create_task(daemon.drain())
        while not daemon.forwarder.refuses_requests:
            await asyncio.sleep(0.01)
        context.refused_after_s = time.monotonic() - began_at
        await draining
        await daemon.close()

    asyncio.run(stop())


@behave.then(
    "it refuses requests {accept_s:g} seconds after the signal, and not much earlier"
)
def check_border(context, accept_s):
    # The time until the timers of a busy host have run.
    assert accept_s - 0.1 <= context.refused_after_s < accept_s + 0.3


@behave.given(
    "an entry host with agents that has stopped accepting and still runs a request"
)
def stop_entry_host(context):
    async def stop():
        part = settings.EntrySettings(
            name="own", availability_zone="zone-1", caller_address="127.0.0.1:0",
            operator_address="127.0.0.1:0", peer_address="127.0.0.1:7300",
            log_hosts=("127.0.0.1:7300",), answer_valid_s=0.1,
        )  # fmt: skip
        daemon = entry.EntryDaemon(part)
        # Its lease is valid, and one session runs.
        daemon.follower.lease.allows_start = lambda now: True
        daemon.sessions.add(asyncio.create_task(asyncio.sleep(60.0)))
        draining = asyncio.create_task(daemon.drain())
        await asyncio.sleep(part.answer_valid_s + 2 * entry.PULL_INTERVAL_S + 1.0)
        request = calls.make_request("drafting", calls.CallHeaders(), b"{}", "a", True)
        session = daemon.open_session(request)
        replies = []
        if isinstance(session, entry.RefusedSession):
            replies = [reply async for reply in session.replies()]
        for task in (draining, *daemon.sessions):
            task.cancel()
        return replies

    context.replies = asyncio.run(stop())


@behave.then(
    "a request on a kept connection is refused as not run, with a time to retry"
)
def check_late_session(context):
    assert len(context.replies) == 1, "the request was run"
    refusal = context.replies[0].refusal
    assert refusal.reason is work.RefusalReason.STOPPING
    assert refusal.run_state is work.RunState.NOT_RUN
    assert refusal.retry_after_s > 0.0

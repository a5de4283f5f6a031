import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import behave
from support import gatewayhost, hedging

from lycheegauge.internal.coordination import serverstatements
from lycheegauge.internal.protocol import roster

LEAVING = b"Lycheegauge-Server-Leaving: 1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
LENGTH = b"Content-Length: %d\r\n\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
ANSWERS = {
    "success": OK + LEAVING + LENGTH % 2 + b"ok",
    "refusal": b"HTTP/1.1 503 Full\r\nLycheegauge-Not-Run: 1\r\n"
    + LEAVING
    + LENGTH % 0,
    "failure": b"HTTP/1.1 500 Failed\r\n" + LEAVING + LENGTH % 5 + b"sorry",
    "stream": OK + EVENT_STREAM + LEAVING + LENGTH % len(EVENTS) + EVENTS,
    "unframed success": OK + LEAVING + b"\r\nok",
}
WHOLE_INTERVAL = (0.0, 1.0)


class TalkingServer(gatewayhost.ScriptedServer):
    """Answers with the same bytes; records when requests arrive."""

    def __init__(self, sent):
        super().__init__(self.reply)
        self.sent = sent
        self.arrivals = []

    def reply(self, fields, target):
        self.arrivals.append(time.monotonic())
        is_framed = b"Content-Length" in self.sent
        return gatewayhost.Reply(self.sent, "keep" if is_framed else "close")


class StreamingServer(TalkingServer):
    """Sends a stream of two events with a pause between them."""

    PAUSE_S = 0.3

    async def _serve(self, reader, writer):
        self._connections[asyncio.current_task()] = writer
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.arrivals.append(time.monotonic())
                head, _, body = self.sent.partition(b"\r\n\r\n")
                writer.write(head + b"\r\n\r\n" + body[: len(body) // 2])
                await asyncio.sleep(self.PAUSE_S)
                writer.write(body[len(body) // 2 :])
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


class LateServer(TalkingServer):
    """Answers after a pause, also to a host that has closed its side."""

    PAUSE_S = 0.3

    def __init__(self, sent):
        super().__init__(sent)
        self.answered_at = []

    async def _serve(self, reader, writer):
        self._connections[asyncio.current_task()] = writer
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.arrivals.append(time.monotonic())
                await asyncio.sleep(self.PAUSE_S)
                self.answered_at.append(time.monotonic())
                writer.write(self.sent)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


SOUND = OK + LENGTH % 2 + b"ok"


@behave.given("a server that says in a {answer} that it leaves, beside another")
def make_leaving(context, answer):
    context.repetition = "resumable_stream" if "stream" in answer else "safe"
    sent = ANSWERS[answer.removeprefix("slow ")]
    server_class = StreamingServer if answer.startswith("slow") else TalkingServer
    sound = ANSWERS["stream"].replace(LEAVING, b"") if "stream" in answer else SOUND
    context.servers = [server_class(sent), TalkingServer(sound)]


@behave.given("servers that all say that they leave")
def make_all_leaving(context):
    context.repetition = "safe"
    context.servers = [TalkingServer(ANSWERS["success"]) for _ in range(2)]


def make_refusal(wait_s):
    return (
        b"HTTP/1.1 503 Full\r\nLycheegauge-Not-Run: 1\r\n"
        + f"Retry-After: {wait_s}\r\n".encode()
        + LENGTH % 0
    )


@behave.given("a server that refuses with Retry-After {wait_s:g}, beside another")
def make_refusing(context, wait_s):
    context.repetition = "safe"
    context.servers = [TalkingServer(make_refusal(wait_s)), TalkingServer(SOUND)]


@behave.given("servers that all refuse with Retry-After {wait_s:g}")
def make_all_refusing(context, wait_s):
    context.repetition = "safe"
    context.servers = [TalkingServer(make_refusal(wait_s)) for _ in range(2)]


@behave.given(
    "a server that refuses with Retry-After {wait_s:g} after {late_s:g} seconds, "
    "beside two others"
)
def make_refusing_late(context, wait_s, late_s):
    context.repetition = "safe"
    context.servers = [LateServer(make_refusal(wait_s)), LateServer(SOUND)]
    context.servers.append(LateServer(SOUND))
    for server in context.servers:
        server.PAUSE_S = late_s


@behave.given(
    "a server that says after {late_s:g} seconds that it leaves, beside two others"
)
def make_leaving_late(context, late_s):
    context.repetition = "safe"
    context.servers = [LateServer(ANSWERS["success"]), LateServer(SOUND)]
    context.servers.append(LateServer(SOUND))
    for server in context.servers:
        server.PAUSE_S = late_s


@dataclasses.dataclass(frozen=True)
class Result:
    received: gatewayhost.Received
    began_at: float
    took_s: float


@behave.when("callers send {rate:d} requests a second for {duration_s:d} seconds")
@behave.when("callers send {rate:d} requests a second for {duration_s:d} second")
def send_requests(context, rate, duration_s):
    async def ask(host):
        began_at = time.monotonic()
        received = await gatewayhost.call(host.address)
        context.results.append(Result(received, began_at, time.monotonic() - began_at))

    async def send_all():
        host = gatewayhost.GatewayHost(
            context.servers, context.repetition, attempts_max=2
        )
        await host.start()
        host.settle()
        context.results = []
        try:
            tasks = []
            for _ in range(rate * duration_s):
                tasks.append(asyncio.create_task(ask(host)))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*tasks)
        finally:
            await host.close()

    asyncio.run(send_all())


@behave.when(
    "callers send {rate:d} requests a second for {duration_s:d} seconds and {ending} "
    "after {patience_s:g} seconds"
)
def send_impatient_requests(context, rate, duration_s, ending, patience_s):
    deadline = (("Lycheegauge-Deadline-Ms", f"{1000 * patience_s:.0f}"),)

    async def ask(host):
        if ending == "set a deadline":
            await gatewayhost.call(host.address, headers=deadline)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                await gatewayhost.call(host.address)

    async def send_all():
        host = gatewayhost.GatewayHost(
            context.servers, context.repetition, attempts_max=2
        )
        await host.start()
        host.settle()
        try:
            tasks = []
            for _ in range(rate * duration_s):
                tasks.append(asyncio.create_task(ask(host)))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*tasks)
        finally:
            await host.close()

    asyncio.run(send_all())


@behave.then(
    "the leaving server gets no request later than {limit_s:g} seconds after its first "
    "answer"
)
def check_left_alone(context, limit_s):
    server = context.servers[0]
    answered_at = getattr(server, "answered_at", server.arrivals)
    assert answered_at, "the server got no request"
    assert server.arrivals[-1] - answered_at[0] <= limit_s, server.arrivals


@behave.then("every later request is answered by the other server")
def check_answered_elsewhere(context):
    last = context.servers[0].arrivals[-1]
    later = [item for item in context.results if item.began_at > last]
    assert len(later) > 20
    assert {item.received.status for item in later} == {200}


@behave.then("every stream is complete")
def check_streams(context):
    for item in context.results:
        assert item.received.status == 200, item
        assert item.received.body == EVENTS, item


@behave.then("requests after the first answers are refused within {limit_s:g} seconds")
@behave.then("requests after the first refusals are refused within {limit_s:g} seconds")
def check_refused_at_once(context, limit_s):
    known_at = max(server.arrivals[0] for server in context.servers) + 0.1
    later = [item for item in context.results if item.began_at > known_at]
    assert len(later) > 5
    for item in later:
        assert item.received.status == 503, item
        assert item.took_s < limit_s, item
    context.later = later


@behave.then(
    "they are told to return when the first server takes requests, spread over "
    "{spread_s:g} s"
)
def check_return_time(context, spread_s):
    first_at = min(server.arrivals[0] for server in context.servers)
    returns = [
        item.began_at + float(item.received.headers["retry-after"]) - first_at
        for item in context.later
    ]
    # The host adds a spread of its own to the server's time.
    server_spread_s = 1.5 * serverstatements.SPREAD_FRACTION
    assert min(returns) >= 1.45, returns
    assert max(returns) <= 1.5 + server_spread_s + spread_s + 0.1, returns
    assert max(returns) - min(returns) > spread_s / 3, returns


@behave.then(
    "each refusal is followed by at most {most:d} requests from {start_s:g} seconds to "
    "{end_s:g} seconds"
)
def check_asked_time(context, most, start_s, end_s):
    arrivals = context.servers[0].arrivals
    for refused_at in getattr(context.servers[0], "answered_at", arrivals):
        count = sum(refused_at + start_s <= at < refused_at + end_s for at in arrivals)
        assert count <= most, (refused_at, count)


@behave.then("all of the requests are answered")
def check_answered(context):
    statuses = [item.received.status for item in context.results]
    assert set(statuses) == {200}, statuses


@behave.then("the server is tried again by one request at a time")
def check_tried_again(context):
    arrivals = context.servers[0].arrivals
    assert 2 <= len(arrivals) <= 6, arrivals


def make_server(born_ms):
    return roster.ServerListing(
        "server-1", born_ms, 1, "drafting", "127.0.0.1:1", "zone-a", 8, 0
    )


def make_statements(seed=1):
    return serverstatements.ServerStatements(random.Random(seed))


def note(statements, server, now, status=200, leaving="", retry_after=""):
    statement = serverstatements.read_statement(status, "", leaving, retry_after)
    return statements.note_answer(server, statement, WHOLE_INTERVAL, now)


@behave.then(
    "a new incarnation at the same address starts without the statements of the old"
)
def check_new_incarnation(context):
    statements = make_statements()
    old, new = make_server(1), make_server(2)
    note(statements, old, 1.0, 503, "1", "30")
    assert not statements.may_send(old.incarnation, 1.0)
    assert statements.may_send(new.incarnation, 1.0)
    assert statements.list_unreported() == (roster.Departure("server-1", 1),)
    statements.note_reported(statements.list_unreported())
    assert statements.list_unreported() == ()
    note(statements, old, 2.0, 200, "1")
    assert statements.list_unreported() == ()


@behave.then(
    "a server that is missing from the roster for a while is still known to leave"
)
def check_missing(context):
    statements, server = make_statements(), make_server(1)
    note(statements, server, 1.0, leaving="1")
    statements.remove_absent(set(), 2.0)
    assert not statements.may_send(server.incarnation, 3.0)
    waiting = make_statements()
    note(waiting, server, 1.0, 503, retry_after="10")
    waiting.remove_absent(set(), 2.0)
    assert not waiting.may_send(server.incarnation, 3.0)


@behave.then("a late answer of the old incarnation says nothing of the new one")
def check_late_answer(context):
    statements = make_statements()
    old, new = make_server(1), make_server(2)
    note(statements, new, 1.0)
    note(statements, old, 1.5, 503, "1", "30")
    assert statements.may_send(new.incarnation, 2.0)


@behave.then(
    "an answer 503 with Retry-After {text} excludes its server for {wait_s:g} seconds"
)
def check_wait(context, text, wait_s):
    statements, server = make_statements(), make_server(1)
    note(statements, server, 10.0, 503, retry_after=text)
    found_s = statements.get_wait_s(server.incarnation, 10.0)
    spread_s = min(
        serverstatements.SPREAD_MAX_S, serverstatements.SPREAD_FRACTION * wait_s
    )
    assert wait_s <= found_s <= wait_s + spread_s, found_s
    if wait_s:
        assert not statements.may_send(server.incarnation, 10.0 + 0.99 * wait_s)
    assert statements.may_send(server.incarnation, 10.0 + wait_s + spread_s)


@behave.then(
    "{hosts:d} hosts that were told {wait_s:d} seconds at once send at most {most:d} "
    "requests in any {window_s:g} s"
)
def check_storm(context, hosts, wait_s, most, window_s):
    server, sent = make_server(1), []
    known = [make_statements(seed) for seed in range(hosts)]
    for statements in known:
        note(statements, server, 0.0, 503, retry_after=str(wait_s))
    for tick in range(400):
        now = tick / 100
        for statements in known:
            # Every host has requests for it all the time.
            if statements.may_send(server.incarnation, now):
                statements.note_sent(server.incarnation)
                sent.append(now)
    assert len(sent) == hosts, len(sent)
    assert min(sent) >= wait_s
    for start in sent:
        count = sum(start <= at < start + window_s for at in sent)
        assert count <= most, (start, count)


@behave.then(
    "a server with Retry-After {text} is tried {deadline_s:d} s after its answer, "
    "and later while it repeats it"
)
def check_deadline(context, text, deadline_s):
    statements, server, now = make_statements(), make_server(1), 10.0
    statements.set_longest_deadline(deadline_s)
    waits = []
    for _ in range(3):
        note(statements, server, now, 503, retry_after=text)
        waits.append(statements.get_wait_s(server.incarnation, now))
        now += waits[-1]
        assert statements.may_send(server.incarnation, now)
    spread_s = serverstatements.SPREAD_MAX_S
    asked_s = min(float(text), serverstatements.WAIT_MAX_S)
    for wait_s, least_s in zip(waits, (deadline_s, asked_s, asked_s), strict=True):
        assert least_s <= wait_s <= least_s + spread_s, waits
    note(statements, server, now)
    note(statements, server, now, 503, retry_after=text)
    assert statements.get_wait_s(server.incarnation, now) <= deadline_s + spread_s


@behave.then("a request from before a server's wait does not end the try after it")
def check_earlier_request(context):
    statements, server = make_statements(), make_server(1)
    note(statements, server, 10.0, 503, retry_after="2")
    tried_at = 10.0 + statements.get_wait_s(server.incarnation, 10.0)
    statements.note_sent(server.incarnation)
    statements.note_ended(server.incarnation, 9.0)
    assert not statements.may_send(server.incarnation, tried_at + 0.1)
    statements.note_ended(server.incarnation, tried_at)
    assert statements.may_send(server.incarnation, tried_at + 0.2)


@behave.then(
    "a server that refuses after its copy was answered is left alone from then on"
)
def check_lost_attempt(context):
    servers = [LateServer(make_refusal(3)), TalkingServer(SOUND)]

    async def ask():
        host = hedging.make_host(servers, "safe", fraction=0.5)
        await host.start()
        host.settle()
        hedging.make_late(host)
        host.forwarder.choice.note_sent("server-1")
        try:
            received = await gatewayhost.call(host.address)
            listing = host.forwarder.view.servers["server-0"]
            may_send = host.forwarder.chooser.may_send
            assert received.status == 200 and may_send(listing)
            await asyncio.sleep(LateServer.PAUSE_S)
            assert servers[0].answered_at and not may_send(listing)
        finally:
            await host.close()

    asyncio.run(ask())


@behave.then(
    "a server that always refuses gets at most {most:d} requests in its time, for all "
    "times up to {longest_s:d} s and deadlines from {from_s:g} s to {to_s:d} s"
)
def check_tries(context, most, longest_s, from_s, to_s):
    deadlines = [from_s + step / 2 for step in range(2 * to_s)]
    for asked_s, deadline_s in itertools.product(range(1, longest_s + 1), deadlines):
        statements, server = make_statements(), make_server(1)
        statements.set_longest_deadline(deadline_s)
        now, sent = 0.0, []
        while now < 3 * asked_s:
            sent.append(now)
            note(statements, server, now, 503, retry_after=str(asked_s))
            now += statements.get_wait_s(server.incarnation, now)
        for refused_at in sent:
            end = refused_at + asked_s
            count = sum(refused_at + 0.5 <= at < end for at in sent)
            assert count <= most, (asked_s, deadline_s, sent)


@behave.then(
    "a server with Retry-After {wait_s:d} is left alone for {same_s:d} s when callers "
    "wait for {deadline_s:d} s"
)
def check_kept_wait(context, wait_s, same_s, deadline_s):
    statements, server = make_statements(), make_server(1)
    statements.set_longest_deadline(deadline_s)
    note(statements, server, 10.0, 503, retry_after=str(wait_s))
    assert not statements.may_send(server.incarnation, 10.0 + 0.99 * same_s)

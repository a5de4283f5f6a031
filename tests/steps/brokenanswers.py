import asyncio
import dataclasses
import itertools

import behave
from support import gatewayhost

from lycheegauge.internal.transport import upstream

EVENTS = tuple(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
PLAIN = b'{"slot": 7, "booked": true}'
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
FRAMINGS = ("a length", "chunks", "neither")
CUTS = (
    "none", "in the head", "before the first event", "in the first event",
    "between two events", "in a later event",
)  # fmt: skip


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        repetition: The route's.
        attempts_max: The most servers that may run the request.
        resume_after: The last event that the caller states to have.
        first_cut_after: After this event an earlier server broke off the answer.
    """

    repetition: str
    attempts_max: int = 1
    resume_after: int = 0
    first_cut_after: int = 0

    @property
    def is_stream(self):
        return "stream" in self.repetition


LONE_STREAM = "resumable stream without another server"
KINDS = {
    "safe request": Kind("safe", 2),
    "unsafe request": Kind("unsafe", 2),
    "stream": Kind("stream", 2),
    "resumable stream": Kind("resumable_stream", 2),
    LONE_STREAM: Kind("resumable_stream", 1),
    "stream resumed by its caller": Kind("resumable_stream", 2, resume_after=2),
    "stream resumed once already": Kind("resumable_stream", 2, first_cut_after=1),
    "stream resumed once, a third server left": Kind(
        "resumable_stream", 3, first_cut_after=1
    ),
}


@dataclasses.dataclass(frozen=True)
class Case:
    kind: Kind
    framing: str
    cut: str
    ending: str

    @property
    def whole(self):
        """The body that a caller gets if nothing is lost."""
        if not self.kind.is_stream:
            return PLAIN
        return b"".join(EVENTS[self.kind.resume_after :])

    @property
    def shows_cut(self):
        """Whether the bytes or a reset show that the answer was broken off."""
        if self.cut == "none":
            return False
        if self.ending == "reset" or self.framing != "neither":
            return True
        if self.cut == "in the head":
            return True
        return self.kind.is_stream and self.cut.endswith(("first event", "later event"))


def make_body(kind, resume_after):
    return b"".join(EVENTS[resume_after:]) if kind.is_stream else PLAIN


def cut_body(kind, body, cut, resume_after):
    """Returns what is sent of a body whose sender ends at ``cut``."""
    if cut == "none":
        return body
    if not kind.is_stream:
        return body[
            : {"before the first event": 0, "in the first event": 1}.get(cut, 9)
        ]
    first = len(EVENTS[resume_after])
    second = first + len(EVENTS[resume_after + 1])
    sent = {
        "before the first event": 0,
        "in the first event": first - 5,
        "between two events": second,
        "in a later event": second + 8,
    }
    return body[: sent[cut]]


def make_response(kind, framing, cut, resume_after):
    """Builds the bytes of a response that ends at ``cut``."""
    head = STATUS_LINE + (STREAM_TYPE if kind.is_stream else b"")
    body = make_body(kind, resume_after)
    if framing == "a length":
        head += b"Content-Length: %d\r\n" % len(body)
    if framing == "chunks":
        head += b"Transfer-Encoding: chunked\r\n"
    if cut == "in the head":
        return head[:-4]
    part = cut_body(kind, body, cut, resume_after)
    if framing != "chunks":
        return head + b"\r\n" + part
    # A chunk holds up to ten bytes, so events extend over several.
    chunks = [part[n : n + 10] for n in range(0, len(part), 10)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + b"\r\n" + encoded + (b"0\r\n\r\n" if cut == "none" else b"")


def make_servers(case):
    """Three servers: one run is that of the case, any later one is whole."""
    kind, runs = case.kind, itertools.count()

    def reply(fields, target):
        run, resume_after = next(runs), int(fields.get("last-event-id") or 0)
        if kind.first_cut_after and run == 0:
            whole = make_response(kind, "chunks", "none", 0)
            end = whole.index(b"\r\n\r\n") + 4
            event = b"".join(EVENTS[: kind.first_cut_after]) + b"id: 9"
            return gatewayhost.Reply(
                whole[:end] + b"%x\r\n%b\r\n" % (len(event), event), "close"
            )
        if run == (1 if kind.first_cut_after else 0):
            sent = make_response(kind, case.framing, case.cut, resume_after)
            return gatewayhost.Reply(sent, case.ending)
        return gatewayhost.Reply(make_response(kind, "chunks", "none", resume_after))

    return [gatewayhost.ScriptedServer(reply) for _ in range(3)]


async def run_case(case, version="HTTP/1.1"):
    kind = case.kind
    host = gatewayhost.GatewayHost(
        make_servers(case), kind.repetition, kind.attempts_max
    )
    await host.start()
    try:
        resume = (("Last-Event-Id", str(kind.resume_after)),)
        return await gatewayhost.call(
            host.address,
            headers=resume if kind.resume_after else (),
            version=version,
        )
    finally:
        await host.close()


@behave.given("answers with {framing} to a {kind}")
def run_cases(context, framing, kind):
    assert framing in FRAMINGS
    context.received = {}
    for cut, ending in itertools.product(CUTS, ("close", "reset")):
        if framing == "neither" and cut == "none" and ending == "reset":
            continue
        case = Case(KINDS[kind], framing, cut, ending)
        context.received[case] = asyncio.run(run_case(case))


@behave.then(
    "wherever the server ends the connection, only a whole answer is framed as complete"
)
def check_framed(context):
    for case, received in context.received.items():
        if received.status == 200 and received.end == "framed":
            assert received.body == case.whole, (case, received)
        if received.status == 200:
            # What did arrive is the beginning of the answer.
            assert case.whole.startswith(received.body) or (
                received.end == "broken" and not case.kind.is_stream
            ), (case, received)


@behave.then("a whole answer arrives whole")
def check_whole(context):
    whole = [item for item in context.received.items() if item[0].cut == "none"]
    assert whole
    for case, received in whole:
        assert received.status == 200, (case, received)
        assert received.body == case.whole, (case, received)
        assert received.end == find_whole_end(case), (case, received)


def find_whole_end(case):
    """Returns how the response to the caller ends if the answer is whole."""
    if case.framing != "neither" or case.kind.attempts_max == 3:
        return "framed"
    # A response that was started in chunks can't end like that of the second server,
    # and no third one may confirm that the stream ends there.
    return "broken" if case.kind.first_cut_after else "closed"


@behave.then("a cut that the bytes or a reset show does not look like an end")
def check_shown(context):
    shown = [item for item in context.received.items() if item[0].shows_cut]
    assert len(shown) >= 5
    for case, received in shown:
        is_ended = received.status == 200 and received.end != "broken"
        assert not is_ended or received.body == case.whole, (case, received)


@behave.given("a stream with a length that its server breaks off")
def break_sized_stream(context):
    events = b"".join(EVENTS)
    head = STATUS_LINE + STREAM_TYPE + b"Content-Length: %d\r\n\r\n" % len(events)
    context.first = gatewayhost.Reply(head + events[: len(EVENTS[0]) + 5], "close")


@behave.then("another server continues it and it arrives whole with text that is")
def check_continued(context):
    for size in (row["size"] for row in context.table):
        text = {"shorter": b"p", "longer": b"a much longer piece"}[size]
        rest = b"".join(b"id: %d\ndata: %b\n\n" % (n, text) for n in range(2, 7))
        head = STATUS_LINE + STREAM_TYPE + b"Content-Length: %d\r\n\r\n" % len(rest)
        replies = iter((context.first, gatewayhost.Reply(head + rest)))
        servers = [
            gatewayhost.ScriptedServer(
                lambda fields, target, replies=replies: next(replies)
            )
            for _ in range(2)
        ]
        received = asyncio.run(call_servers(servers, "resumable_stream", 2))
        assert received.status == 200 and received.end == "framed", received
        assert received.body == EVENTS[0] + rest, received


async def call_servers(
    servers, repetition, attempts_max, headers=(), version="HTTP/1.1"
):
    host = gatewayhost.GatewayHost(servers, repetition, attempts_max)
    await host.start()
    try:
        return await gatewayhost.call(host.address, headers=headers, version=version)
    finally:
        await host.close()


@behave.given("a {repetition} route whose server answers with JSON")
def answer_json(context, repetition):
    body = b'{"error": "no such model"}'
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    sent = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    server = gatewayhost.ScriptedServer(lambda fields, target: gatewayhost.Reply(sent))
    context.sent = body
    context.received = asyncio.run(call_servers([server], repetition, 1))


@behave.then("the JSON arrives whole and framed as complete")
def check_json(context):
    assert context.received.status == 200
    assert context.received.body == context.sent
    assert context.received.end == "framed"


@behave.given("a caller and a backend server that send a header in ISO 8859-1")
def send_latin_headers(context):
    context.sent = "caf\u00e9"
    head = STATUS_LINE + b"X-Name: " + context.sent.encode("latin-1") + b"\r\n"
    reply = gatewayhost.Reply(head + b"Content-Length: 2\r\n\r\nok")
    seen = []

    def answer(fields, target):
        seen.append(fields.get("x-name"))
        return reply

    server = gatewayhost.ScriptedServer(answer)
    headers = (("X-Name", context.sent),)
    context.received = asyncio.run(call_servers([server], "safe", 1, headers))
    context.seen = seen


@behave.then("each gets the other's header, byte for byte")
def check_latin_headers(context):
    assert context.seen == [context.sent], context.seen
    assert context.received.headers["x-name"] == context.sent, context.received


@behave.given("an entry host whose next request meets an unexpected error")
def plan_unexpected_error(context):
    context.error = RuntimeError("planned")


@behave.then("its caller gets status 502 within {limit_s:d} second")
def check_unexpected(context, limit_s):
    received = asyncio.run(call_with_error(context.error, 0, limit_s))
    assert received.status == 502 and received.end == "framed", received


@behave.then(
    "a caller who has part of a stream sees it broken off within {limit_s:d} second"
)
def check_unexpected_within(context, limit_s):
    received = asyncio.run(call_with_error(context.error, 2, limit_s))
    assert received.status == 200 and received.end == "broken", received


async def call_with_error(error, after_events, limit_s):
    """Calls a stream whose forwarding fails with ``error`` after some events."""
    head = STATUS_LINE + STREAM_TYPE + b"Transfer-Encoding: chunked\r\n\r\n"
    events = b"".join(EVENTS[:after_events])
    chunk = b"%x\r\n%b\r\n" % (len(events), events) if events else b""
    server = gatewayhost.ScriptedServer(
        lambda fields, target: gatewayhost.Reply(head + chunk)
    )
    host = gatewayhost.GatewayHost([server], "resumable_stream", 1)
    await host.start()
    read_chunk = upstream.UpstreamConnection.read_chunk
    reads = itertools.count()

    async def read_or_fail(connection):
        if next(reads) >= (1 if after_events else 0):
            raise error
        return await read_chunk(connection)

    upstream.UpstreamConnection.read_chunk = read_or_fail
    try:
        async with asyncio.timeout(limit_s):
            return await gatewayhost.call(host.address)
    finally:
        upstream.UpstreamConnection.read_chunk = read_chunk
        await host.close()


@behave.given("a caller that speaks HTTP/1.0")
def make_old_caller(context):
    context.version = "HTTP/1.0"


@behave.then("a stream that no server can continue ends with a reset of its connection")
def check_reset(context):
    for kind, framing in itertools.product(("stream", LONE_STREAM), FRAMINGS):
        case = Case(KINDS[kind], framing, "in a later event", "close")
        received = asyncio.run(run_case(case, context.version))
        assert received.status == 200 and received.end == "broken", (case, received)


@behave.then("a whole stream ends with a regular close")
def check_closed(context):
    for kind, framing in itertools.product(("stream", LONE_STREAM), FRAMINGS):
        case = Case(KINDS[kind], framing, "none", "close")
        received = asyncio.run(run_case(case, context.version))
        assert received.end in ("closed", "framed"), (case, received)
        assert received.body == case.whole, (case, received)


TEXT = b"upstream connect error\n\nconnection termination\n\n"
ERROR = b"HTTP/1.1 500 Failed\r\n"
SIZED_TEXT = b"Content-Length: %d\r\n\r\n" % len(TEXT) + TEXT
NOT_CONTINUED = {
    "an error": ERROR + SIZED_TEXT,
    "an error in chunks": ERROR
    + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(TEXT), TEXT),
    "an error that says event stream": ERROR + STREAM_TYPE + SIZED_TEXT,
    "an interim answer and an error": b"HTTP/1.1 103 Hints\r\n\r\n"
    + ERROR
    + SIZED_TEXT,
    "a redirect": b"HTTP/1.1 302 Found\r\nLocation: /\r\n" + SIZED_TEXT,
    "no content": b"HTTP/1.1 204 None\r\n\r\n",
    "JSON": STATUS_LINE + b"Content-Type: application/json\r\n" + SIZED_TEXT,
    "text without a type": STATUS_LINE + SIZED_TEXT,
    "text that says event stream": STATUS_LINE + STREAM_TYPE + SIZED_TEXT,
    "nothing without a type": STATUS_LINE + b"Content-Length: 0\r\n\r\n",
    "an event and the head of an error": STATUS_LINE
    + STREAM_TYPE
    + b"\r\n"
    + EVENTS[2]
    + ERROR
    + SIZED_TEXT,
}


@behave.given(
    "a stream that breaks off after two events, and a next server that sends {answer}"
)
def plan_answer(context, answer):
    context.answer = gatewayhost.Reply(NOT_CONTINUED[answer], "close")


async def call_broken(answer, framing, version, repetition, attempts_max):
    """Calls a stream that is cut in its second event, then answered with a reply."""
    cut = make_response(KINDS["stream"], framing, "in a later event", 0)
    replies = iter((gatewayhost.Reply(cut, "reset"), answer))

    def reply(fields, target):
        resume_after = int(fields.get("last-event-id") or 0)
        whole = make_response(KINDS["stream"], "chunks", "none", resume_after)
        return next(replies, gatewayhost.Reply(whole))

    servers = [gatewayhost.ScriptedServer(reply) for _ in range(3)]
    return await call_servers(servers, repetition, attempts_max, version=version)


@behave.then(
    "the caller gets the beginning of the stream, broken off, whatever its framing"
)
def check_beginning(context):
    for framing, version, repetition in itertools.product(
        FRAMINGS, ("HTTP/1.1", "HTTP/1.0"), ("stream", "resumable_stream")
    ):
        call = call_broken(context.answer, framing, version, repetition, 2)
        received = asyncio.run(call)
        assert received.status == 200 and received.end == "broken", received
        assert b"".join(EVENTS).startswith(received.body), received


@behave.then("the whole stream if a third server continues it")
def check_third(context):
    for framing in ("a length", "chunks"):
        call = call_broken(context.answer, framing, "HTTP/1.1", "resumable_stream", 3)
        received = asyncio.run(call)
        assert received.body == b"".join(EVENTS), received
        assert received.end == "framed", received


RESTS = (
    b"data: x\n\ndata: y\n\n",
    b"data\n\nid: 4\n\n",
    b": still there\n\n\n\ndata: z\n\n",
    b"\r\ndata: x\r\n\r\nretry: 5\r\n\r\nevent: e\rdata: y\r\r",
    b"x-version: 4\nid: 3\ndata: x\n\n",
)


@behave.given(
    "a stream that breaks off, and a next server that sends lines of single fields,"
    " comments and blank lines"
)
def plan_rests(context):
    head = STATUS_LINE + STREAM_TYPE
    sizes = (head + b"Content-Length: %d\r\n\r\n" % len(rest) for rest in RESTS)
    context.answers = [
        gatewayhost.Reply(sized + rest)
        for sized, rest in zip(sizes, RESTS, strict=True)
    ]


@behave.then("the caller gets the whole stream, byte for byte")
def check_rests(context):
    for answer, rest in zip(context.answers, RESTS, strict=True):
        call = call_broken(answer, "chunks", "HTTP/1.1", "resumable_stream", 2)
        received = asyncio.run(call)
        assert received.end == "framed", (rest, received)
        assert received.body == EVENTS[0] + EVENTS[1] + rest, (rest, received)

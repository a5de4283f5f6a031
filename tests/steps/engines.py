import asyncio
import dataclasses
import json

import behave
import hypothesis
from hypothesis import strategies
from support import badinput, gatewayhost

from lycheegauge import errors
from lycheegauge.internal.coordination import answers, runs
from lycheegauge.internal.protocol import calls, work
from lycheegauge.internal.transport import engines, tokenstreams

WAIT_S = 20.0
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


@behave.given("a fake engine server that {fault}")
def choose_fault(context, fault):
    context.refuse = fault == "refuses the connection"
    context.answer = b"" if context.refuse else FAULTS[fault]


@behave.when("the engine adapter runs an order on it")
def run_order(context):
    context.replies, context.failure = run_bounded(
        run_engine("completions", context.answer, context.refuse)
    )


@behave.then("the engine adapter's run fails as {reached} after {tokens:d} tokens")
def check_failure(context, reached, tokens):
    assert context.failure is not None, context.replies
    assert context.failure.reached == (reached == "reached"), context.failure
    assert context.failure.message and context.failure.peer
    assert len(context.replies) == tokens, context.replies
    assert not any(reply.end for reply in context.replies)


async def split_events(raw, cuts):
    stream = tokenstreams.EventStream()
    edges = [0, *sorted(cut % (len(raw) + 1) for cut in cuts), len(raw)]

    async def feed():
        for start, stop in zip(edges, edges[1:], strict=False):
            await stream.feed_bytes(raw[start:stop])

    feeding = asyncio.ensure_future(feed())
    feeding.add_done_callback(stream.close_on_done)
    tokens = [token async for token in stream.tokens(WAIT_S)]
    failure = feeding.exception()
    assert failure is None or isinstance(failure, tokenstreams.AbandonedError), failure
    assert bool(failure) == bool(stream.problem)
    return tokens, stream


CUTS = strategies.lists(strategies.integers(0, 2000), max_size=8)


@behave.then("an engine's events split at any byte give the same tokens")
def check_splits(context):
    @hypothesis.given(
        strategies.lists(strategies.text(max_size=4), max_size=40), CUTS,
        strategies.sampled_from([b"\n", b"\r\n"]),
    )  # fmt: skip
    def check(tokens, cuts, line_end):
        events = [make_event(token) for token in tokens] + [b": a comment\n\n"]
        raw = b"".join([*events, b"data: [DONE]\n\n", make_event("late")])
        raw = raw.replace(b"\n", line_end)
        received, stream = run_bounded(split_events(raw, cuts))
        assert (received, stream.is_complete, stream.problem) == (tokens, True, "")

    check()


@behave.then("arbitrary bytes in an engine's events give tokens or a failed stream")
def check_any_events(context):
    events = strategies.binary(max_size=30) | strategies.sampled_from(
        [b"[1]", b'{"choices": []}', b'{"choices": [{"text": null}]}', b"[" * 100_000]
    )

    @hypothesis.given(strategies.lists(events, max_size=4), CUTS)
    def check(parts, cuts):
        raw = b"".join(b"data: " + part + b"\n\n" for part in parts)
        tokens, stream = run_bounded(split_events(raw, cuts))
        assert all(isinstance(token, str) for token in tokens)

    check()


@behave.then(
    "the plain adapter fails as reached when the response is truncated or too large"
)
def check_plain(context):
    cut = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
    large = engines.MAX_RESPONSE_BYTES + 1
    for answer in (cut, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % large, b""):
        replies, failure = run_bounded(run_engine("plain", answer))
        assert not replies
        assert failure is not None and failure.reached, answer


UNFRAMED = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"slot": 7}'


@behave.then("the plain adapter marks a response that ends with its connection")
def check_unframed(context):
    replies, failure = run_bounded(run_engine("plain", UNFRAMED))
    assert failure is None and len(replies) == 2 and replies[1].end, (replies, failure)
    context.chunk = replies[0].chunk
    assert context.chunk.body == b'{"slot": 7}'
    assert context.chunk.content_type == "application/json"
    assert context.chunk.is_close_delimited
    framed = UNFRAMED.replace(b"\r\n\r\n", b"\r\nContent-Length: 11\r\n\r\n")
    replies, failure = run_bounded(run_engine("plain", framed))
    assert failure is None and not replies[0].chunk.is_close_delimited


@behave.then("the plain adapter fails as reached when such a response is reset")
def check_unframed_reset(context):
    async def run():
        reply = gatewayhost.Reply(UNFRAMED[:-3], "reset")
        server = gatewayhost.ScriptedServer(lambda fields, target: reply)
        await server.start()
        engine = engines.make_engine("plain", server.address)
        try:
            return [reply async for reply in engine.run(make_order())]
        except errors.BackendServerFailedError as error:
            return error
        finally:
            engine.close()
            await server.close()

    failure = run_bounded(run())
    assert isinstance(failure, errors.BackendServerFailedError), failure
    assert failure.reached


@behave.then("a stored answer keeps the mark")
def check_stored(context):
    order = dataclasses.replace(make_order(), attempt=1)
    unsafe = dataclasses.replace(order.request, repeatable=False)
    run = runs.Run(dataclasses.replace(order, request=unsafe), None, 0.0, 0)
    run.add_chunk(context.chunk, 1.0)
    stored = answers.decode_stored_answer(run.encode_answer(), "again", 2)
    assert stored.chunk.body == context.chunk.body
    assert stored.chunk.is_close_delimited


@behave.then(
    "its caller gets neither a length nor chunks but the end of the connection"
)
def check_unframed_caller(context):
    async def run():
        listeners = badinput.Listeners()
        listeners.delegate.plain_chunk = context.chunk
        await listeners.start()
        try:
            address = listeners.addresses["callers"]
            return await gatewayhost.call(address, "/v1/services/booking")
        finally:
            await listeners.close()

    received = run_bounded(run())
    assert received.status == 200 and received.body == context.chunk.body
    assert received.end == "closed", received
    assert received.headers["content-type"] == "application/json"
    assert received.headers["connection"] == "close"


@behave.then("the plain adapter fails as not reached when the connection is refused")
def check_plain_refused(context):
    replies, failure = run_bounded(run_engine("plain", b"", refuse=True))
    assert not replies
    assert failure is not None and not failure.reached

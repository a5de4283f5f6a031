import asyncio
import dataclasses

import behave
import hypothesis
from hypothesis import strategies
from support import badinput, engineservers, gatewayhost

from lycheegauge import errors
from lycheegauge.internal.coordination import answers, runs
from lycheegauge.internal.transport import engines, tokenstreams


def run_engine(name, answer, refuse=False):
    return engineservers.run_bounded(engineservers.run_engine(name, answer, refuse))


@behave.given("a fake engine server that {fault}")
def choose_fault(context, fault):
    context.refuse = fault == "refuses the connection"
    context.answer = b"" if context.refuse else engineservers.FAULTS[fault]


@behave.when("the engine adapter runs an order on it")
def run_order(context):
    context.replies, context.failure = run_engine(
        "completions", context.answer, context.refuse
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
    tokens = [token async for token in stream.tokens(engineservers.WAIT_S)]
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
        events = [engineservers.make_event(token) for token in tokens] + [
            b": a comment\n\n"
        ]
        raw = b"".join([*events, b"data: [DONE]\n\n", engineservers.make_event("late")])
        raw = raw.replace(b"\n", line_end)
        received, stream = engineservers.run_bounded(split_events(raw, cuts))
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
        tokens, stream = engineservers.run_bounded(split_events(raw, cuts))
        assert all(isinstance(token, str) for token in tokens)

    check()


@behave.then(
    "the plain adapter fails as reached when the response is truncated or too large"
)
def check_plain(context):
    cut = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
    large = engines.MAX_RESPONSE_BYTES + 1
    for answer in (cut, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % large, b""):
        replies, failure = engineservers.run_bounded(
            engineservers.run_engine("plain", answer)
        )
        assert not replies
        assert failure is not None and failure.reached, answer


UNFRAMED = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"slot": 7}'


@behave.then("the plain adapter marks a response that ends with its connection")
def check_unframed(context):
    replies, failure = engineservers.run_bounded(
        engineservers.run_engine("plain", UNFRAMED)
    )
    assert failure is None and len(replies) == 2 and replies[1].end, (replies, failure)
    context.chunk = replies[0].chunk
    assert context.chunk.body == b'{"slot": 7}'
    assert context.chunk.content_type == "application/json"
    assert context.chunk.is_close_delimited
    framed = UNFRAMED.replace(b"\r\n\r\n", b"\r\nContent-Length: 11\r\n\r\n")
    replies, failure = engineservers.run_bounded(
        engineservers.run_engine("plain", framed)
    )
    assert failure is None and not replies[0].chunk.is_close_delimited


@behave.then("the plain adapter fails as reached when such a response is reset")
def check_unframed_reset(context):
    async def run():
        reply = gatewayhost.Reply(UNFRAMED[:-3], "reset")
        server = gatewayhost.ScriptedServer(lambda fields, target: reply)
        await server.start()
        engine = engines.make_engine("plain", server.address)
        try:
            return [reply async for reply in engine.run(engineservers.make_order())]
        except errors.BackendServerFailedError as error:
            return error
        finally:
            engine.close()
            await server.close()

    failure = engineservers.run_bounded(run())
    assert isinstance(failure, errors.BackendServerFailedError), failure
    assert failure.reached


@behave.then("a stored answer keeps the mark")
def check_stored(context):
    order = dataclasses.replace(engineservers.make_order(), attempt=1)
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

    received = engineservers.run_bounded(run())
    assert received.status == 200 and received.body == context.chunk.body
    assert received.end == "closed", received
    assert received.headers["content-type"] == "application/json"
    assert received.headers["connection"] == "close"


@behave.then("the plain adapter fails as not reached when the connection is refused")
def check_plain_refused(context):
    replies, failure = engineservers.run_bounded(
        engineservers.run_engine("plain", b"", refuse=True)
    )
    assert not replies
    assert failure is not None and not failure.reached

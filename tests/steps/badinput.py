import asyncio
import dataclasses
import json

import behave
from support import badinput

from lycheegauge import settings
from lycheegauge.internal.transport import callers


def run(context, coroutine):
    return context.loop.run_until_complete(asyncio.wait_for(coroutine, badinput.WAIT_S))


async def send_raw(context, raw, listener="callers"):
    client = await badinput.Client.connect(context.listeners.addresses[listener])
    await client.send(raw)
    answer = await client.read_answer()
    client.close()
    return answer


async def open_stream(context):
    client = await badinput.Client.connect(context.listeners.addresses["callers"])
    headers = [b"Accept: text/event-stream"]
    await client.send(badinput.make_raw(badinput.DRAFTING, badinput.PROMPT, headers))
    await client.read_until(b"\n\n")
    return client


def start_listeners(context, limits):
    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    asyncio.set_event_loop(context.loop)
    context.listeners = badinput.Listeners(limits)
    run(context, context.listeners.start())
    context.closers.append(lambda: run(context, context.listeners.close()))
    context.stream = run(context, open_stream(context))
    context.closers.append(context.stream.close)


@behave.given("listeners with a fake entry host and a caller in the middle of a stream")
def start_with_stream(context):
    start_listeners(context, badinput.LIMITS)


@behave.given(
    "listeners with a short idle timeout and a caller in the middle of a stream"
)
def start_with_short_timeout(context):
    # 0.5 s is below the minimum of the settings; it keeps the test short.
    limits = {**badinput.LIMITS.model_dump(), "idle_timeout_s": 0.5}
    start_listeners(context, settings.Limits.model_construct(**limits))


@behave.when("a caller sends the listener {bad}")
def send_bad(context, bad):
    raw = badinput.BAD_REQUESTS[bad]
    context.answer = run(context, send_raw(context, raw))


@behave.then(
    "the listener responds with {status:d} and a typed refusal of work not run"
)
def check_refusal(context, status):
    actual, headers, body = context.answer
    assert actual == status, context.answer
    assert headers["content-type"] == "application/json", context.answer
    refusal = json.loads(body)
    assert refusal["run_state"] == "not_run", refusal
    assert refusal["reason"] in ("bad_request", "unknown_service"), refusal
    assert refusal["detail"] and refusal["step"], refusal
    assert context.listeners.delegate.refusals == [refusal["reason"]]
    assert len(context.listeners.delegate.sessions) == 1, "a session was started"


@behave.then("the listener serves the next caller and the stream completes")
def check_unaffected(context):
    raw = badinput.make_raw(b"/v1/entries", method=b"GET")
    status, _, body = run(context, send_raw(context, raw))
    assert status == 200 and json.loads(body)["entries"], (status, body)
    context.listeners.delegate.release.set()
    ending = run(context, context.stream.read_until(b"0\r\n\r\n"))
    assert b"event: end" in ending, ending
    assert not context.listeners.delegate.sessions[0].cancelled.is_set()


@behave.then(
    "the operators' and agents' listeners refuse malformed input with typed errors"
)
def check_other_listeners(context):
    cases = [
        (b"/v1/confirm", b"{", 400),
        (b"/v1/confirm", b"\xff", 400),
        (b"/v1/confirm", b'{"request_id": "r", "plan": {}}', 400),
        (b"/v1/plan", b"\xff", 400),
        (b"/v1/confirm", b"x" * 1500, 413),
        (b"/v1/status", b"", 405),
        (b"/v1/other", b"", 404),
        (b"/v1/confirm", None, 400),
    ]
    paths = {b"/v1/confirm": b"/v1/announcement", b"/v1/plan": b"/v1/announcement"}
    for path, body, status in cases:
        length = b"ten" if body is None else None
        for listener in ("operators", "agents"):
            target = paths.get(path, path) if listener == "agents" else path
            if target == b"/v1/status" and listener == "agents":
                continue
            raw = badinput.make_raw(target, body or b"", length=length)
            actual, headers, answer = run(context, send_raw(context, raw, listener))
            assert actual == status, (listener, path, body, actual, answer)
            document = json.loads(answer)
            message = document.get("message") or document.get("detail")
            assert message and document["step"], (listener, document)
            assert headers["content-type"] == "application/json", headers
    assert not context.listeners.delegate.received


@behave.when("callers send incomplete headers or an incomplete body and then nothing")
def send_incomplete(context):
    whole = badinput.make_raw(badinput.DRAFTING, badinput.PROMPT)
    address = context.listeners.addresses["callers"]
    context.idle_clients = []
    for length in (30, len(whole) - 5):
        client = run(context, badinput.Client.connect(address))
        run(context, client.send(whole[:length]))
        context.idle_clients.append(client)


@behave.then("the listener closes the idle connections")
def check_idle_closed(context):
    for client in context.idle_clients:
        assert run(context, client.read_rest()) == b""
        client.close()


@behave.when("callers open more connections than the listener allows")
def open_many(context):
    address = context.listeners.addresses["callers"]
    context.clients = []
    # The caller with the stream uses one of the four allowed connections.
    for _ in range(6):
        context.clients.append(run(context, badinput.Client.connect(address)))


@behave.then("the listener closes those over the limit")
def check_over_limit(context):
    for client in context.clients[3:]:
        assert run(context, client.read_rest()) == b""
    raw = badinput.make_raw(b"/v1/entries", method=b"GET")
    for client in context.clients[:3]:
        run(context, client.send(raw))
        assert run(context, client.read_answer())[0] == 200
    for client in context.clients:
        client.close()
    run(context, wait_for_room(context))


async def wait_for_room(context):
    raw = badinput.make_raw(b"/v1/entries", method=b"GET")
    while (await send_raw(context, raw))[0] != 200:
        pass


@behave.then("the session of a caller that disconnects during a stream is cancelled")
def check_disconnected(context):
    client = run(context, open_stream(context))
    client.close()
    session = context.listeners.delegate.sessions[-1]
    run(context, session.cancelled.wait())
    assert not context.listeners.delegate.sessions[0].cancelled.is_set()


@behave.then("the session of a caller that does not read a long stream is cancelled")
def check_slow_reader(context):
    original = callers.CallHandler.slow_reader_timeout_s
    callers.CallHandler.slow_reader_timeout_s = 0.2
    context.closers.append(
        lambda: setattr(callers.CallHandler, "slow_reader_timeout_s", original)
    )
    delegate = context.listeners.delegate
    delegate.tokens = ["one"] + ["x" * 1_000_000] * 40
    client = run(context, open_stream(context))
    delegate.release.set()
    run(context, delegate.sessions[-1].cancelled.wait())
    assert b"event: end" not in run(context, client.read_rest())
    client.close()


async def call_booking(context, **changes):
    delegate = context.listeners.delegate
    delegate.plain_chunk = dataclasses.replace(delegate.plain_chunk, **changes)
    return await send_raw(context, badinput.make_raw(badinput.BOOKING, b"{}"))


@behave.then(
    "plain responses with status 200, 204, 304, 404 and 500 are forwarded unchanged"
)
def check_plain_status(context):
    for status, body in ((200, b"a"), (204, b""), (304, b""), (404, b""), (500, b"b")):
        answer = run(context, call_booking(context, status=status, body=body))
        assert (answer[0], answer[2]) == (status, body), (status, answer)
    answer = run(context, call_booking(context, status=200, body=b"a", content_type=""))
    assert answer[2] == b"a", answer


@behave.then(
    "a plain response that can't be written is refused with an unknown outcome"
)
def check_plain_error(context):
    changes = {"body": b"a", "status": 200, "content_type": "a\r\nb"}
    status, _, body = run(context, call_booking(context, **changes))
    refusal = json.loads(body)
    assert status == 502, (status, refusal)
    assert refusal["reason"] == "outcome_unknown", refusal
    assert refusal["run_state"] == "unknown", refusal
    assert (
        refusal["request_id"]
        == context.listeners.delegate.sessions[-1].request.request_id
    )

import asyncio

import behave
from support import engineservers, gatewayhost

from lycheegauge.internal.protocol import maporders

STATUSES = ("000", "001", "099", "600", "999", "20", "2000", "abc", "")
BODY = b"id: 1\ndata: 1\n\n"
FRAMINGS = {
    "a length": b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
    % (len(BODY), BODY),
    "neither": b"\r\n" + BODY,
}


def make_answer(status, framing):
    head = f"HTTP/1.1 {status} Odd\r\nContent-Type: text/event-stream\r\n"
    return head.encode() + FRAMINGS[framing]


@behave.given("statuses below 100, above 599, of other lengths, of letters and none")
def choose_statuses(context):
    context.statuses = STATUSES


async def call_server(repetition, sent, has_other):
    """Calls a host whose first server sends some bytes; the other answers regularly."""
    odd = gatewayhost.ScriptedServer(lambda *_: gatewayhost.Reply(sent, "close"))
    sound = gatewayhost.ScriptedServer(
        lambda *_: gatewayhost.Reply(b"HTTP/1.1 200 OK\r\n" + FRAMINGS["a length"])
    )
    servers = [odd, sound] if has_other else [odd]
    host = gatewayhost.GatewayHost(servers, repetition, attempts_max=2)
    await host.start()
    try:
        return await gatewayhost.call(host.address)
    finally:
        await host.close()


@behave.when("servers send them to requests of a {repetition} route in each framing")
def send_statuses(context, repetition):
    context.repetition, context.received = repetition, {}
    for status in context.statuses:
        for framing in FRAMINGS:
            sent = make_answer(status, framing)
            context.received[status, framing] = asyncio.run(
                call_server(repetition, sent, has_other=False)
            )


@behave.then("each caller gets status {status:d}")
def check_statuses(context, status):
    for case, received in context.received.items():
        assert received.status == status, (case, received)


@behave.then("a safe request is answered by another server instead")
def check_other(context):
    if context.repetition != "safe":
        return
    for status in context.statuses:
        sent = make_answer(status, "a length")
        received = asyncio.run(call_server("safe", sent, has_other=True))
        assert (received.status, received.body) == (200, BODY), (status, received)


@behave.then("a plain service's run and a completion fail as reached")
def check_engines(context):
    for status in context.statuses:
        for framing in FRAMINGS:
            for name in ("plain", "completions"):
                answer = make_answer(status, framing)
                replies, failure = engineservers.run_bounded(
                    engineservers.run_engine(name, answer)
                )
                assert failure is not None, (name, status, framing, replies)
                assert failure.reached
                assert not any(reply.end for reply in replies)


@behave.then("an agent takes an engine's order for unanswered, not for refused")
def check_orders(context):
    for status in context.statuses:
        for framing in FRAMINGS:
            reply = asyncio.run(engineservers.send_order(make_answer(status, framing)))
            assert reply.outcome is maporders.MapOrderOutcome.UNANSWERED, (
                status, framing, reply,
            )  # fmt: skip

import asyncio

import behave
from support import engineservers, gatewayhost

from lycheegauge.internal.protocol import maporders

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Response-Seal: s-1\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 5\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
REFUSAL = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
LINE_ENDS = {"CRLF": b"\r\n", "LF": b"\n"}


def cut_head(line_end):
    """Returns the head up to each of its bytes but the last."""
    head = HEAD.replace(b"\r\n", LINE_ENDS[line_end])
    return [head[:length] for length in range(len(head))]


async def call_servers(repetition, replies):
    """Calls a host whose servers send one reply after the other."""
    left = list(replies)
    servers = [
        gatewayhost.ScriptedServer(lambda *_: left.pop(0) if left else replies[-1])
        for _ in range(2)
    ]
    host = gatewayhost.GatewayHost(servers, repetition, attempts_max=2)
    await host.start()
    try:
        return await gatewayhost.call(host.address)
    finally:
        await host.close()


def check_no_answer(received, case):
    assert received.status == 502, (case, received)


@behave.then(
    "no caller of an entry host gets an answer for a head that ends with a {ending} and"
    " has {line_end} lines"
)
def check_callers(context, ending, line_end):
    context.ending, context.heads = ending, cut_head(line_end)
    for repetition in ("safe", "unsafe", "resumable_stream"):
        for sent in context.heads:
            reply = gatewayhost.Reply(sent, ending)
            received = asyncio.run(call_servers(repetition, [reply]))
            check_no_answer(received, (repetition, sent))


@behave.then("no run of an engine succeeds on such a head")
def check_runs(context):
    if context.ending != "close":
        return
    for name in ("plain", "completions"):
        for sent in context.heads:
            replies, failure = engineservers.run_bounded(
                engineservers.run_engine(name, sent)
            )
            assert failure is not None and not replies, (name, sent, replies)


@behave.then("no order to an engine is taken for answered by such a head")
def check_orders(context):
    if context.ending != "close":
        return
    for sent in context.heads:
        reply = asyncio.run(engineservers.send_order(sent))
        assert reply.outcome is maporders.MapOrderOutcome.UNANSWERED, (sent, reply)


@behave.then("a cut head after an informational response is no answer")
def check_after_interim(context):
    for sent in cut_head("CRLF"):
        reply = gatewayhost.Reply(INTERIM + sent, "close")
        check_no_answer(asyncio.run(call_servers("unsafe", [reply])), sent)
        replies, failure = engineservers.run_bounded(
            engineservers.run_engine("plain", INTERIM + sent)
        )
        assert failure is not None and not replies, (sent, replies)


@behave.then("a cut head from the second server of a request is no answer")
def check_second(context):
    for sent in cut_head("CRLF"):
        replies = [gatewayhost.Reply(REFUSAL), gatewayhost.Reply(sent, "close")]
        check_no_answer(asyncio.run(call_servers("safe", replies)), sent)

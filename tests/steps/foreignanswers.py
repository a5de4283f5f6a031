import asyncio

import behave
import loguru
from support import gatewayhost

REFUSAL = b"HTTP/1.1 503 Full\r\nLycheegauge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
NAMED_REFUSAL = REFUSAL.replace(
    b"Content-Length", b"Lycheegauge-Request-Id: first\r\nContent-Length"
)
REFUSALS = (REFUSAL, NAMED_REFUSAL)


def make_answer(request_id, body, names_request=True, fields=""):
    name = f"Lycheegauge-Request-Id: {request_id}\r\n" if names_request else ""
    head = f"HTTP/1.1 200 OK\r\n{name}{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


OLD_LIMIT = "Lycheegauge-Server-Limit: 5000\r\n"
NEW_LIMIT = "Lycheegauge-Server-Limit: 9000\r\n"


class RepeatingServer(gatewayhost.ScriptedServer):
    """Sends a copy of a connection's first answer before the answer to its second.

    If the copy is a refusal, the first attempts of all are refused.
    """

    def __init__(self, copy, runs, names_requests=True, refusals=1):
        super().__init__(self.reply)
        self.copy = copy
        self.runs = runs
        self.names_requests = names_requests
        self.refusals = refusals
        self.first_answers = {}

    def reply(self, fields, target):
        request_id = fields.get("lycheegauge-request-id", "unnamed")
        connection = asyncio.current_task()
        is_refused = self.copy in REFUSALS and (len(self.first_answers) < self.refusals)
        if is_refused:
            answer = self.copy
        else:
            self.runs.append(request_id)
            body = request_id.encode()
            answer = make_answer(request_id, body, self.names_requests)
        late = b""
        if connection not in self.first_answers:
            self.first_answers[connection] = answer
        elif self.copy not in REFUSALS or self.first_answers[connection] in REFUSALS:
            late, self.copy = self.copy or b"", None
        return gatewayhost.Reply(late + answer)


COPIES = {
    "an answer with its request's id": make_answer("first", b"first"),
    "an answer without its request's id": make_answer("first", b"first", False),
    "a refusal with its request's id": NAMED_REFUSAL,
    "a refusal without its request's id": REFUSAL,
}


@behave.given(
    "a server that sends a second copy of {copy} when the next request arrives"
)
def make_repeating(context, copy):
    context.runs = []
    names_requests = "without" not in copy
    context.servers = [RepeatingServer(COPIES[copy], context.runs, names_requests)]


@behave.given(
    "a server whose copy of an answer states a lower limit than its newest answer"
)
def make_restating(context):
    context.runs = []

    def reply(fields, target):
        request_id = fields["lycheegauge-request-id"]
        is_first = not context.runs
        context.runs.append(request_id)
        limit = OLD_LIMIT if is_first else NEW_LIMIT
        answer = make_answer(request_id, request_id.encode(), fields=limit)
        copy = make_answer("first", b"first", fields=OLD_LIMIT)
        return gatewayhost.Reply(copy + answer if request_id == "third" else answer)

    context.servers = [gatewayhost.ScriptedServer(reply)]


@behave.given(
    "a server that refuses three attempts and sends a copy of a refusal later"
)
def make_refusing_thrice(context):
    context.runs = []
    context.servers = [RepeatingServer(NAMED_REFUSAL, context.runs, refusals=3)]


@behave.given("a server whose answers never name their request")
def make_nameless(context):
    context.runs = []
    context.servers = [RepeatingServer(None, context.runs, names_requests=False)]


@behave.given("a server that refuses every request")
def make_refusing(context):
    context.runs = []
    context.servers = [
        gatewayhost.ScriptedServer(lambda *_: gatewayhost.Reply(REFUSAL))
    ]


REPETITIONS = {"run once": "unsafe", "be repeated": "safe"}


def send_all(context, repetition, names):
    """Sends requests one after the other; an empty name stands for no id."""

    async def send():
        host = gatewayhost.GatewayHost(context.servers, repetition, attempts_max=3)
        await host.start()
        try:
            return [
                await gatewayhost.call(
                    host.address,
                    headers=[("Lycheegauge-Request-Id", name)] if name else [],
                )
                for name in names
            ]
        finally:
            await host.close()

    context.logged = []
    sink = loguru.logger.add(lambda line: context.logged.append(line.record))
    try:
        context.received = asyncio.run(send())
    finally:
        loguru.logger.remove(sink)


@behave.when("a caller sends two requests that may {repetition}, one after the other")
def send_two(context, repetition):
    send_all(context, REPETITIONS[repetition], ("first", "second"))


@behave.when("a caller sends three requests that may be repeated, one after the other")
def send_three(context):
    send_all(context, "safe", ("first", "second", "third"))


@behave.when("a caller sends a request, and then one without an id")
def send_without_id(context):
    send_all(context, "unsafe", ("first", ""))


@behave.when("its caller is refused and sends the request again with the same id")
def send_same(context):
    send_all(context, "unsafe", ("first", "first"))
    assert context.received[0].status == 503, context.received


@behave.then("the request runs once and its caller gets the answer")
def check_sent_again(context):
    assert context.runs == ["first"], context.runs
    assert context.received[1].body == b"first", context.received


@behave.then("the second caller does not get the first one's answer")
def check_own_answer(context):
    first, second = context.received
    assert first.status == 503 or first.body == b"first", first
    assert second.status == 502 or second.body in (b"second", b"unnamed"), second


@behave.then("no request ran twice")
def check_runs(context):
    assert len(set(context.runs)) == len(context.runs), context.runs


@behave.then("no request that was refused has run")
def check_refused(context):
    refused = [
        name
        for name, received in zip(("first", "second"), context.received, strict=True)
        if received.status == 503
    ]
    assert not set(refused) & set(context.runs), (refused, context.runs)


@behave.then("both requests are answered with their own answer")
def check_both(context):
    assert [item.body for item in context.received] == [b"first", b"second"]


@behave.then("each refusal is logged with the number of its connection")
def check_refusals_logged(context):
    refused = [
        record["extra"]
        for record in context.logged
        if record["message"] == "attempt refused"
    ]
    assert {fields["request_id"] for fields in refused} == {"first", "second"}
    assert all(fields["connection"] > 0 for fields in refused), refused


@behave.then("the limit of the newest answer is in force")
def check_limit(context):
    stated = [
        record["extra"]["requests_per_s"]
        for record in context.logged
        if record["message"] == "limit stated by a backend server"
    ]
    assert stated == [5000, 9000], stated

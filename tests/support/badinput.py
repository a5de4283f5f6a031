"""Real listeners with a fake entry host, and a client that sends raw bytes."""

import asyncio
import json

from lycheegauge import settings
from lycheegauge.internal.protocol import calls, work
from lycheegauge.internal.transport import announcements, callers, operators, web

WAIT_S = 20.0
LIMITS = settings.Limits(header_bytes=6000, body_bytes=1024, connections=4)


class FakeSession:
    """Sends one token, waits for ``delegate.release``, then sends the rest."""

    def __init__(self, delegate, request):
        self.delegate = delegate
        self.request = request
        self.cancelled = asyncio.Event()

    async def replies(self):
        request_id = self.request.request_id
        if self.request.service == "booking":
            yield work.AgentReply(chunk=self.delegate.plain_chunk)
            yield work.AgentReply(end=work.AnswerEnd(request_id, 1, 1, 0))
            return
        for index, tokens in enumerate(self.delegate.tokens):
            yield work.AgentReply(
                chunk=work.AnswerChunk(request_id, 1, index, index, (tokens,))
            )
            if index == 0:
                await self.delegate.release.wait()
        count = len(self.delegate.tokens)
        yield work.AgentReply(end=work.AnswerEnd(request_id, 1, count, count))

    def cancel(self):
        self.cancelled.set()


class FakeDelegate:
    """Takes the place of the entry host behind the listeners."""

    def __init__(self):
        self.release = asyncio.Event()
        self.sessions = []
        self.refusals = []
        self.received = []
        self.tokens = ["one", "two"]
        self.plain_chunk = work.AnswerChunk(
            "r", 1, 0, body=b"{}", content_type="application/json"
        )

    def describe_entries(self, availability_zone):
        entry = calls.EntryAddress(host="e", availability_zone="a", address="1")
        return calls.Discovery(entries=(entry,), valid_for_s=10.0)

    def list_services(self):
        return calls.ServiceList(services=())

    def find_service_kind(self, service):
        return {"drafting": "model", "booking": "plain"}.get(service)

    def count_refusal(self, reason):
        self.refusals.append(reason)

    def open_session(self, request):
        self.sessions.append(FakeSession(self, request))
        return self.sessions[-1]

    async def confirm_plan(self, body):
        raise AssertionError("a malformed plan was accepted")

    make_plan = replace_voter = confirm_plan


class Listeners:
    """The three HTTP listeners, on free ports of the loopback address."""

    def __init__(self, limits=LIMITS):
        self.delegate = FakeDelegate()
        applications = {
            "callers": callers.make_application(self.delegate, limits),
            "operators": operators.make_application(self.delegate, limits),
            "agents": announcements.make_application(
                self.delegate.received.append, None, limits
            ),
        }
        self._listeners = {
            name: web.Listener("127.0.0.1:0", application, limits)
            for name, application in applications.items()
        }
        self.addresses = {}

    async def start(self):
        for name, listener in self._listeners.items():
            self.addresses[name] = await listener.start()

    async def close(self):
        for listener in self._listeners.values():
            await listener.close()


class Client:
    """One connection to a listener."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address):
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, raw):
        try:
            self._writer.write(raw)
            await self._writer.drain()
        except ConnectionError:
            pass  # The server may respond before reading everything.

    async def read_answer(self):
        """Returns status, headers and body; status 0 if there is no response."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, {}, b""
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines)
        }
        length = int(headers.get("content-length", 0))
        return int(first.split()[1]), headers, await self._reader.readexactly(length)

    async def read_until(self, mark):
        return await self._reader.readuntil(mark)

    async def read_rest(self):
        try:
            return await self._reader.read()
        except ConnectionError:
            return b""

    def close(self):
        self._writer.transport.abort()


def make_raw(path, body=b"", headers=(), method=b"POST", length=None):
    """Builds the bytes of a request."""
    lines = [method + b" " + path + b" HTTP/1.1", b"Host: x", *headers]
    if length != b"":
        lines.append(b"Content-Length: " + (length or str(len(body)).encode()))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def make_chunked(path, size):
    """Builds a request with a chunked body of ``size`` bytes, 512 per chunk."""
    head = make_raw(path, headers=[b"Transfer-Encoding: chunked"], length=b"")
    return head + b"200\r\n" + (b"x" * 512 + b"\r\n200\r\n") * (size // 512 - 1) + (
        b"x" * 512 + b"\r\n0\r\n\r\n"
    )  # fmt: skip


DRAFTING = b"/v1/services/drafting"
BOOKING = b"/v1/services/booking"
PROMPT = b'{"prompt": "a b"}'


def with_header(line):
    return make_raw(DRAFTING, PROMPT, [line])


SURROGATES = json.dumps({"prompt": "\ud800 " * 20}).encode()

BAD_REQUESTS = {
    "malformed JSON": make_raw(DRAFTING, b'{"prompt": '),
    "JSON nested too deeply": make_raw(DRAFTING, b"[" * 1000),
    "a prompt that is a number": make_raw(DRAFTING, b'{"prompt": 1}'),
    "a prompt of lone surrogates": make_raw(DRAFTING, SURROGATES),
    "a body that is not UTF-8": make_raw(DRAFTING, b'{"prompt": "\xff"}'),
    "a body over the limit": make_raw(DRAFTING, b"x" * 1500),
    "a body far over the limit": make_raw(DRAFTING, b"x" * 500_000),
    "a chunked body over the limit": make_chunked(DRAFTING, 1536),
    "a chunked body far over the limit": make_chunked(DRAFTING, 65_536),
    "a length that is no number": make_raw(DRAFTING, PROMPT, length=b"ten"),
    "a negative length": make_raw(DRAFTING, PROMPT, length=b"-5"),
    "two unequal lengths": make_raw(
        DRAFTING, PROMPT, [b"Content-Length: 3"], length=b"4"
    ),
    "a length of 5,000 digits": make_raw(DRAFTING, b"", length=b"9" * 5000),
    "a length of a superscript digit": make_raw(DRAFTING, b"", length=b"\xb2"),
    "a length and chunks": make_raw(DRAFTING, PROMPT, [b"Transfer-Encoding: chunked"]),
    "a broken chunk": make_raw(
        DRAFTING, b"zz\r\n", [b"Transfer-Encoding: chunked"], length=b""
    ),
    "no HTTP at all": b"\x16\x03\x01\x02\x00 hello\r\n\r\n",
    "a start line of three words too many": b"GET / / / HTTP/1.1\r\n\r\n",
    "a header without a colon": with_header(b"nonsense"),
    "headers over the limit": with_header(b"Pad: " + b"x" * 7000),
    "an unknown path": make_raw(b"/v2/other", b"{}"),
    "an unknown service": make_raw(b"/v1/services/other", b"{}"),
    "a service name of bad escapes": make_raw(b"/v1/services/%ff%00", b"{}"),
    "an availability zone that is not UTF-8": make_raw(
        b"/v1/entries?availability_zone=%ff", method=b"GET"
    ),
    "PUT to a service": make_raw(DRAFTING, PROMPT, method=b"PUT"),
    "an unknown method": make_raw(DRAFTING, PROMPT, method=b"BREW"),
    "POST to the entries": make_raw(b"/v1/entries", b"{}"),
    "a priority that is a word": with_header(b"Lycheegauge-Priority: high"),
    "a priority out of range": with_header(b"Lycheegauge-Priority: 11"),
    "a deadline of 500 digits": with_header(b"Lycheegauge-Deadline-Ms: " + b"9" * 500),
    "an organisation with spaces": with_header(b"Lycheegauge-Organisation: a b"),
    "an organisation in Latin-1": with_header(b"Lycheegauge-Organisation: \xe6"),
    "an empty idempotency key": with_header(b"Idempotency-Key: "),
    "a repeatable mark that is a word": with_header(b"Lycheegauge-Repeatable: perhaps"),
}

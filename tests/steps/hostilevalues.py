import asyncio
import copy
import dataclasses
import json
import math

import behave
import platform_words
from returns import result
from support import gatewayhost

from lycheegauge import errors
from lycheegauge.internal.coordination import rosterregistry, routeindex
from lycheegauge.internal.protocol import codec, controlcalls, enginedialects, roster
from lycheegauge.internal.transport import upstream

INT64_MAX = 2**63 - 1
LARGEST = 1e15
HOSTILE_NUMBERS = (
    "1e400", "-1e400", "1e308", "NaN", "Infinity", "-1", "9223372036854775807",
    "9223372036854775808", "18446744073709551616", "1" * 400, "1" * 4500, "1e18",
    "4294967296", "0.5", "true", '"7"', "null",
)  # fmt: skip
MARK = "@@"
OPAQUE_FIELDS = ("version", "sequence", "born_ms", "epoch", "step", "counts")
"""Numbers that are only compared, so that any 64-bit number will do."""

DOCUMENTS = {
    ("an announcement", "spejlhus"): {
        "service": "s", "address": "10.0.0.1:80", "zone": "z", "concurrency": 6,
        "state": "ready", "coldRemainingMs": 5, "sequence": 4, "born": 1,
    },
    ("an announcement", "native"): {
        "service": "s", "address": "10.0.0.1:80", "availability_zone": "z",
        "born_ms": 1, "sequence": 4, "slots": 6, "cold_s": 0.5,
    },
    ("a departure notice", "spejlhus"): {"born": 1},
    ("a departure notice", "native"): {"born_ms": 1},
    ("a route table", "native"): {
        "version": 1,
        "services": [
            {
                "name": "s", "cold_rate": 1.0, "connections_max": 5,
                "experts": {
                    "layers": 2, "experts": 4, "slots": 2, "copies": 1,
                    "report_lag_s": 0.2,
                },
            }
        ],
        "routes": [
            {
                "name": "r", "host": "h", "path_prefix": "/", "timeout_s": 5.0,
                "target_first_s": 1.0, "target_gap_s": 1.0, "priority": 1,
                "attempts_max": 2, "repetition": "safe",
                "services": [{"service": "s", "weight": 1.0}],
            }
        ],
        "key_holders": [{"organisation": "o", "keys": ["k"], "priority": 1}],
    },
    ("an engine's report", "spejlhus"): {
        "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"}, "size": 2,
        "pace": 1.0, "step": 5, "map": 1, "prepared": 2,
        "armed": {"version": 2, "step": 9}, "held": 7,
    },
    ("an engine's report", "native"): {
        "server": "x", "group": "g", "epoch": 1, "rank": 0, "size": 2,
        "is_open": True, "is_busy": False, "pace": 1.0, "step": 5, "map_version": 1,
        "prepared_version": 2, "armed_version": 2, "armed_step": 9, "held_step": 7,
    },
}  # fmt: skip


def make_document(document, dialect):
    if (document, dialect) == ("a route table", "spejlhus"):
        return platform_words.make_manifest()
    return DOCUMENTS[document, dialect]


def iterate_variants(document):
    """Yields the document with each number replaced by each hostile text."""
    paths = list(iterate_number_paths(document, ()))
    assert paths
    for path in paths:
        for text in HOSTILE_NUMBERS:
            changed = copy.deepcopy(document)
            holder = changed
            for key in path[:-1]:
                holder = holder[key]
            holder[path[-1]] = MARK
            encoded = json.dumps(changed).replace(f'"{MARK}"', text)
            yield path, text, encoded.encode()


def iterate_number_paths(item, path):
    if isinstance(item, dict):
        children = item.items()
    elif isinstance(item, list | tuple):
        children = enumerate(item)
    else:
        if isinstance(item, int | float) and not isinstance(item, bool):
            yield path
        return
    for key, child in children:
        yield from iterate_number_paths(child, (*path, key))


def parse(document, dialect, body):
    platform_words.load("dialect")
    platform_words.load("enginedialect")
    if document == "an engine's report":
        return enginedialects.get_dialect(dialect).parse_report(body, None, None)
    known = controlcalls.get_dialect(dialect)
    if document == "an announcement":
        return known.parse_announcement("server-1", body)
    if document == "a route table":
        return known.parse_table(body)
    return result.Success(known.parse_departure("server-1", body))


def check_numbers(item, name=""):
    """Fails for a number that code can't loop over, add up or send."""
    if dataclasses.is_dataclass(item):
        for field in dataclasses.fields(item):
            check_numbers(getattr(item, field.name), field.name)
    elif isinstance(item, tuple):
        for child in item:
            check_numbers(child, name)
    elif isinstance(item, int | float) and not isinstance(item, bool):
        assert math.isfinite(item), (name, item)
        is_opaque = any(name.endswith(field) for field in OPAQUE_FIELDS)
        most = INT64_MAX if is_opaque else LARGEST
        assert abs(item) <= most, (name, item)


@behave.then("no number in {document} of the {dialect} dialect does harm")
def check_document(context, document, dialect):
    accepted = 0
    for path, text, body in iterate_variants(make_document(document, dialect)):
        try:
            parsed = parse(document, dialect, body)
            if isinstance(parsed, result.Failure):
                continue
            accepted += 1
            read = parsed.unwrap()
            check_numbers(read)
            if document == "a route table":
                routeindex.RouteIndex(read)
            else:
                assert codec.unpack(codec.pack(read)) == read
        except Exception as error:
            raise AssertionError((path, text[:30], repr(error)[:200])) from error
    assert accepted, "every document was rejected"


@behave.when("a server announces itself with the sequence {sequence:d}")
def announce(context, sequence):
    context.registry = rosterregistry.RosterRegistry(
        "leader 1", rosterregistry.EntryLifetimes(5.0, 5.0)
    )
    for name, number in (("server-1", 1), ("server-2", sequence)):
        document = {
            **DOCUMENTS["an announcement", "spejlhus"], "sequence": number,
        }  # fmt: skip
        parsed = parse("an announcement", "spejlhus", json.dumps(document).encode())
        if isinstance(parsed, result.Success):
            listing = dataclasses.replace(parsed.unwrap(), name=name)
            context.registry.record_announcement(listing, 1.0)


@behave.then("the hosts still get the other servers")
def check_news(context):
    news = context.registry.list_changes("", 0)
    reply = roster.RosterReply(None, "", (), servers=news.servers)
    received = codec.unpack(codec.pack(reply))
    assert "server-1" in [server.name for server in received.servers], received


TIMES_LEFT = {
    "5000 digits": "9" * 5000,
    "400 digits": "9" * 400,
    "a superscript": "\xb2",
    "negative": "-5",
    "infinite": "inf",
    "not a number": "soon",
}


@behave.given("an entry host before one server")
def make_server(context):
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    context.server = gatewayhost.ScriptedServer(
        lambda fields, target: gatewayhost.Reply(reply)
    )


@behave.when("a caller sends a request whose time left is {text}")
def send_time_left(context, text):
    async def ask():
        host = gatewayhost.GatewayHost([context.server], "safe", attempts_max=1)
        await host.start()
        try:
            headers = [("Lycheegauge-Deadline-Ms", TIMES_LEFT[text])]
            return await gatewayhost.call(host.address, headers=headers)
        finally:
            await host.close()

    context.received = asyncio.run(ask())


@behave.then("it is answered with status {status:d}")
def check_status(context, status):
    assert context.received.status == status, context.received


IMPOSSIBLE = {
    "with a port out of range": "127.0.0.1:65536",
    "with port 0": "127.0.0.1:0",
    "with a negative port": "127.0.0.1:-1",
    "without a port": "127.0.0.1",
    "with a port that is no number": "127.0.0.1:http",
    "with a port of 5000 digits": "127.0.0.1:" + "1" * 5000,
    "with a port in Arabic digits": "127.0.0.1:\u0668\u0660",
    "with an IP number out of range": "127.0.0.256:80",
    "with a host name that can't be one": "a..b:80",
    "without a host": ":80",
}


@behave.then("an announcement {problem} is refused in both dialects")
def check_refused_address(context, problem):
    for dialect in ("spejlhus", "native"):
        document = copy.deepcopy(DOCUMENTS["an announcement", dialect])
        parse = controlcalls.get_dialect(dialect).parse_announcement
        sound = parse("server", json.dumps(document).encode())
        assert isinstance(sound, result.Success), sound
        document["address"] = IMPOSSIBLE.get(problem, document["address"])
        name = "server" if problem in IMPOSSIBLE else "ser\x01ver"
        read = parse(name, json.dumps(document).encode())
        assert isinstance(read, result.Failure), (dialect, read)


@behave.given(
    "an entry host that is told of a sound server and of impossible addresses"
)
def make_impossible(context):
    class Unstarted:
        def __init__(self, address):
            self.address = address

        async def start(self):
            pass

        async def close(self):
            pass

    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    context.sound = gatewayhost.ScriptedServer(lambda *_: gatewayhost.Reply(whole))
    context.servers = [context.sound, *map(Unstarted, IMPOSSIBLE.values())]


@behave.then("all requests are answered by the sound server")
def check_answered(context):
    async def send():
        host = gatewayhost.GatewayHost(context.servers, "unsafe", attempts_max=1)
        await host.start()
        try:
            return [await gatewayhost.call(host.address) for _ in range(30)]
        finally:
            await host.close()

    received = asyncio.run(send())
    assert {item.status for item in received} == {200}, received


@behave.then(
    "connecting to an impossible address fails as connecting to a closed port does"
)
def check_connect(context):
    async def connect(address):
        try:
            await upstream.ConnectionPool().acquire("server", address)
        except errors.PeerUnreachableError as error:
            return error

    for address in ("127.0.0.1:1", *IMPOSSIBLE.values()):
        assert asyncio.run(connect(address)) is not None, address

"""An entry host's forwarding path in this process, with scripted backend servers."""

import asyncio
import dataclasses
import json
import socket
import struct
import zlib

from lycheegauge import metrics, settings
from lycheegauge.internal.coordination import rosterview
from lycheegauge.internal.daemons import callerdrain, forwarder, requestintake
from lycheegauge.internal.protocol import controlcalls, freshness, nativedialect, roster
from lycheegauge.internal.transport import clock, ingress, web

assert nativedialect
HOST = "api.example"
LEASE_S = 60.0
CALLER_TIMEOUT_S = 10.0
LAST_BYTES_S = 0.02
"""Time for sent bytes to be read before a reset, which would discard them."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a server sends to one request, and how it then ends the connection.

    Attributes:
        sent: All bytes of the response, with its head.
        ending: ``keep``, ``close`` (regularly) or ``reset``.
    """

    sent: bytes
    ending: str = "keep"


class ScriptedServer:
    """A server; ``make_reply`` maps a request's headers and target to a ``Reply``."""

    def __init__(self, make_reply):
        self.make_reply = make_reply
        self.address = ""
        self._connections = {}

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()
        for writer in self._connections.values():
            writer.transport.abort()
        await asyncio.gather(*self._connections)

    async def _serve(self, reader, writer):
        self._connections[asyncio.current_task()] = writer
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip("\r\n").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in lines)
                await reader.readexactly(int(fields.get("content-length", 0)))
                reply = self.make_reply(fields, first.split(" ")[1])
                writer.write(reply.sent)
                await writer.drain()
                if reply.ending == "reset":
                    await asyncio.sleep(LAST_BYTES_S)
                    reset_connection(writer)
                    return
                if reply.ending == "close":
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()


def reset_connection(writer):
    """Closes a connection with a TCP reset."""
    no_linger = struct.pack("ii", 1, 0)
    connected = writer.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class GatewayHost:
    """A forwarder behind a caller address, with a fixed roster and route table.

    ``sections`` are settings that differ from the defaults.
    """

    def __init__(
        self, servers, repetition, attempts_max, engine=None, slots=8, **sections
    ):
        part = settings.GatewaySettings(
            name="gateway-1", availability_zone="zone-a",
            caller_address="127.0.0.1:0", readiness_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            roster={"seed_hosts": ("127.0.0.1:1",)}, **sections,
        )  # fmt: skip
        self._servers, self._slots = servers, slots
        self._table = {
            "version": 1,
            "services": [{"name": "drafting", "engine": engine}],
            "routes": [
                {
                    "name": "route", "host": HOST, "path_prefix": "/",
                    "services": [{"service": "drafting"}], "timeout_s": 5.0,
                    "repetition": repetition, "attempts_max": attempts_max,
                    "target_first_s": 0.4, "target_gap_s": 0.12,
                }
            ],
        }  # fmt: skip
        self._counters = metrics.Metrics()
        self._view = rosterview.RosterView(LEASE_S)
        dialect = controlcalls.get_dialect("native")
        self.forwarder = forwarder.Forwarder(part, self._view, dialect, self._counters)
        intake = requestintake.RequestIntake(self.forwarder)
        budget = self.forwarder.budget
        listened = ingress.Ingress(intake.handle, part.limits.body_bytes, budget)
        self._listener = web.Listener(
            part.caller_address, listened, part.limits, budget
        )
        self._drain = callerdrain.CallerDrain(self.forwarder, listened, self._listener)
        self.address = ""

    async def start(self):
        listings = []
        for number, server in enumerate(self._servers):
            await server.start()
            listings.append(
                roster.ServerListing(
                    f"server-{number}",
                    1,
                    1,
                    "drafting",
                    server.address,
                    "zone-a",
                    getattr(server, "slots", self._slots),
                    0,
                )
            )
        body = zlib.compress(json.dumps(self._table).encode())
        now = clock.read_clock()
        pull = self._view.begin_pull(None, now)
        reply = roster.RosterReply(
            freshness.Proof(1, 0.0, 1.0), "", (), roster.RouteDocument(1, body),
            source="leader", whole=True, servers=tuple(listings),
        )  # fmt: skip
        self.forwarder.apply_changes(self._view.apply_reply(pull, reply, now))
        demand = self.forwarder.share.make_demand(now)
        whole = roster.HostShare(demand.sequence, 1.0, LEASE_S, unused_fraction=1.0)
        self.forwarder.share.apply_share(whole, now)
        self.address = await self._listener.start()

    def settle(self):
        """Ends the time after the start in which requests wait for updates."""
        self.forwarder.start_wait._settled_at = clock.read_clock()

    def start_drain(self):
        self._drain.start()

    async def finish_drain(self):
        """Ends the service of callers, as a planned stop does."""
        await self._drain.finish()

    def count_connections(self):
        return self._listener.count_connections()

    async def close(self):
        await self.forwarder.close()
        await self._listener.close()
        for server in self._servers:
            await server.close()
        self._counters.close()


@dataclasses.dataclass(frozen=True)
class Received:
    """A response as its caller received it.

    Attributes:
        status: The status; 0 if the head was incomplete.
        headers: The headers, with names in lower case.
        body: The decoded body, as far as it arrived.
        end: ``framed`` if length or chunks say that the body is complete,
            ``closed`` if a body without either ended with its connection, and
            ``broken`` for any other end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    end: str


async def call(address, path="/", headers=(), version="HTTP/1.1"):
    """Sends a request and reads the response to its end."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = "".join(f"{name}: {text}\r\n" for name, text in headers)
    request = f"GET {path} {version}\r\nHost: {HOST}\r\n{fields}\r\n"
    writer.write(request.encode("latin-1"))
    try:
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Received(0, {}, b"", "broken")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, text = line.partition(": ")
        headers[name.lower()] = text
    body, end = await read_body(reader, headers)
    return Received(int(first.split(" ")[1]), headers, body, end)


async def read_body(reader, headers):
    body = bytearray()
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return bytes(body), "framed"
        if "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
            return bytes(body), "framed"
        while part := await reader.read(65_536):
            body += part
        return bytes(body), "closed"
    except asyncio.IncompleteReadError as error:
        return bytes(body + error.partial), "broken"
    except ConnectionError:
        return bytes(body), "broken"

"""Handles control API calls: route tables, zones, announcements, entry hosts.

A follower relays to the leader every call that changes state or needs an
up-to-date read. A call is acknowledged after its change is committed; a call that
commits nothing makes no change that a failure could undo. A call without a version of
its own is carried out only while its client waits (``relativecalls``).
"""

import dataclasses
import json
import zlib

import loguru
from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal.daemons import (
    declarednames,
    discoveryresponder,
    relativecalls,
    rosterhost,
)
from lycheegauge.internal.protocol import changes, controlcalls, roster
from lycheegauge.internal.transport import clock, controlapi

COMPRESSION_LEVEL = 1
"""zlib's fastest level. Route tables repeat their field names, so even this level
shrinks them to a small fraction of their size."""

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


class ControlGate:
    """Handles the calls of the control API.

    Args:
        part: The host's settings.
        host: The log host whose state the calls read and change.
        dialect: The dialect of the control API.
    """

    def __init__(
        self,
        part: settings.ControlSettings,
        host: rosterhost.RosterHost,
        dialect: controlcalls.Dialect,
    ) -> None:
        self._host = host
        self._dialect = dialect
        self.relative_calls = relativecalls.RelativeCalls(host, dialect)
        self._declared = declarednames.DeclaredNames(dialect)
        self._entries = discoveryresponder.DiscoveryResponder(
            dialect, part.answer_valid_s
        )

    async def handle(
        self, method: str, target: str, body: bytes, sender: controlapi.Sender
    ) -> controlapi.Response:
        """Answers a call that a client made to this host."""
        call = self._dialect.parse_call(method, target)
        match call:
            case None:
                return controlapi.Response(NOT_FOUND)
            case controlcalls.ListEntryHosts():
                return self._entries.answer(
                    self._host.list_hosts(), self._host.count_open_by_host()
                )
            case controlcalls.CheckReadiness():
                return controlapi.Response(OK if self._host.leader_address else 503)
        if self._is_relative(call, body):
            relayed = roster.RelayedCall(method, target, body)
            answer = await self.relative_calls.carry_out(relayed, sender)
            return controlapi.Response(answer.status, answer.body)
        if self._host.task.is_leader:
            return await self._dispatch_call(call, body)
        return await self._relay(method, target, body)

    def _is_relative(self, call: controlcalls.Call, body: bytes) -> bool:
        departure = None
        if isinstance(call, controlcalls.Leave):
            departure = self._dialect.parse_departure(call.server, body)
        return relativecalls.is_relative(call, departure)

    async def handle_relayed(self, call: roster.RelayedCall) -> roster.RelayedAnswer:
        """Answers a call that another host relayed, if this host is the leader."""
        decoded = self._dialect.parse_call(call.method, call.target)
        if decoded is None or not self._host.task.is_leader:
            return roster.RelayedAnswer(0)
        if self._is_relative(decoded, call.body):
            detail = b"the client of a call without a version must be known to wait"
            return roster.RelayedAnswer(UNAVAILABLE, detail)
        answer = await self._dispatch_call(decoded, call.body)
        return roster.RelayedAnswer(answer.status, answer.body)

    async def _relay(
        self, method: str, target: str, body: bytes
    ) -> controlapi.Response:
        relayed = roster.RelayedCall(method, target, body)
        try:
            answer: roster.RelayedAnswer | None = await self._host.call_leader(
                "relay", lambda stub: stub.Relay, relayed
            )
        except errors.PeerUnreachableError as error:
            return _make_unavailable(f"the leader did not answer: {error}")
        if answer is None or not answer.status:
            return _make_unavailable("no leader is known; retry later")
        return controlapi.Response(answer.status, answer.body)

    async def _dispatch_call(
        self, call: controlcalls.Call, body: bytes
    ) -> controlapi.Response:
        match call:
            case controlcalls.PutTable():
                return await self._put_table(body)
            case controlcalls.ReadTable():
                return await self._read_table()
            case controlcalls.Announce():
                return await self._handle_announcement(call.server, body)
            case controlcalls.Leave():
                return await self._handle_leave(call.server, body)
            case controlcalls.ListCrashingParts():
                return await self._list_crashing_parts()
        return controlapi.Response(NOT_FOUND)

    async def _put_table(self, body: bytes) -> controlapi.Response:
        parsed = self._dialect.parse_table(body)
        if isinstance(parsed, result.Failure):
            loguru.logger.info("route table rejected", reason=str(parsed.failure()))
            return controlapi.Response(BAD_REQUEST, str(parsed.failure()).encode())
        version = parsed.unwrap().version
        held = self._host.routing.table
        if held is not None and version <= held.version:
            loguru.logger.info(
                "route table ignored: its version is not newer",
                version=version,
                held=held.version,
            )
            return controlapi.Response(OK, b"{}")
        document = zlib.compress(body, COMPRESSION_LEVEL)
        return await self._commit(changes.PutRouteTable(version, document))

    async def _read_table(self) -> controlapi.Response:
        read = await self._host.task.read()
        table = self._host.routing.table
        if isinstance(read, result.Failure):
            return _make_unavailable(str(read.failure()))
        if table is None:
            return _make_unavailable("no route table has been accepted yet")
        return controlapi.Response(OK, zlib.decompress(table.body))

    async def _list_crashing_parts(self) -> controlapi.Response:
        read = await self._host.task.read()
        if isinstance(read, result.Failure):
            return _make_unavailable(str(read.failure()))
        parts = [
            dataclasses.asdict(item) for item in self._host.crashing_parts.current.parts
        ]
        return controlapi.Response(OK, json.dumps({"parts": parts}).encode())

    async def _handle_announcement(
        self, server: str, body: bytes
    ) -> controlapi.Response:
        parsed = self._dialect.parse_announcement(server, body)
        if isinstance(parsed, result.Failure):
            loguru.logger.info(
                "announcement rejected", server=server, reason=str(parsed.failure())
            )
            return controlapi.Response(BAD_REQUEST, str(parsed.failure()).encode())
        listing = parsed.unwrap()
        departure = roster.Departure(server, listing.born_ms)
        if listing.leaving and not self._host.routing.has_departed(departure):
            answer = await self._commit(
                changes.NoteDeparture(departure.server, departure.born_ms)
            )
            if answer.status != OK:
                return answer
        if not self._host.task.is_leader:
            return _make_unavailable("this host is no longer the leader; retry")
        self._record_announcement(listing)
        return controlapi.Response(OK, b"{}")

    def _record_announcement(self, listing: roster.ServerListing) -> None:
        registry, now = self._host.get_registry(), clock.read_clock()
        registry.departures.update(self._host.routing.restrictions.departures, now)
        displaced = registry.find_displaced(listing)
        table = self._host.routing.table
        if displaced is not None and not self._declared.contain(listing.service, table):
            _log_announcement(
                "announcement ignored: its service is not declared", listing
            )
            return
        is_known = registry.find_server(listing.name) is not None
        is_recorded = registry.record_announcement(listing, now)
        if is_recorded and not is_known:
            _log_announcement("a backend server is listed", listing)
        elif not is_recorded and not is_known:
            _log_announcement(
                "announcement ignored: a later incarnation left, or a later start has"
                " its address",
                listing,
            )

    async def _handle_leave(self, server: str, body: bytes) -> controlapi.Response:
        departure = self._dialect.parse_departure(server, body)
        answer = await self._commit(
            changes.NoteDeparture(departure.server, departure.born_ms)
        )
        if answer.status == OK and self._host.task.is_leader:
            self._host.get_registry().remove_server(departure)
        return answer

    async def _commit(self, change: changes.Change) -> controlapi.Response:
        outcome = await self._host.task.propose(change)
        kind = type(change).__name__
        if isinstance(outcome, result.Failure):
            loguru.logger.warning(
                "change not committed", change=kind, reason=str(outcome.failure())
            )
            return _make_unavailable(str(outcome.failure()))
        loguru.logger.info(
            "committed",
            **relativecalls.describe_change(change, self._host.routing.revision),
        )
        return controlapi.Response(OK, b"{}")


def _log_announcement(message: str, listing: roster.ServerListing) -> None:
    loguru.logger.info(
        message,
        server=listing.name,
        born_ms=listing.born_ms,
        sequence=listing.sequence,
        address=listing.address,
        service=listing.service,
    )


def _make_unavailable(reason: str) -> controlapi.Response:
    return controlapi.Response(UNAVAILABLE, reason.encode())

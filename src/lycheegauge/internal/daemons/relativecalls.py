"""Carries out control calls whose effect depends on the state when they are sent.

Such a call has no version by which a copy could be told from a new call. If it gets no
answer, its client sends it again elsewhere, and may then send a call that undoes it.
The first copy may still be on its way: unread at a host that stands still, between a
follower and the leader, or in the leader.

Therefore the leader first resolves the call to a change that names the state it was
made for. The host that the call came to passes the change on only if the client still
waits. Every call that the client sends later is thus resolved later, and whichever of
two changes is committed first makes the other void.
"""

import dataclasses
import typing

import loguru
from returns import result

from lycheegauge import errors
from lycheegauge.internal.daemons import rosterhost
from lycheegauge.internal.protocol import changes, codec, controlcalls, roster
from lycheegauge.internal.transport import clock, controlapi

CLIENT_WAIT_S = 1.0
"""How long clients of the control API wait for an answer before they send a call again
elsewhere, in seconds."""

OK = 200
UNAVAILABLE = 503

Change = changes.SetZoneOut | changes.NoteDeparture | changes.ClearPart


def is_relative(call: controlcalls.Call, departure: roster.Departure | None) -> bool:
    """Tells whether the effect of a call depends on the state when it is sent.

    Args:
        call: The call.
        departure: What a departure notice says; ``None`` for any other call.
    """
    if departure is not None:
        return not departure.born_ms
    return isinstance(call, controlcalls.SetZone | controlcalls.ClearCrashingPart)


class RelativeCalls:
    """Resolves calls at the leader, and commits those whose clients still wait.

    Args:
        host: The log host whose state the calls change.
        dialect: The dialect of the control API.
    """

    def __init__(
        self, host: rosterhost.RosterHost, dialect: controlcalls.Dialect
    ) -> None:
        self._host = host
        self._dialect = dialect

    # At the host that the call came to.

    async def carry_out(
        self, call: roster.RelayedCall, sender: controlapi.Sender
    ) -> roster.RelayedAnswer:
        """Carries out a call that a client made to this host."""
        earliest_at = self._host.task.arrivals.find_earliest(sender.read_at)
        if not self._waits(call, sender, earliest_at):
            return _refuse("the call may be old; send it again")
        try:
            resolved = await self._resolve_at_leader(call)
            if resolved.status != OK:
                return _refuse(resolved.detail or "no leader is known; retry later")
            if not self._waits(call, sender, earliest_at):
                return _refuse("the call took too long; send it again")
            return await self._commit_at_leader(resolved)
        except errors.PeerUnreachableError as error:
            return _refuse(f"the leader did not answer: {error}")

    def _waits(
        self, call: roster.RelayedCall, sender: controlapi.Sender, earliest_at: float
    ) -> bool:
        """Tells whether the client certainly still waits for its answer."""
        age_s = clock.read_clock() - earliest_at
        if not sender.has_left and age_s < CLIENT_WAIT_S:
            return True
        loguru.logger.warning(
            "call not carried out: its sender may have left",
            method=call.method,
            target=call.target,
            has_left=sender.has_left,
            age_max_s=round(age_s, 3),
        )
        return False

    async def _resolve_at_leader(self, call: roster.RelayedCall) -> roster.ResolvedCall:
        if self._host.task.is_leader:
            return await self.resolve(call)
        resolved: roster.ResolvedCall | None = await self._host.call_leader(
            "resolve", lambda stub: stub.Resolve, call
        )
        return resolved or roster.ResolvedCall(0)

    async def _commit_at_leader(
        self, resolved: roster.ResolvedCall
    ) -> roster.RelayedAnswer:
        if self._host.task.is_leader:
            return await self.commit(resolved)
        answer: roster.RelayedAnswer | None = await self._host.call_leader(
            "commit", lambda stub: stub.Commit, resolved
        )
        return answer or _refuse("no leader is known; retry later")

    # At the leader.

    async def resolve(self, call: roster.RelayedCall) -> roster.ResolvedCall:
        """Returns the change that a call asks for in the current state."""
        decoded = self._dialect.parse_call(call.method, call.target)
        if decoded is None or not self._host.task.is_leader:
            return roster.ResolvedCall(0)
        read = await self._host.task.read()
        if isinstance(read, result.Failure):
            return roster.ResolvedCall(UNAVAILABLE, detail=str(read.failure()))
        change = self._make_change(decoded)
        if change is None:
            return roster.ResolvedCall(UNAVAILABLE, detail="not a relative call")
        return roster.ResolvedCall(OK, codec.pack(change))

    def _make_change(self, call: controlcalls.Call) -> Change | None:
        match call:
            case controlcalls.SetZone():
                zone = call.availability_zone
                version = self._host.routing.get_zone_version(zone)
                return changes.SetZoneOut(zone, call.out, version)
            case controlcalls.Leave():
                known = self._host.get_registry().find_server(call.server)
                if known is not None:
                    return changes.NoteDeparture(call.server, known.born_ms)
                now_ms = clock.read_unix_ms()
                return changes.NoteDeparture(call.server, 0, now_ms)
            case controlcalls.ClearCrashingPart():
                parts = self._host.crashing_parts.current.parts
                known_boots = [item.boots for item in parts if item.part == call.part]
                boots = known_boots[0] if known_boots else ()
                return changes.ClearPart(call.part, boots, False, 0.0)
        return None

    async def commit(self, resolved: roster.ResolvedCall) -> roster.RelayedAnswer:
        """Commits the change of a resolved call, unless a newer one came before it.

        Raises:
            errors.BorderError: The change can't be read.
        """
        change = codec.unpack(resolved.change)
        if not isinstance(change, Change):
            return _refuse(f"{type(change).__name__} is not a relative change")
        if not self._host.task.is_leader:
            return _refuse("this host is not the leader; retry")
        outcome = await self._host.task.propose(change)
        described = describe_change(change, self._host.routing.revision)
        if isinstance(outcome, result.Failure):
            reason = str(outcome.failure())
            loguru.logger.warning("change not committed", **described, reason=reason)
            return _refuse(reason)
        accepted = typing.cast(
            changes.RoutingOutcome | changes.Acknowledgement, outcome.unwrap()
        )
        is_void = accepted.status is changes.ChangeStatus.CONFLICT
        loguru.logger.info(
            "change is void: another one came before it" if is_void else "committed",
            **described,
        )
        if is_void:
            return _refuse("another change came before it; send it again")
        if isinstance(change, changes.NoteDeparture) and self._host.task.is_leader:
            departure = roster.Departure(change.server, change.born_ms)
            self._host.get_registry().remove_server(departure)
        return roster.RelayedAnswer(OK, b"{}")


def describe_change(change: changes.Change, revision: int) -> dict[str, typing.Any]:
    """Returns the fields of a change for the log, without documents."""
    fields = dataclasses.asdict(change)
    described = {
        f"change_{name}": value
        for name, value in fields.items()
        if not isinstance(value, bytes)
    }
    return {"change": type(change).__name__, "revision": revision, **described}


def _refuse(detail: str) -> roster.RelayedAnswer:
    return roster.RelayedAnswer(UNAVAILABLE, detail.encode())

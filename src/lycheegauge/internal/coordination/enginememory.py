"""Counts the tokens and the remaining work of open requests at each server.

This host's own requests are counted exactly, by the server's incarnation: a restarted
server holds nothing. Those of other hosts are known from their reports.
"""

import collections.abc
import dataclasses

from lycheegauge.internal.coordination import requestwork
from lycheegauge.internal.protocol import roster

FILL_MAX = 0.9
"""Fraction of a server's memory that hosts fill. Reports of other hosts are some tenths
of a second old, and answers can be longer than expected."""

REPORT_LIFETIME_S = 1.5
"""How long an engine's own report of its memory counts, in seconds. Engines are asked
several times within it while their group is coordinated."""


REPORTED_FROM = 0.5
"""Fraction of its memory from which an engine's report is passed on. Below it, hosts
would have to miss two fifths of a memory in their counts for a request not to fit."""


@dataclasses.dataclass(slots=True)
class _Held:
    """What this host's requests hold at one incarnation of a server."""

    tokens: int = 0
    remaining_s: float = 0.0
    requests: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _EngineCount:
    """The tokens that an engine reported itself."""

    tokens: int
    reported_at: float


def list_filled(
    servers: collections.abc.Iterable[roster.ServerListing],
    used: collections.abc.Mapping[str, float],
) -> tuple[roster.ServerMemory, ...]:
    """Lists the servers whose memory is mostly in use.

    Args:
        servers: The servers.
        used: The fraction that the engines have just reported, by server.
    """
    return tuple(
        roster.ServerMemory(server.name, server.born_ms, used[server.name])
        for server in servers
        if used.get(server.name, 0.0) >= REPORTED_FROM
    )


class ReportedMemories:
    """What engines report of their memory, on its way to the entry hosts."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[roster.ServerMemory, float]] = {}

    def record(
        self, memories: collections.abc.Iterable[roster.ServerMemory], now: float
    ) -> None:
        """Records reports and removes those that are old."""
        for item in memories:
            self._reports[item.server] = (item, now - item.age_ms / 1000)
        for server, (_, reported_at) in list(self._reports.items()):
            if now - reported_at > REPORT_LIFETIME_S:
                del self._reports[server]

    def list_recent(self, now: float) -> tuple[roster.ServerMemory, ...]:
        """Lists the reports that still count."""
        return tuple(
            dataclasses.replace(item, age_ms=round(1000 * (now - reported_at)))
            for item, reported_at in self._reports.values()
            if now - reported_at <= REPORT_LIFETIME_S
        )


class EngineMemory:
    """Sums the requests of this host by server."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        self._engine_counts: dict[str, _EngineCount] = {}

    def add(self, work: requestwork.RequestWork) -> None:
        """Counts a request that is sent."""
        held = self._held.setdefault(work.incarnation, _Held())
        held.tokens += work.held_tokens
        held.remaining_s += work.remaining_s
        held.requests += 1

    def note_events(self, work: requestwork.RequestWork, count: int) -> None:
        """Records whole events of a request's answer."""
        held = self._held[work.incarnation]
        tokens, remaining_s = work.held_tokens, work.remaining_s
        work.note_events(count)
        held.tokens += work.held_tokens - tokens
        held.remaining_s += work.remaining_s - remaining_s

    def remove(self, work: requestwork.RequestWork) -> None:
        """Removes a request that has ended."""
        held = self._held[work.incarnation]
        held.tokens -= work.held_tokens
        held.remaining_s -= work.remaining_s
        held.requests -= 1
        if not held.requests:
            # Also ends the accumulation of rounding errors.
            del self._held[work.incarnation]

    def count_own_tokens(self, incarnation: str) -> int:
        """Returns the tokens that this host's requests hold at a server."""
        held = self._held.get(incarnation)
        return held.tokens if held else 0

    def get_own_remaining_s(self, incarnation: str) -> float:
        """Returns the remaining work of this host's requests there, in seconds."""
        held = self._held.get(incarnation)
        return max(0.0, held.remaining_s) if held else 0.0

    def note_engine_count(self, incarnation: str, tokens: int, now: float) -> None:
        """Records the tokens that can't be reclaimed by an engine's own report."""
        self._engine_counts[incarnation] = _EngineCount(tokens, now)

    def count_held(self, incarnation: str, other_tokens: float, now: float) -> float:
        """Estimates the tokens that the requests of all hosts hold at a server.

        Args:
            incarnation: The server's incarnation.
            other_tokens: The tokens of other hosts' requests.
            now: Current time in seconds.
        """
        counted = self.count_own_tokens(incarnation) + other_tokens
        reported = self._engine_counts.get(incarnation)
        if reported is None or now - reported.reported_at > REPORT_LIFETIME_S:
            return counted
        return max(counted, reported.tokens)

    def remove_old_counts(self, now: float) -> None:
        """Removes reports of engines that do not count any more."""
        for incarnation, reported in list(self._engine_counts.items()):
            if now - reported.reported_at > REPORT_LIFETIME_S:
                del self._engine_counts[incarnation]


def has_room(held: float, needed: int, memory_tokens: int) -> bool:
    """Tells whether a request fits beside those that a server holds.

    A request that is larger than the fraction of the memory which hosts fill, but not
    than the memory, is sent to a server that holds nothing.

    Args:
        held: The tokens that are held there.
        needed: The tokens of the request.
        memory_tokens: The server's memory; 0 if it is not stated.
    """
    if not memory_tokens:
        return True
    if held <= 0:
        return needed <= memory_tokens
    return held + needed <= FILL_MAX * memory_tokens

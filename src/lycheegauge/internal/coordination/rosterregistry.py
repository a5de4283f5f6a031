"""The leader's registry of backend servers and entry hosts.

Every change gets a number, the cursor. A requester sends the last cursor it saw
and gets only the later changes. Followers mirror the registry, so that a new
leader does not start with an empty one.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics
import typing

from lycheegauge.internal.coordination import (
    departures,
    enginememory,
    streamcapacity,
)
from lycheegauge.internal.protocol import roster

MAX_REMOVALS = 1024
"""Removals kept for requesters that lag; one that lags further gets all entries."""


PULLS_MAX_PER_S = 75.0
"""Rate of pulls from all entry hosts that a leader aims for. Above it they pull less
often, so that a leader with a fraction of a core still serves the log."""

PULLS_PER_LEASE_MIN = 3.0
"""Pulls within a lease that must stay possible: two of them may be lost."""

PACE_CHANGE_FACTOR = 1.5
"""Factor by which a rank's pace must change for hosts to be told."""

MAX_GAPS = 512
"""Reported pauses kept: as many as some tens of hosts report in a few seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLifetimes:
    """How long an entry is kept without an announcement or pull, in seconds.

    Attributes:
        server_s: Several announcement intervals, since single announcements may
            be late.
        host_s: Several pull intervals; shorter than the time after which a failed
            host must no longer be listed to callers.
    """

    server_s: float
    host_s: float


MEDIANS_AGE_MAX_S = 0.05
"""How long the medians of pass times are reused, in seconds, so that the cost of a pull
does not grow with the number of hosts."""

Listing = typing.TypeVar("Listing", roster.ServerListing, roster.HostListing)


@dataclasses.dataclass(slots=True)
class _Entry(typing.Generic[Listing]):
    listing: Listing
    last_seen_at: float
    changed_cursor: int


@dataclasses.dataclass(frozen=True, slots=True)
class RosterChanges:
    """The changes since a requester's cursor."""

    cursor: int
    whole: bool
    servers: tuple[roster.ServerListing, ...]
    servers_gone: tuple[str, ...]
    hosts: tuple[roster.HostListing, ...]
    hosts_gone: tuple[str, ...]


class RosterRegistry:
    """Records announcements and pulls, and lists changes.

    Attributes:
        source: As given.
        memories: What engines report of their memory.
        departures: The servers that left.

    Args:
        source: Identifies this registry; cursors of other registries are not valid.
        lifetimes: How long entries are kept without an announcement or pull.
    """

    def __init__(self, source: str, lifetimes: EntryLifetimes) -> None:
        self.source = source
        self._lifetimes = lifetimes
        self._cursor = 0
        self._evicted_cursor = 0
        self._servers: dict[str, _Entry[roster.ServerListing]] = {}
        self._hosts: dict[str, _Entry[roster.HostListing]] = {}
        self._removals: list[tuple[int, str, bool]] = []
        self._open_requests: dict[str, tuple[roster.OpenRequests, ...]] = {}
        self.memories = enginememory.ReportedMemories()
        self.departures = departures.Departures(are_first_recent=True)
        self._open_totals: collections.Counter[str] = collections.Counter()
        self._open_tokens: collections.Counter[str] = collections.Counter()
        self._open_work_ms: collections.Counter[str] = collections.Counter()
        self._gaps: collections.deque[tuple[float, roster.ServiceGap]] = (
            collections.deque(maxlen=MAX_GAPS)
        )
        self._passes: dict[str, tuple[float, tuple[roster.ServicePass, ...]]] = {}
        self._medians: tuple[roster.ServicePass, ...] = ()
        self._medians_at = -math.inf

    def record_announcement(self, listing: roster.ServerListing, now: float) -> bool:
        """Records a backend server's announcement.

        Returns:
            Whether it is the newest of its server and of its address. An outdated
            announcement changes nothing.
        """
        known = self._servers.get(listing.name)
        if known is not None and _is_older(listing, known.listing):
            return False
        is_new = known is None or known.listing.incarnation != listing.incarnation
        if is_new and self.departures.is_outdated(listing.name, listing.born_ms, now):
            return False
        conflicting = self._find_address_conflict(listing)
        if conflicting is not None:
            if conflicting.born_ms > listing.born_ms:
                return False
            self._remove_server(conflicting.name)
        if known is not None and known.listing.incarnation == listing.incarnation:
            listing = dataclasses.replace(listing, pace=known.listing.pace)
        if known is not None and known.listing.born_ms < listing.born_ms:
            self._forget_work(listing.name)
        is_changed = known is None or _differs(listing, known.listing)
        if known is None or is_changed:
            self._cursor += 1
            self._servers[listing.name] = _Entry(listing, now, self._cursor)
        else:
            known.listing = listing
            known.last_seen_at = now
        return True

    def find_displaced(
        self, listing: roster.ServerListing
    ) -> roster.ServerListing | None:
        """Finds the server that an announcement would take out of its service."""
        known = self._servers.get(listing.name)
        if known is not None and known.listing.service != listing.service:
            return known.listing
        return self._find_address_conflict(listing)

    def mark_silent(self, name: str, is_silent: bool) -> bool:
        """Records whether a server is unreachable; returns whether that changed."""
        known = self._servers.get(name)
        if known is None or known.listing.silent == is_silent:
            return False
        self._cursor += 1
        known.listing = dataclasses.replace(known.listing, silent=is_silent)
        known.changed_cursor = self._cursor
        return True

    def remove_server(self, departure: roster.Departure) -> None:
        """Removes an incarnation that left; a later one with the same id stays."""
        known = self._servers.get(departure.server)
        if known is not None and known.listing.born_ms <= departure.born_ms:
            self._remove_server(departure.server)

    def find_server(self, name: str) -> roster.ServerListing | None:
        """Finds a backend server by its id."""
        known = self._servers.get(name)
        return known.listing if known else None

    def record_host(self, listing: roster.HostListing, now: float) -> None:
        """Records an entry host's pull."""
        known = self._hosts.get(listing.name)
        if known is not None and known.listing == listing:
            known.last_seen_at = now
            return
        self._cursor += 1
        self._hosts[listing.name] = _Entry(listing, now, self._cursor)

    def record_open_requests(
        self, host: str, open_requests: tuple[roster.OpenRequests, ...]
    ) -> None:
        """Records the requests that a host has open."""
        self._subtract_open_requests(host)
        self._open_requests[host] = open_requests
        for item in open_requests:
            self._open_totals[item.server] += item.count
            if item.tokens or item.work_ms:
                self._open_tokens[item.server] += item.tokens
                self._open_work_ms[item.server] += item.work_ms

    def count_open_by_host(self) -> dict[str, int]:
        """Counts the open requests that each entry host reported last."""
        return {
            host: sum(item.count for item in open_requests)
            for host, open_requests in self._open_requests.items()
        }

    def record_gaps(
        self, gaps: collections.abc.Iterable[roster.ServiceGap], now: float
    ) -> None:
        """Records the longest pauses that a host measured since its last report."""
        for gap in gaps:
            self._gaps.append((now, gap))

    def list_longest_gaps(self, since: float) -> tuple[roster.ServiceGap, ...]:
        """Lists the longest pause of each service reported since then."""
        longest: dict[str, float] = {}
        for at, gap in self._gaps:
            if at >= since:
                longest[gap.service] = max(longest.get(gap.service, 0.0), gap.longest_s)
        return tuple(roster.ServiceGap(*item) for item in sorted(longest.items()))

    def record_passes(
        self, host: str, passes: tuple[roster.ServicePass, ...], now: float
    ) -> None:
        """Records the pass times that a host measured lately."""
        if passes:
            self._passes[host] = (now, passes)
        else:
            self._passes.pop(host, None)

    def list_median_passes(self, now: float) -> tuple[roster.ServicePass, ...]:
        """Lists each service's median pass time over the hosts with a recent report.

        The median ignores single hosts that measure something else.
        """
        if 0.0 <= now - self._medians_at < MEDIANS_AGE_MAX_S:
            return self._medians
        since = now - streamcapacity.REPORT_AGE_MAX_S
        self._passes = {
            host: item for host, item in self._passes.items() if item[0] >= since
        }
        by_service: dict[str, list[roster.ServicePass]] = {}
        for _, passes in self._passes.values():
            for item in passes:
                by_service.setdefault(item.service, []).append(item)
        self._medians = tuple(
            roster.ServicePass(
                service,
                statistics.median(item.pass_s for item in items),
                sum(item.samples for item in items),
            )
            for service, items in sorted(by_service.items())
        )
        self._medians_at = now
        return self._medians

    def update_silent(self, silent: collections.abc.Collection[str]) -> None:
        """Records which of all servers are unreachable."""
        for name in self._servers:
            self.mark_silent(name, name in silent)

    def update_paces(self, paces: collections.abc.Iterable[roster.ServerPace]) -> None:
        """Records the slow ranks, unless their paces have hardly changed."""
        by_name = {item.server: item.pace for item in paces}
        for name, entry in self._servers.items():
            before, now = entry.listing.pace or 1.0, by_name.get(name, 0.0) or 1.0
            if max(before, now) >= PACE_CHANGE_FACTOR * min(before, now):
                self._cursor += 1
                entry.listing = dataclasses.replace(
                    entry.listing, pace=by_name.get(name, 0.0)
                )
                entry.changed_cursor = self._cursor

    def list_open_elsewhere(self, host: str) -> tuple[roster.OpenRequests, ...]:
        """Sums the open requests per server at all hosts but ``host``."""
        own = {item.server: item for item in self._open_requests.get(host, ())}
        elsewhere = []
        for server, total in sorted(self._open_totals.items()):
            mine = own.get(server, roster.OpenRequests(server, 0))
            if total > mine.count:
                elsewhere.append(
                    roster.OpenRequests(
                        server,
                        total - mine.count,
                        self._open_tokens[server] - mine.tokens,
                        self._open_work_ms[server] - mine.work_ms,
                    )
                )
        return tuple(elsewhere)

    def list_memories(self, now: float) -> tuple[roster.ServerMemory, ...]:
        """Lists what engines report of their memory, if entry hosts count tokens."""
        return self.memories.list_recent(now) if self._open_tokens else ()

    def _forget_work(self, server: str) -> None:
        """Forgets the tokens and the work at a server that has restarted.

        The requests are counted until their hosts report that they have ended.
        """
        self._open_tokens.pop(server, None)
        self._open_work_ms.pop(server, None)
        for host, open_requests in self._open_requests.items():
            if any(item.server == server and item.tokens for item in open_requests):
                self._open_requests[host] = tuple(
                    roster.OpenRequests(server, item.count)
                    if item.server == server
                    else item
                    for item in open_requests
                )

    def _subtract_open_requests(self, host: str) -> None:
        for item in self._open_requests.pop(host, ()):
            self._open_totals[item.server] -= item.count
            if item.tokens or item.work_ms:
                self._open_tokens[item.server] -= item.tokens
                self._open_work_ms[item.server] -= item.work_ms
            if not self._open_totals[item.server]:
                del self._open_totals[item.server]
                self._open_tokens.pop(item.server, None)
                self._open_work_ms.pop(item.server, None)

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes expired entries and returns their names."""
        servers = _list_expired(self._servers, now - self._lifetimes.server_s)
        hosts = _list_expired(self._hosts, now - self._lifetimes.host_s)
        for name in servers:
            self._remove_server(name)
        for name in hosts:
            del self._hosts[name]
            self._subtract_open_requests(name)
            self._record_removal(name, is_host=True)
        return (*servers, *hosts)

    def list_changes(self, source: str, cursor: int) -> RosterChanges:
        """Lists the changes that a requester has not seen."""
        whole = source != self.source or cursor < self._evicted_cursor
        after = 0 if whole else cursor
        removed = [] if whole else [item for item in self._removals if item[0] > after]
        return RosterChanges(
            self._cursor,
            whole,
            tuple(
                e.listing for e in self._servers.values() if e.changed_cursor > after
            ),
            tuple(name for _, name, is_host in removed if not is_host),
            tuple(e.listing for e in self._hosts.values() if e.changed_cursor > after),
            tuple(name for _, name, is_host in removed if is_host),
        )

    def restore_entries(
        self,
        servers: collections.abc.Iterable[roster.ServerListing],
        hosts: collections.abc.Iterable[roster.HostListing],
        now: float,
    ) -> None:
        """Adds the entries that a follower mirrored, as if announced now."""
        for server in servers:
            if server.name not in self._servers:
                self.record_announcement(server, now)
        for host in hosts:
            if host.name not in self._hosts:
                self.record_host(host, now)

    def list_servers(self) -> tuple[roster.ServerListing, ...]:
        """Lists the backend servers."""
        return tuple(entry.listing for entry in self._servers.values())

    def list_hosts(self) -> tuple[roster.HostListing, ...]:
        """Lists the entry hosts."""
        return tuple(entry.listing for entry in self._hosts.values())

    def _find_address_conflict(
        self, listing: roster.ServerListing
    ) -> roster.ServerListing | None:
        """Finds another server that announced the same address."""
        for entry in self._servers.values():
            other = entry.listing
            if other.address == listing.address and other.name != listing.name:
                return other
        return None

    def _remove_server(self, name: str) -> None:
        if self._servers.pop(name, None) is not None:
            self._record_removal(name, is_host=False)

    def _record_removal(self, name: str, is_host: bool) -> None:
        self._cursor += 1
        self._removals.append((self._cursor, name, is_host))
        if len(self._removals) > MAX_REMOVALS:
            self._evicted_cursor = self._removals.pop(0)[0]


def compute_pull_interval(hosts: int, interval_s: float, lease_s: float) -> float:
    """Returns how long an entry host waits between two pulls, in seconds.

    Args:
        hosts: The number of entry hosts.
        interval_s: The interval with few hosts, in seconds.
        lease_s: How long a host may act on its last pull, in seconds.
    """
    stretched_s = min(hosts / PULLS_MAX_PER_S, lease_s / PULLS_PER_LEASE_MIN)
    return max(interval_s, stretched_s)


def _is_older(listing: roster.ServerListing, known: roster.ServerListing) -> bool:
    return (listing.born_ms, listing.sequence) < (known.born_ms, known.sequence)


def _differs(listing: roster.ServerListing, known: roster.ServerListing) -> bool:
    """Returns whether requesters need the new listing.

    A change of the sequence alone does not count. While a server is cold, each of
    its announcements does.
    """
    if listing.cold_s > 0.0 or known.cold_s > 0.0:
        return True
    return dataclasses.replace(listing, sequence=known.sequence) != known


def _list_expired(
    entries: collections.abc.Mapping[str, _Entry[typing.Any]], since: float
) -> list[str]:
    return [name for name, entry in entries.items() if entry.last_seen_at < since]

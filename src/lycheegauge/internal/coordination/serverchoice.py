"""Estimates how busy the backend servers are, and remembers which ones failed.

A host knows its own open requests exactly. It knows those of the other hosts as of
its last pull or, while servers are crowded, as of their load updates.
"""

import copy
import dataclasses
import math
import typing

from lycheegauge.internal.coordination import enginememory, loadnews
from lycheegauge.internal.protocol import roster

NEWS_HALF_LIFE_S = 2.0
"""Pulled counts of other hosts' requests have half weight after this time, which is
about the duration of an answer. While the log has a leader, they are refreshed
several times within it."""

STATED_LIFETIME_S = 1.0
"""How long the load that a server states in an answer counts. A stream takes about as
long, so most of the requests that it counted may have ended by then."""

OPEN_FRACTION = 0.5
"""Part of its work that an open request still has on average."""

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
"""A server that fails is excluded for a time that starts at ``INITIAL_BACKOFF_S`` and
doubles with each consecutive failure, up to this maximum."""


@dataclasses.dataclass(slots=True)
class _ServerLoad:
    """One host's view of one server's load and failures.

    Attributes:
        own: This host's open requests at the server.
        others: Open requests of other hosts there, as of the last pull.
        other_tokens: The tokens that they held.
        other_work_s: Their remaining work, in seconds.
        pulled_at: Time of the last pull, in seconds.
        stated: Open requests of other hosts by the server's last answer.
        stated_at: Time of that answer, in seconds.
        listing: The server, as last listed.
        failures: Number of consecutive failures.
        excluded_until: The server is excluded until this time, in seconds.
    """

    own: int = 0
    others: float = 0.0
    other_tokens: float = 0.0
    other_work_s: float = 0.0
    pulled_at: float = -math.inf
    stated: int = 0
    stated_at: float = -math.inf
    listing: roster.ServerListing | None = None
    failures: int = 0
    excluded_until: float = -math.inf


_UNKNOWN = _ServerLoad()
"""Stands for servers of which nothing is known, and is not changed."""


class ServerChoice:
    """Tracks the loads and failures of the servers of all services.

    Attributes:
        news: Load updates from the other hosts.
        has_recent_news: Whether there is a recent update from every other host.
        memory: The tokens and the work of this host's own requests.
    """

    def __init__(self) -> None:
        self.memory = enginememory.EngineMemory()
        self._loads: dict[str, _ServerLoad] = {}
        self.news = loadnews.LoadNewsStore()
        self.has_recent_news = False

    def copy(self) -> "ServerChoice":
        """Returns a copy whose counts can expire without changing this one."""
        copied = copy.copy(self)
        copied.news = self.news.copy()
        copied._loads = dict(self._loads)
        return copied

    def has_failed(self, server: str, now: float) -> bool:
        """Tells whether a server is excluded because it failed recently."""
        load = self._loads.get(server)
        return load is not None and load.excluded_until > now

    def estimate(self, server: roster.ServerListing, slots: int, now: float) -> float:
        """Estimates the busy fraction of a server's slots; above 1 requests queue."""
        load = self._loads.get(server.name, _UNKNOWN)
        others = self._estimate_others(server.name, load, now)
        return (load.own + others) / max(1, server.slots or slots)

    def count_elsewhere(self, servers: typing.Iterable[str], now: float) -> float:
        """Estimates the open requests that all other hosts have at some servers."""
        return sum(
            self._estimate_others(name, self._get_load(name), now) for name in servers
        )

    def _estimate_others(self, server: str, load: _ServerLoad, now: float) -> float:
        """Estimates the number of other hosts' open requests."""
        others = float(self.news.count(server))
        if not self.has_recent_news:
            others = max(others, load.others * self._fade(load, now))
        if now - load.stated_at > STATED_LIFETIME_S:
            return others
        if not self.has_recent_news and load.stated_at > load.pulled_at:
            return load.stated
        return max(others, load.stated)

    def _fade(self, load: _ServerLoad, now: float) -> float:
        """Returns the weight of the counts of the last pull."""
        return math.pow(0.5, (now - load.pulled_at) / NEWS_HALF_LIFE_S)

    def estimate_tokens(self, server: roster.ServerListing, now: float) -> float:
        """Estimates the tokens that the requests of all hosts hold at a server."""
        load = self._loads.get(server.name, _UNKNOWN)
        others = float(self.news.count_tokens(server.name))
        if not self.has_recent_news:
            others = max(others, load.other_tokens * self._fade(load, now))
        return self.memory.count_held(server.incarnation, others, now)

    def estimate_work(
        self, server: roster.ServerListing, usual_s: float, now: float
    ) -> float:
        """Estimates the remaining work of all hosts' requests, in seconds.

        Args:
            server: The server.
            usual_s: The work of a usual request, in seconds. It stands for requests
                of which only the number is known.
            now: Current time in seconds.
        """
        load = self._loads.get(server.name, _UNKNOWN)
        known = float(self.news.count_weighed(server.name))
        others_s = self.news.get_work_s(server.name)
        if not self.has_recent_news:
            weight = self._fade(load, now)
            known = max(known, load.others * weight)
            others_s = max(others_s, load.other_work_s * weight)
        if not others_s:
            known = 0.0
        more = max(0.0, self._estimate_others(server.name, load, now) - known)
        own_s = self.memory.get_own_remaining_s(server.incarnation)
        return own_s + others_s + more * OPEN_FRACTION * usual_s

    def get_counts_age_s(self, servers: typing.Iterable[str], now: float) -> float:
        """Returns the age of the other hosts' counts in use; infinite for none."""
        if self.has_recent_news:
            return self.news.get_oldest_age_s(now)
        ages = (self.get_pull_age_s(server, now) for server in servers)
        return max(ages, default=math.inf)

    def get_pull_age_s(self, server: str, now: float) -> float:
        """Returns the age of the last pull's counts, in seconds; infinite for none."""
        load = self._loads.get(server)
        return now - load.pulled_at if load is not None else math.inf

    def get_stated_age_s(self, server: str, now: float) -> float:
        """Returns the age of the load that a server stated; infinite for none."""
        load = self._loads.get(server)
        return now - load.stated_at if load is not None else math.inf

    def note_stated_load(self, server: str, open_requests: int, now: float) -> None:
        """Records how many requests a server's answer says it has.

        Args:
            server: The server's name.
            open_requests: The running and waiting requests of all hosts, with the
                one that is answered.
            now: Current time in seconds.
        """
        load = self._get_load(server)
        load.stated = max(0, open_requests - load.own)
        load.stated_at = now

    def update_servers(self, servers: typing.Iterable[roster.ServerListing]) -> None:
        """Forgets what other hosts had open at servers that have restarted."""
        for server in servers:
            load = self._get_load(server.name)
            if load.listing and load.listing.incarnation != server.incarnation:
                self.news.forget_server(server.name)
                load.others = load.other_tokens = load.other_work_s = 0.0
                load.stated_at = -math.inf
            load.listing = server

    def note_sent(self, server: str) -> None:
        """Records that a request is sent."""
        self._get_load(server).own += 1

    def note_ended(self, server: str) -> None:
        """Records the end of a request, whatever its outcome."""
        load = self._get_load(server)
        load.own = max(0, load.own - 1)

    def set_other_requests(
        self, open_elsewhere: typing.Iterable[roster.OpenRequests], now: float
    ) -> None:
        """Replaces the counts of open requests of all other hosts."""
        counts = {item.server: item for item in open_elsewhere}
        for name in self._loads.keys() | counts.keys():
            load = self._get_load(name)
            item = counts.get(name, roster.OpenRequests(name, 0))
            load.others = item.count
            load.other_tokens = item.tokens
            load.other_work_s = item.work_ms / 1000
            load.pulled_at = now

    def list_own_requests(self) -> tuple[roster.OpenRequests, ...]:
        """Lists this host's open requests by server."""
        return tuple(
            self._summarise(name, load)
            for name, load in self._loads.items()
            if load.own
        )

    def _summarise(self, name: str, load: _ServerLoad) -> roster.OpenRequests:
        if load.listing is None:
            return roster.OpenRequests(name, load.own)
        incarnation = load.listing.incarnation
        return roster.OpenRequests(
            name,
            load.own,
            self.memory.count_own_tokens(incarnation),
            round(1000 * self.memory.get_own_remaining_s(incarnation)),
        )

    def count_own_requests(self) -> int:
        """Counts this host's open requests at all servers."""
        return sum(load.own for load in self._loads.values())

    def update_hosts(self, hosts: typing.Iterable[str], now: float) -> None:
        """Updates whether there are recent updates from all hosts.

        Args:
            hosts: Names of the other hosts that are alive.
            now: Current time in seconds.
        """
        self.news.expire(now)
        self.has_recent_news = self.news.is_complete(hosts)

    def note_success(self, server: str) -> None:
        """Records an answer and resets the consecutive failures."""
        load = self._get_load(server)
        load.failures = 0
        load.excluded_until = -math.inf

    def note_failure(self, server: str, now: float) -> float:
        """Records a failure; returns the seconds for which the server is excluded."""
        load = self._get_load(server)
        load.failures += 1
        backoff = math.ldexp(INITIAL_BACKOFF_S, min(load.failures - 1, 8))
        backoff_s = min(MAX_BACKOFF_S, backoff)
        load.excluded_until = now + backoff_s
        return backoff_s

    def remove_absent(self, servers: typing.Container[str]) -> None:
        """Removes servers that are not in ``servers`` and have no open request."""
        for name in [n for n in self._loads if n not in servers]:
            if not self._loads[name].own:
                del self._loads[name]

    def _get_load(self, server: str) -> _ServerLoad:
        return self._loads.setdefault(server, _ServerLoad())

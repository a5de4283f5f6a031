"""Estimates how busy the backend servers are, and remembers which ones failed.

A host knows its own open requests exactly. It knows those of the other hosts as of
its last pull or, while servers are crowded, as of their load updates.
"""

import dataclasses
import math
import typing

from lycheegauge.internal.coordination import loadnews
from lycheegauge.internal.protocol import roster

NEWS_HALF_LIFE_S = 2.0
"""Pulled counts of other hosts' requests have half weight after this time, which is
about the duration of an answer. While the log has a leader, they are refreshed
several times within it."""

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
        pulled_at: Time of the last pull, in seconds.
        failures: Number of consecutive failures.
        excluded_until: The server is excluded until this time, in seconds.
    """

    own: int = 0
    others: float = 0.0
    pulled_at: float = -math.inf
    failures: int = 0
    excluded_until: float = -math.inf


class ServerChoice:
    """Tracks the loads and failures of the servers of all services.

    Attributes:
        news: Load updates from the other hosts.
        has_recent_news: Whether there is a recent update from every other host.
    """

    def __init__(self) -> None:
        self._loads: dict[str, _ServerLoad] = {}
        self.news = loadnews.LoadNewsStore()
        self.has_recent_news = False

    def has_failed(self, server: str, now: float) -> bool:
        """Tells whether a server is excluded because it failed recently."""
        load = self._loads.get(server)
        return load is not None and load.excluded_until > now

    def estimate(self, server: roster.ServerListing, slots: int, now: float) -> float:
        """Estimates the busy fraction of a server's slots; above 1 requests queue."""
        load = self._get_load(server.name)
        others = self._estimate_others(server.name, load, now)
        return (load.own + others) / max(1, server.slots or slots)

    def count_elsewhere(self, servers: typing.Iterable[str], now: float) -> float:
        """Estimates the open requests that all other hosts have at some servers."""
        return sum(
            self._estimate_others(name, self._get_load(name), now) for name in servers
        )

    def _estimate_others(self, server: str, load: _ServerLoad, now: float) -> float:
        others = float(self.news.count(server))
        if self.has_recent_news:
            return others
        age_s = now - load.pulled_at
        return max(others, load.others * math.pow(0.5, age_s / NEWS_HALF_LIFE_S))

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
        counts = {item.server: item.count for item in open_elsewhere}
        for name in self._loads.keys() | counts.keys():
            load = self._get_load(name)
            load.others = counts.get(name, 0)
            load.pulled_at = now

    def list_own_requests(self) -> tuple[roster.OpenRequests, ...]:
        """Lists this host's open requests by server."""
        return tuple(
            roster.OpenRequests(name, load.own)
            for name, load in self._loads.items()
            if load.own
        )

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

"""Chooses the backend server to which a request is sent.

A host knows its own open requests exactly. It knows those of the other hosts as of
its last pull or, while servers are crowded, as of their load updates. From a few
servers drawn at random it chooses the one with the lowest estimated fraction of busy
slots (the power of d choices, Mitzenmacher 2001), so that hosts with the same old
data don't all choose the same server.
"""

import dataclasses
import math
import random
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

SERVERS_SAMPLED = 3
"""Servers compared per choice while only pulled counts are known. With counts some
tenths of a second old, two servers are too few to find a free one, and with more than
four the hosts choose the same servers; see the flash crowd in the tests."""

SERVERS_SAMPLED_WITH_NEWS = 5
"""Servers compared per choice while there are updates from all hosts. They are some
hundredths of a second old, so more servers can be compared."""


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
    """Tracks the servers of all services and chooses among them.

    Attributes:
        news: Load updates from the other hosts.
        has_recent_news: Whether there is a recent update from every other host.

    Args:
        random_source: Random source that draws the servers to compare.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._loads: dict[str, _ServerLoad] = {}
        self.news = loadnews.LoadNewsStore()
        self.has_recent_news = False

    def choose(
        self,
        servers: typing.Iterable[roster.ServerListing],
        slots: int,
        now: float,
    ) -> roster.ServerListing | None:
        """Chooses one of ``servers``; recently failed ones only if all have failed.

        Args:
            servers: The servers that may run the request.
            slots: Slots assumed for a server that does not report its own.
            now: Current time in seconds.
        """
        usable = list(servers)
        healthy = [s for s in usable if self._get_load(s.name).excluded_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        count = SERVERS_SAMPLED_WITH_NEWS if self.has_recent_news else SERVERS_SAMPLED
        sampled = self._random.sample(candidates, min(count, len(candidates)))
        best = min(sampled, key=lambda server: self.estimate(server, slots, now))
        if self.estimate(best, slots, now) < 1.0:
            return best
        # All drawn servers are full, but another one may have a free slot.
        return min(candidates, key=lambda server: self.estimate(server, slots, now))

    def estimate(self, server: roster.ServerListing, slots: int, now: float) -> float:
        """Estimates the busy fraction of a server's slots; above 1 requests queue."""
        load = self._get_load(server.name)
        age_s = now - load.pulled_at
        others = float(self.news.count(server.name))
        if not self.has_recent_news:
            pulled = load.others * math.pow(0.5, age_s / NEWS_HALF_LIFE_S)
            others = max(others, pulled)
        return (load.own + others) / max(1, server.slots or slots)

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

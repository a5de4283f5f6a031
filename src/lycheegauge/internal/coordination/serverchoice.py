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

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 4.0
"""A server that fails is excluded for a time that starts at ``FIRST_BACKOFF_S`` and
doubles with each consecutive failure, up to this maximum."""

SERVERS_DRAWN = 3
"""Servers compared per choice while only pulled counts are known. With counts some
tenths of a second old, two servers are too few to find a free one, and with more than
four the hosts choose the same servers; see the flash crowd in the tests."""

SERVERS_DRAWN_INFORMED = 5
"""Servers compared per choice while there are updates from all hosts. They are some
hundredths of a second old, so more servers can be compared."""


@dataclasses.dataclass(slots=True)
class _Known:
    """One host's view of one server's load and failures.

    Attributes:
        own: This host's open requests at the server.
        others: Open requests of other hosts there, as of the last pull.
        told_at: Time of the last pull, in seconds.
        failures: Number of consecutive failures.
        out_until: The server is excluded until this time, in seconds.
    """

    own: int = 0
    others: float = 0.0
    told_at: float = -math.inf
    failures: int = 0
    out_until: float = -math.inf


class ServerChoice:
    """Tracks the servers of all services and chooses among them.

    Attributes:
        news: Load updates from the other hosts.
        is_informed: Whether there is a recent update from every other host.

    Args:
        chance: Random source that draws the servers to compare.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._known: dict[str, _Known] = {}
        self.news = loadnews.LoadNewsBook()
        self.is_informed = False

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
        sound = [s for s in usable if self._get(s.name).out_until <= now]
        candidates = sound or usable
        if not candidates:
            return None
        count = SERVERS_DRAWN_INFORMED if self.is_informed else SERVERS_DRAWN
        drawn = self._chance.sample(candidates, min(count, len(candidates)))
        best = min(drawn, key=lambda server: self.estimate(server, slots, now))
        if self.estimate(best, slots, now) < 1.0:
            return best
        # All drawn servers are full, but another one may have a free slot.
        return min(candidates, key=lambda server: self.estimate(server, slots, now))

    def estimate(self, server: roster.ServerListing, slots: int, now: float) -> float:
        """Estimates the busy fraction of a server's slots; above 1 requests queue."""
        known = self._get(server.name)
        age_s = now - known.told_at
        others = float(self.news.count(server.name))
        if not self.is_informed:
            pulled = known.others * math.pow(0.5, age_s / NEWS_HALF_LIFE_S)
            others = max(others, pulled)
        return (known.own + others) / max(1, server.slots or slots)

    def note_sent(self, server: str) -> None:
        """Records that a request is sent."""
        self._get(server).own += 1

    def note_ended(self, server: str) -> None:
        """Records the end of a request, whatever its outcome."""
        known = self._get(server)
        known.own = max(0, known.own - 1)

    def note_others(
        self, open_elsewhere: typing.Iterable[roster.OpenRequests], now: float
    ) -> None:
        """Replaces the counts of open requests of all other hosts."""
        counts = {item.server: item.count for item in open_elsewhere}
        for name in self._known.keys() | counts.keys():
            known = self._get(name)
            known.others = counts.get(name, 0)
            known.told_at = now

    def list_own(self) -> tuple[roster.OpenRequests, ...]:
        """Lists this host's open requests by server."""
        return tuple(
            roster.OpenRequests(name, known.own)
            for name, known in self._known.items()
            if known.own
        )

    def follow_hosts(self, hosts: typing.Iterable[str], now: float) -> None:
        """Updates whether there are recent updates from all hosts.

        Args:
            hosts: Names of the other hosts that are alive.
            now: Current time in seconds.
        """
        self.news.expire(now)
        self.is_informed = self.news.is_complete(hosts)

    def note_success(self, server: str) -> None:
        """Records an answer and resets the consecutive failures."""
        known = self._get(server)
        known.failures = 0
        known.out_until = -math.inf

    def note_failure(self, server: str, now: float) -> float:
        """Records a failure; returns the seconds for which the server is excluded."""
        known = self._get(server)
        known.failures += 1
        backoff = math.ldexp(FIRST_BACKOFF_S, min(known.failures - 1, 8))
        backoff_s = min(LONGEST_BACKOFF_S, backoff)
        known.out_until = now + backoff_s
        return backoff_s

    def keep_only(self, servers: typing.Container[str]) -> None:
        """Removes servers that are not in ``servers`` and have no open request."""
        for name in [n for n in self._known if n not in servers]:
            if not self._known[name].own:
                del self._known[name]

    def _get(self, server: str) -> _Known:
        return self._known.setdefault(server, _Known())

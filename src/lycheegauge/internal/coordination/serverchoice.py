"""Chooses the backend server that a request is sent to.

A host knows its own open requests exactly, and those of the other hosts as of
its last pull or, while servers are crowded, as of their own news. Of a few servers
drawn at random the one with the least estimated share of busy slots is chosen (the
power of d choices, Mitzenmacher 2001), so that hosts with the same old news don't
all choose the same server.
"""

import dataclasses
import math
import random
import typing

from lycheegauge.internal.coordination import loadnews
from lycheegauge.internal.protocol import roster

NEWS_HALF_LIFE_S = 2.0
"""Old news of others count half after so long, which is about an answer's time;
they are refreshed several times within it while the log has a leader."""

FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 4.0
"""A server that fails is left out so long, doubling with each failure in a row."""

SERVERS_DRAWN = 3
"""With news some tenths of a second old, two look too narrowly and more than four
crowd together; see the flash crowd in the tests."""

SERVERS_DRAWN_INFORMED = 5
"""With news of all hosts some hundredths of a second old, more can be compared."""


@dataclasses.dataclass(slots=True)
class _Known:
    """What one host knows of one server's load and failures.

    Attributes:
        own: This host's open requests there.
        others: Requests of other hosts there, as of the last news.
        told_at: When that was, in seconds.
        failures: Failures in a row.
        out_until: The server is left out until then.
    """

    own: int = 0
    others: float = 0.0
    told_at: float = -math.inf
    failures: int = 0
    out_until: float = -math.inf


class ServerChoice:
    """Tracks the servers of all services and chooses among them.

    Args:
        chance: Draws the servers that are compared.
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
        """Chooses one of ``servers``; those that failed lately only if all did.

        Args:
            servers: The servers that may run the request.
            slots: Slots of a server that does not tell its own.
            now: Seconds.
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
        # A queue there would be in vain while another server has a free slot.
        return min(candidates, key=lambda server: self.estimate(server, slots, now))

    def estimate(self, server: roster.ServerListing, slots: int, now: float) -> float:
        """Estimates the share of a server's slots that is busy; over 1 is a queue."""
        known = self._get(server.name)
        age_s = now - known.told_at
        others = float(self.news.count(server.name))
        if not self.is_informed:
            pulled = known.others * math.pow(0.5, age_s / NEWS_HALF_LIFE_S)
            others = max(others, pulled)
        return (known.own + others) / max(1, server.slots or slots)

    def note_sent(self, server: str) -> None:
        """Notes that a request is sent."""
        self._get(server).own += 1

    def note_ended(self, server: str) -> None:
        """Notes that a request ended, however it did."""
        known = self._get(server)
        known.own = max(0, known.own - 1)

    def note_others(
        self, open_elsewhere: typing.Iterable[roster.OpenRequests], now: float
    ) -> None:
        """Takes the requests that all other hosts have open."""
        counts = {item.server: item.count for item in open_elsewhere}
        for name in self._known.keys() | counts.keys():
            known = self._get(name)
            known.others = counts.get(name, 0)
            known.told_at = now

    def list_own(self) -> tuple[roster.OpenRequests, ...]:
        """Lists this host's open requests."""
        return tuple(
            roster.OpenRequests(name, known.own)
            for name, known in self._known.items()
            if known.own
        )

    def follow_hosts(self, hosts: typing.Iterable[str], now: float) -> None:
        """Notes whose news make the picture whole.

        Args:
            hosts: Names of the other hosts that are alive.
            now: Seconds.
        """
        self.news.expire(now)
        self.is_informed = self.news.is_complete(hosts)

    def note_success(self, server: str) -> None:
        """Notes an answer, which ends a row of failures."""
        known = self._get(server)
        known.failures = 0
        known.out_until = -math.inf

    def note_failure(self, server: str, now: float) -> float:
        """Notes a failure; returns for how long the server is left out."""
        known = self._get(server)
        known.failures += 1
        backoff = math.ldexp(FIRST_BACKOFF_S, min(known.failures - 1, 8))
        backoff_s = min(LONGEST_BACKOFF_S, backoff)
        known.out_until = now + backoff_s
        return backoff_s

    def keep_only(self, servers: typing.Container[str]) -> None:
        """Forgets servers that are gone and have no open request."""
        for name in [n for n in self._known if n not in servers]:
            if not self._known[name].own:
                del self._known[name]

    def _get(self, server: str) -> _Known:
        return self._known.setdefault(server, _Known())

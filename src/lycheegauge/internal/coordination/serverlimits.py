"""Keeps the limits that backend servers state on their requests from all hosts.

A server in need states how many requests a second it takes. Small limits can't be
divided into fractions: with many hosts, each would save up one request, and all of them
could send it at once. The limit is therefore divided into few slots of equal rate, and
each slot belongs to the host whose interval (``hostshares``) its point lies in.
"""

import collections.abc
import dataclasses
import math

import xxhash

from lycheegauge.internal.coordination import sharegrants
from lycheegauge.internal.protocol import bounds

SLOTS_PER_RATE = 2.0
"""Slots for each request per second. A slot saves up one request at most, so that in
any four seconds a server gets at most one and a half times its limit."""

MIN_RATE_PER_S = 0.25
"""Rate at which a server that states less is still sent requests, since only its
answers tell that it no longer has a limit."""


@dataclasses.dataclass(slots=True)
class _Limit:
    """A server's limit and the requests that this host has saved up.

    Attributes:
        rate: Requests per second from all hosts together.
        owned: The number of slots that belong to this host.
        tokens: Requests that this host may send now.
        updated_at: When ``tokens`` was computed, in seconds.
    """

    rate: float
    owned: int
    tokens: float
    updated_at: float

    @property
    def slots(self) -> int:
        return max(1, int(self.rate * SLOTS_PER_RATE))


Interval = tuple[float, float]
"""Position and length of a host's part of all limits."""


class ServerLimits:
    """The limits that the servers' last answers to this host stated."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def note_answer(
        self, server: str, rate: float | None, interval: Interval, now: float
    ) -> bool:
        """Records the limit that an answer states, or that it states none.

        Args:
            server: The server's incarnation.
            rate: Requests per second; ``None`` if the answer states no limit.
            interval: Position and length of this host's part of all limits.
            now: Current time in seconds.

        Returns:
            Whether that is new.
        """
        known = self._limits.get(server)
        if rate is None:
            return self._limits.pop(server, None) is not None
        rate = max(MIN_RATE_PER_S, rate)
        if known is None:
            limit = self._limits[server] = _Limit(rate, 0, 0.0, now)
            limit.owned = count_owned(server, limit.slots, interval)
            return True
        is_new = known.rate != rate
        known.rate = rate
        return is_new

    def may_send(self, server: str, interval: Interval, now: float) -> bool:
        """Returns whether a request may be sent; ``take`` must follow if it is."""
        limit = self._limits.get(server)
        if limit is None:
            return True
        self._refill(server, limit, interval, now)
        return limit.tokens >= 1.0

    def take(self, server: str) -> None:
        """Counts a request that is sent."""
        limit = self._limits.get(server)
        if limit is not None:
            limit.tokens -= 1.0

    def get_interval_s(self, server: str) -> float:
        """Returns how often a server takes a request from any host, in seconds."""
        limit = self._limits.get(server)
        return 1.0 / limit.rate if limit is not None else 0.0

    def remove_absent(self, servers: collections.abc.Set[str]) -> None:
        """Removes servers that are not among ``servers``."""
        for server in self._limits.keys() - servers:
            del self._limits[server]

    def _refill(
        self, server: str, limit: _Limit, interval: Interval, now: float
    ) -> None:
        owned = count_owned(server, limit.slots, interval)
        earned = (now - limit.updated_at) * limit.rate * min(owned, limit.owned)
        limit.tokens = min(float(owned), limit.tokens + earned / limit.slots)
        limit.owned, limit.updated_at = owned, now


def parse_limit(header: str) -> float | None:
    """Reads a stated limit; ``None`` if there is none or it is not a number."""
    return bounds.parse_decimal(header, bounds.RATE_MAX_PER_S)


def count_owned(server: str, slots: int, interval: Interval) -> int:
    """Counts the slots of a server whose points lie in a host's interval.

    The points are evenly spaced, so the cost does not depend on their number.
    """
    start, length = interval
    width = 1.0 - sharegrants.NEW_HOSTS_FRACTION
    offset = xxhash.xxh3_64_intdigest(server.encode()) / 2**64
    first = math.modf(offset * slots)[0]

    def count_below(position: float) -> int:
        points = math.ceil(position / width * slots - first)
        return min(slots, max(0, points))

    return count_below(start + length) - count_below(start)

"""Tells what is still said of a server that left from a later start under its id.

A departure names the incarnation that left. What was sent before it may arrive after
it: an announcement held up on the network, or one of an earlier incarnation, or of
another writer that names no incarnation. None of them is born after the one that left.
"""

import dataclasses
import math

from lycheegauge.internal.protocol import roster

LATE_NEWS_S = 30.0
"""Time after a departure in which only later incarnations of the server are used, in
seconds. News are late by some seconds, and a server that left serves for some more.
After that, a server whose clock was set back before it restarted is used as well."""


@dataclasses.dataclass(slots=True)
class _LeftServer:
    """What is known of the departures of one server.

    Attributes:
        born_ms: Starts of the incarnations that left.
        born_after_ms: Start that an incarnation must not be older than to be used.
        until: When the departures no longer say anything of other incarnations.
    """

    born_ms: set[int]
    born_after_ms: int
    until: float


class Departures:
    """The departures that a host knows of.

    Args:
        are_first_recent: Whether those of the first update may have happened just now.
    """

    def __init__(self, are_first_recent: bool) -> None:
        self._is_recent = are_first_recent
        self._departures: tuple[roster.Departure, ...] = ()
        self._left: dict[str, _LeftServer] = {}

    def update(self, departures: tuple[roster.Departure, ...], now: float) -> None:
        """Replaces the known departures.

        Args:
            departures: All departures in the log's state.
            now: Current time in seconds.
        """
        if departures is self._departures:
            return
        known = set(self._departures)
        until_by_server = {name: left.until for name, left in self._left.items()}
        self._departures, self._left = departures, {}
        for departure in departures:
            until = until_by_server.get(departure.server, -math.inf)
            if departure not in known and self._is_recent:
                until = now + LATE_NEWS_S
                until_by_server[departure.server] = until
            self._add(departure, until)
        self._is_recent = True

    def has_left(self, server: str, born_ms: int, now: float) -> bool:
        """Tells whether an incarnation left, or an incarnation after it did lately."""
        left = self._left.get(server)
        if left is None:
            return False
        return born_ms in left.born_ms or self.is_outdated(server, born_ms, now)

    def is_outdated(self, server: str, born_ms: int, now: float) -> bool:
        """Tells whether an incarnation is older than one that left lately."""
        left = self._left.get(server)
        return left is not None and now < left.until and born_ms < left.born_after_ms

    def _add(self, departure: roster.Departure, until: float) -> None:
        left = self._left.setdefault(departure.server, _LeftServer(set(), 0, -math.inf))
        if not departure.before_ms:
            left.born_ms.add(departure.born_ms)
        left.born_after_ms = max(
            left.born_after_ms, departure.born_ms, departure.before_ms
        )
        left.until = max(left.until, until)

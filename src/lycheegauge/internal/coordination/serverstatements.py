"""What backend servers state about themselves in their answers to this host.

A server may state a limit on its requests, that it leaves, and with a refusal the time
for which it wants no request. Each statement holds for the incarnation that made it: a
new one at the same address starts without any.
"""

import collections.abc
import dataclasses
import random

from lycheegauge.internal.coordination import serverlimits
from lycheegauge.internal.protocol import bounds, roster

UNAVAILABLE = 503

WAIT_MAX_S = 60.0
"""Longest time for which a server is left alone because it asked for it, in seconds."""

UNREADABLE_WAIT_S = 1.0
"""Time for which a server is left alone that stated one that can't be read, in
seconds."""

SPREAD_FRACTION = 0.25
SPREAD_MAX_S = 0.5
"""Hosts add a random part of a server's wait, at most this long, so that they don't all
come back to it at the same moment."""

LEAVING_SERVERS_MAX = 10_000
"""Leaving servers that are remembered; the earliest ones are forgotten first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What one answer states about its server.

    Attributes:
        limit: Requests per second from all hosts together; ``None`` if not stated.
        is_leaving: Whether the server leaves.
        wait_s: For how long the server wants no request, in seconds.
        unreadable: The text that stated a time which can't be read, or empty.
    """

    limit: float | None = None
    is_leaving: bool = False
    wait_s: float = 0.0
    unreadable: str = ""


def read_statement(
    status: int, limit: str, leaving: str, retry_after: str
) -> Statement:
    """Reads the statements of an answer from its status and headers.

    Args:
        status: The status code.
        limit: The header with the limit.
        leaving: The header that says whether the server leaves.
        retry_after: The ``Retry-After`` header, which counts for refusals only.
    """
    wait_s, unreadable = 0.0, ""
    if status == UNAVAILABLE and retry_after:
        stated_s = bounds.parse_decimal(retry_after.strip(), WAIT_MAX_S)
        wait_s = UNREADABLE_WAIT_S if stated_s is None else stated_s
        unreadable = retry_after if stated_s is None else ""
    return Statement(
        serverlimits.parse_limit(limit), leaving.strip() == "1", wait_s, unreadable
    )


def parse_load(header: str) -> int | None:
    """Reads how many requests a server has, running and waiting.

    Args:
        header: ``RUNNING,WAITING,SLOTS``.

    Returns:
        The number; ``None`` if there is none or it can't be read.
    """
    parts = header.split(",", 2)
    if len(parts) < 2:
        return None
    running, waiting = (bounds.parse_count(part.strip()) for part in parts[:2])
    return None if running is None or waiting is None else running + waiting


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Which of an answer's statements were not known before."""

    is_new_limit: bool
    is_new_leaving: bool


@dataclasses.dataclass(slots=True)
class _Wait:
    """The time for which a server wants no request.

    After its end a single request tries the server, until an answer shows that it takes
    requests again.

    Attributes:
        ends_at: When it ends, in seconds.
        is_trying: Whether a request tries the server.
        is_cut: Whether the server asked for a longer time.
        is_confirmed: Whether the server asked for a longer time once more, after a
            request had tried it.
    """

    ends_at: float
    is_trying: bool = False
    is_cut: bool = False
    is_confirmed: bool = False


class ServerStatements:
    """The statements in force of all servers, as made to this host.

    Args:
        random_source: Spreads the ends of the servers' waits.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._longest_deadline_s = WAIT_MAX_S
        self._limits = serverlimits.ServerLimits()
        self._leaving: dict[str, roster.Departure] = {}
        self._unreported: dict[str, roster.Departure] = {}
        self._waits: dict[str, _Wait] = {}

    def set_longest_deadline(self, deadline_s: float) -> None:
        """Sets how long any caller waits at most, in seconds.

        A server may ask for more by mistake. After that time nobody is left to whom
        the wait matters, so a single request tries the server. If it asks again, it
        means what it states.
        """
        self._longest_deadline_s = min(WAIT_MAX_S, deadline_s)

    def note_answer(
        self,
        server: roster.ServerListing,
        statement: Statement,
        interval: serverlimits.Interval,
        now: float,
    ) -> News:
        """Records the statements of a server's answer.

        Args:
            server: The server.
            statement: What the answer states.
            interval: Position and length of this host's part of all limits.
            now: Current time in seconds.
        """
        key = server.incarnation
        is_new_leaving = statement.is_leaving and key not in self._leaving
        if is_new_leaving:
            departure = roster.Departure(server.name, server.born_ms)
            self._leaving[key] = self._unreported[key] = departure
            while len(self._leaving) > LEAVING_SERVERS_MAX:
                del self._leaving[next(iter(self._leaving))]
        self._note_wait(key, statement.wait_s, now)
        is_new_limit = self._limits.note_answer(key, statement.limit, interval, now)
        return News(is_new_limit, is_new_leaving)

    def _note_wait(self, key: str, wait_s: float, now: float) -> None:
        wait = self._waits.get(key)
        if wait_s > 0.0:
            is_confirmed = wait is not None and (
                wait.is_confirmed or (wait.is_cut and now >= wait.ends_at)
            )
            is_cut = wait_s > self._longest_deadline_s and not is_confirmed
            if is_cut:
                wait_s = self._longest_deadline_s
            spread_s = min(SPREAD_MAX_S, wait_s * SPREAD_FRACTION)
            ends_at = now + wait_s + self._random.uniform(0.0, spread_s)
            if wait is None or ends_at > wait.ends_at:
                self._waits[key] = _Wait(
                    ends_at, is_cut=is_cut, is_confirmed=is_confirmed
                )
        elif wait is not None and now >= wait.ends_at:
            del self._waits[key]

    def is_leaving(self, server: str) -> bool:
        """Returns whether a server, given by its incarnation, said that it leaves."""
        return server in self._leaving

    def may_send(self, server: str, now: float) -> bool:
        """Returns whether a server, given by its incarnation, wants requests.

        The server's limit is checked separately.
        """
        if server in self._leaving:
            return False
        wait = self._waits.get(server)
        return wait is None or (now >= wait.ends_at and not wait.is_trying)

    def is_within_limit(
        self, server: str, interval: serverlimits.Interval, now: float
    ) -> bool:
        """Returns whether a server's limit allows another request."""
        return self._limits.may_send(server, interval, now)

    def get_limit_interval_s(self, server: str) -> float:
        """Returns how often a server takes a request from any host, in seconds."""
        return self._limits.get_interval_s(server)

    def get_wait_s(self, server: str, now: float) -> float:
        """Returns for how long a server wants no request, in seconds."""
        wait = self._waits.get(server)
        return max(0.0, wait.ends_at - now) if wait is not None else 0.0

    def take(self, server: str) -> None:
        """Counts a request that will be sent toward the server's limit."""
        self._limits.take(server)

    def note_sent(self, server: str) -> None:
        """Records that a request is sent."""
        wait = self._waits.get(server)
        if wait is not None:
            wait.is_trying = True

    def note_ended(self, server: str, sent_at: float) -> None:
        """Records that a request at a server ended, with or without an answer.

        Requests from before the server's wait say nothing of the one that tries it.

        Args:
            server: The incarnation of the server.
            sent_at: When the request was sent, in seconds.
        """
        wait = self._waits.get(server)
        if wait is not None and sent_at >= wait.ends_at:
            wait.is_trying = False

    def count_leaving(self) -> int:
        """Counts the servers that said that they leave."""
        return len(self._leaving)

    def count_waiting(self, now: float) -> int:
        """Counts the servers that want no request now."""
        return sum(now < wait.ends_at for wait in self._waits.values())

    def list_unreported(self) -> tuple[roster.Departure, ...]:
        """Lists leaving servers that the log has not recorded for all hosts."""
        return tuple(self._unreported.values())

    def note_reported(
        self, departures: collections.abc.Iterable[roster.Departure]
    ) -> None:
        """Records that the log has recorded leaving servers."""
        done = set(departures)
        for key, departure in list(self._unreported.items()):
            if departure in done:
                del self._unreported[key]

    def remove_absent(self, servers: collections.abc.Set[str], now: float) -> None:
        """Removes the limits of absent servers, and waits that ended.

        A server that is missing from the roster may be listed again, so that it leaves
        is not forgotten.
        """
        self._limits.remove_absent(servers)
        for key, wait in list(self._waits.items()):
            if key not in servers and now >= wait.ends_at:
                del self._waits[key]

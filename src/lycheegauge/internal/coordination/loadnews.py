"""What the other hosts told lately of their own open requests."""

import collections
import collections.abc
import dataclasses
import typing

from lycheegauge.internal.protocol import roster

KEPT_S = 1.0
"""A host tells its requests at least twice within it while servers are crowded;
older news say less than those that came with the last pull."""


@dataclasses.dataclass(slots=True)
class _Told:
    """The newest news of one host."""

    number: int
    heard_at: float
    counts: dict[str, int]


class LoadNewsBook:
    """Keeps the newest news of each host, and their sums by server."""

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._totals: collections.Counter[str] = collections.Counter()

    def take(self, news: roster.LoadNews, now: float) -> bool:
        """Takes news; returns whether they are the newest of their host."""
        known = self._told.get(news.host)
        if known is not None and news.number <= known.number:
            return False
        if known is not None:
            self._totals.subtract(known.counts)
        counts = {item.server: item.count for item in news.open_requests}
        self._told[news.host] = _Told(news.number, now, counts)
        self._totals.update(counts)
        return True

    def expire(self, now: float) -> None:
        """Forgets hosts that have been silent."""
        for host, told in list(self._told.items()):
            if told.heard_at < now - KEPT_S:
                self._totals.subtract(told.counts)
                del self._told[host]
        self._totals = +self._totals

    def is_complete(self, hosts: collections.abc.Iterable[str]) -> bool:
        """Tells whether all of ``hosts`` have been heard."""
        return all(host in self._told for host in hosts)

    def count(self, server: str) -> int:
        """Counts the requests that the hosts heard have open at a server."""
        return self._totals[server]

    def list_hosts(self) -> typing.KeysView[str]:
        """Lists the hosts heard."""
        return self._told.keys()

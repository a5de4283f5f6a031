"""Open requests that the other entry hosts have recently reported."""

import collections
import collections.abc
import dataclasses
import typing

from lycheegauge.internal.protocol import roster

KEPT_S = 1.0
"""How long an update is kept. A host sends at least two within this time while
servers are crowded; an older update is less accurate than the last pull."""


@dataclasses.dataclass(slots=True)
class _Told:
    """The newest update from one host."""

    number: int
    heard_at: float
    counts: dict[str, int]


class LoadNewsBook:
    """Keeps the newest update from each host, and the totals by server."""

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._totals: collections.Counter[str] = collections.Counter()

    def take(self, news: roster.LoadNews, now: float) -> bool:
        """Applies an update; returns whether it is the newest from its host."""
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
        """Removes hosts that have sent no update recently."""
        for host, told in list(self._told.items()):
            if told.heard_at < now - KEPT_S:
                self._totals.subtract(told.counts)
                del self._told[host]
        self._totals = +self._totals

    def is_complete(self, hosts: collections.abc.Iterable[str]) -> bool:
        """Returns whether there is an update from each of ``hosts``."""
        return all(host in self._told for host in hosts)

    def count(self, server: str) -> int:
        """Returns the number of open requests reported for a server."""
        return self._totals[server]

    def list_hosts(self) -> typing.KeysView[str]:
        """Lists the hosts from which there is an update."""
        return self._told.keys()

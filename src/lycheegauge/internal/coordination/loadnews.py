"""Open requests that the other entry hosts have recently reported."""

import collections
import collections.abc
import dataclasses
import typing

from lycheegauge.internal.protocol import roster

NEWS_LIFETIME_S = 1.0
"""How long an update is kept. A host sends at least two within this time while
servers are crowded; an older update is less accurate than the last pull."""


@dataclasses.dataclass(slots=True)
class _HostNews:
    """The newest update from one host."""

    number: int
    received_at: float
    counts: dict[str, int]


class LoadNewsStore:
    """Keeps the newest update from each host, and the totals by server."""

    def __init__(self) -> None:
        self._by_host: dict[str, _HostNews] = {}
        self._totals: collections.Counter[str] = collections.Counter()

    def apply(self, news: roster.LoadNews, now: float) -> bool:
        """Applies an update; returns whether it is the newest from its host."""
        known = self._by_host.get(news.host)
        if known is not None and news.number <= known.number:
            return False
        if known is not None:
            self._totals.subtract(known.counts)
        counts = {item.server: item.count for item in news.open_requests}
        self._by_host[news.host] = _HostNews(news.number, now, counts)
        self._totals.update(counts)
        return True

    def expire(self, now: float) -> None:
        """Removes hosts that have sent no update recently."""
        for host, host_news in list(self._by_host.items()):
            if host_news.received_at < now - NEWS_LIFETIME_S:
                self._totals.subtract(host_news.counts)
                del self._by_host[host]
        self._totals = +self._totals

    def is_complete(self, hosts: collections.abc.Iterable[str]) -> bool:
        """Returns whether there is an update from each of ``hosts``."""
        return all(host in self._by_host for host in hosts)

    def count(self, server: str) -> int:
        """Returns the number of open requests reported for a server."""
        return self._totals[server]

    def list_hosts(self) -> typing.KeysView[str]:
        """Lists the hosts from which there is an update."""
        return self._by_host.keys()

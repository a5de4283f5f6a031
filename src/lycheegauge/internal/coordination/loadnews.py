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
    open_requests: dict[str, roster.OpenRequests]


class LoadNewsStore:
    """Keeps the newest update from each host, and the totals by server."""

    def __init__(self) -> None:
        self._by_host: dict[str, _HostNews] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._tokens: collections.Counter[str] = collections.Counter()
        self._work_ms: collections.Counter[str] = collections.Counter()
        self._weighed: collections.Counter[str] = collections.Counter()

    def copy(self) -> "LoadNewsStore":
        """Returns a copy in which updates can expire."""
        copied = LoadNewsStore()
        copied._by_host = dict(self._by_host)
        copied._counts = self._counts.copy()
        copied._tokens = self._tokens.copy()
        copied._work_ms = self._work_ms.copy()
        copied._weighed = self._weighed.copy()
        return copied

    def apply(self, news: roster.LoadNews, now: float) -> bool:
        """Applies an update; returns whether it is the newest from its host."""
        known = self._by_host.get(news.host)
        if known is not None and news.number <= known.number:
            return False
        if known is not None:
            self._add(known, -1)
        open_requests = {item.server: item for item in news.open_requests}
        added = _HostNews(news.number, now, open_requests)
        self._by_host[news.host] = added
        self._add(added, 1)
        return True

    def _add(self, host_news: _HostNews, sign: int) -> None:
        for server, item in host_news.open_requests.items():
            self._counts[server] += sign * item.count
            if item.tokens:
                self._tokens[server] += sign * item.tokens
            if item.work_ms:
                self._work_ms[server] += sign * item.work_ms
                self._weighed[server] += sign * item.count

    def expire(self, now: float) -> None:
        """Removes hosts that have sent no update recently."""
        for host, host_news in list(self._by_host.items()):
            if host_news.received_at < now - NEWS_LIFETIME_S:
                self._add(host_news, -1)
                del self._by_host[host]
        self._counts = +self._counts
        self._tokens = +self._tokens
        self._work_ms = +self._work_ms
        self._weighed = +self._weighed

    def forget_server(self, server: str) -> None:
        """Removes what was reported for a server that has restarted."""
        for host_news in self._by_host.values():
            host_news.open_requests.pop(server, None)
        for totals in (self._counts, self._tokens, self._work_ms, self._weighed):
            totals.pop(server, None)

    def is_complete(self, hosts: collections.abc.Iterable[str]) -> bool:
        """Returns whether there is an update from each of ``hosts``."""
        return all(host in self._by_host for host in hosts)

    def count(self, server: str) -> int:
        """Returns the number of open requests reported for a server."""
        return self._counts[server]

    def count_tokens(self, server: str) -> int:
        """Returns the number of tokens reported to be held at a server."""
        return self._tokens[server]

    def count_weighed(self, server: str) -> int:
        """Returns the number of open requests whose work was reported.

        Hosts of the previous release report only how many requests they have.
        """
        return self._weighed[server]

    def get_work_s(self, server: str) -> float:
        """Returns the remaining work reported for a server, in seconds."""
        return self._work_ms[server] / 1000

    def get_oldest_age_s(self, now: float) -> float:
        """Returns the age of the oldest update in use, in seconds; 0 for none."""
        received = (item.received_at for item in self._by_host.values())
        return now - min(received, default=now)

    def count_by_host(self) -> dict[str, int]:
        """Counts the open requests of each host from which there is an update."""
        return {
            host: sum(item.count for item in host_news.open_requests.values())
            for host, host_news in self._by_host.items()
        }

    def list_hosts(self) -> typing.KeysView[str]:
        """Lists the hosts from which there is an update."""
        return self._by_host.keys()

"""Tells the other entry hosts of this host's open requests, while it matters.

Pulls carry the same counts, but some tenths of a second old; when most slots are
busy that is enough for several hosts to choose the same last free one.
"""

import asyncio
import collections.abc

from lycheegauge.internal.coordination import serverchoice
from lycheegauge.internal.daemons import lifecycle
from lycheegauge.internal.protocol import roster
from lycheegauge.internal.transport import clock, datagrams, peers

CROWDED_SHARE = 0.5
"""Busy part of a service's slots from which news are sent. Below it a host that
knows only its last pull finds a free slot anyway; see the crowd in the tests."""

NEWS_PAUSE_S = 0.03
"""Changes are told together, so often at most, while there are up to
``HOSTS_AT_PAUSE`` hosts; with more of them the pause grows in proportion, so that
each host sends and takes the same number of datagrams."""

HOSTS_AT_PAUSE = 9

REPEAT_S = 0.4
"""News are repeated so often without a change, as datagrams may be lost."""


class LoadSharing:
    """Owns the socket for load news.

    Args:
        name: This host's name.
        address: The UDP address; other hosts have the same port.
        choice: This host's view of the servers' loads.
        list_hosts: Lists the entry hosts known now.
        is_crowded: Tells whether most slots of a service are busy.
    """

    def __init__(
        self,
        name: str,
        address: str,
        choice: serverchoice.ServerChoice,
        list_hosts: collections.abc.Callable[
            [], collections.abc.Iterable[roster.HostListing]
        ],
        is_crowded: collections.abc.Callable[[float], bool],
    ) -> None:
        self._name = name
        _, self._port = peers.split_address(address)
        self._choice = choice
        self._list_hosts = list_hosts
        self._is_crowded = is_crowded
        self._endpoint = datagrams.DatagramEndpoint(address, self._take)
        # Numbers go on from a restart: the clock counts from the host's own start.
        self._number = int(clock.read_clock() * 1000)
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening and telling.

        Raises:
            OSError: The address can't be listened on.
        """
        await self._endpoint.start()
        self._task = lifecycle.start_task(self._keep_telling)

    async def close(self) -> None:
        """Stops telling and closes the socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._endpoint.close()

    def note_change(self) -> None:
        """Notes that a request was sent or ended."""
        self._changed.set()

    async def _keep_telling(self) -> None:
        while True:
            try:
                async with asyncio.timeout(REPEAT_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._choice.news.expire(clock.read_clock())
            others = [host for host in self._list_hosts() if host.name != self._name]
            if others and self._is_crowded(clock.read_clock()):
                self._tell(others)
            await asyncio.sleep(NEWS_PAUSE_S * max(1.0, len(others) / HOSTS_AT_PAUSE))

    def _tell(self, others: list[roster.HostListing]) -> None:
        self._number += 1
        news = roster.LoadNews(
            self._name, self._number, self._choice.list_own_requests()
        )
        addresses = []
        for other in others:
            host, _ = peers.split_address(other.caller_address)
            addresses.append(f"{host}:{self._port}")
        self._endpoint.send(addresses, news)

    def _take(self, message: object) -> None:
        if isinstance(message, roster.LoadNews) and message.host != self._name:
            self._choice.news.apply(message, clock.read_clock())

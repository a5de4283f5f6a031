"""Sends this host's open request counts to the other entry hosts under high load.

Pulls carry the same counts, but some tenths of a second old. When most slots are
busy, that delay lets several hosts choose the same last free slot.
"""

import asyncio
import collections.abc

from lycheegauge.internal.coordination import serverchoice
from lycheegauge.internal.daemons import lifecycle
from lycheegauge.internal.protocol import roster
from lycheegauge.internal.transport import clock, datagrams, peers

HIGH_LOAD_FRACTION = 0.5
"""Busy fraction of a service's slots above which load updates are sent. Below it, a
host that only knows its last pull still finds a free slot; see the flash crowd
scenarios in the tests."""

MIN_SEND_INTERVAL_S = 0.03
"""Minimum interval between load updates, in seconds, with up to
``HOSTS_AT_MIN_INTERVAL`` other hosts; changes within it are sent together. With more
hosts the interval grows in proportion, so that each host sends and receives the same
number of datagrams."""

HOSTS_AT_MIN_INTERVAL = 9

REPEAT_INTERVAL_S = 0.4
"""Interval at which an unchanged update is sent again, in seconds, since datagrams
may be lost."""


def compute_interval(other_hosts: int) -> float:
    """Returns the minimum interval between two load updates, in seconds."""
    return MIN_SEND_INTERVAL_S * max(1.0, other_hosts / HOSTS_AT_MIN_INTERVAL)


class LoadSharing:
    """Owns the socket for load updates.

    Args:
        name: This host's name.
        address: The UDP address; the other hosts use the same port.
        choice: This host's view of the servers' loads.
        list_hosts: Lists the currently known entry hosts.
        is_highly_loaded: Tells whether most slots of a service are busy.
    """

    def __init__(
        self,
        name: str,
        address: str,
        choice: serverchoice.ServerChoice,
        list_hosts: collections.abc.Callable[
            [], collections.abc.Iterable[roster.HostListing]
        ],
        is_highly_loaded: collections.abc.Callable[[float], bool],
    ) -> None:
        self._name = name
        _, self._port = peers.split_address(address)
        self._choice = choice
        self._list_hosts = list_hosts
        self._is_highly_loaded = is_highly_loaded
        self._endpoint = datagrams.DatagramEndpoint(address, self._receive)
        # Numbers keep increasing over a restart: the clock counts from the host's boot.
        self._sequence = int(clock.read_clock() * 1000)
        self._changed = asyncio.Event()
        self.on_news: collections.abc.Callable[[], None] = lambda: None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening and sending updates.

        Raises:
            OSError: The address can't be listened on.
        """
        await self._endpoint.start()
        self._task = lifecycle.start_task(self._keep_sending)

    async def close(self) -> None:
        """Stops sending updates and closes the socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._endpoint.close()

    def note_change(self) -> None:
        """Requests an update after a request was sent or ended."""
        self._changed.set()

    async def _keep_sending(self) -> None:
        while True:
            try:
                async with asyncio.timeout(REPEAT_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._choice.news.expire(clock.read_clock())
            others = [host for host in self._list_hosts() if host.name != self._name]
            if others and self._is_highly_loaded(clock.read_clock()):
                self._send(others)
            await asyncio.sleep(compute_interval(len(others)))

    def _send(self, others: list[roster.HostListing]) -> None:
        self._sequence += 1
        news = roster.LoadNews(
            self._name, self._sequence, self._choice.list_own_requests()
        )
        addresses = []
        for other in others:
            host, _ = peers.split_address(other.caller_address)
            addresses.append(f"{host}:{self._port}")
        self._endpoint.send(addresses, news)

    def _receive(self, message: object) -> None:
        if isinstance(message, roster.LoadNews) and message.host != self._name:
            self._choice.news.apply(message, clock.read_clock())
            self.on_news()

"""Leases shares of the organisations' limits between entry hosts and log hosts.

Every entry host holds shares; a log host also grants them for the organisations
whose home it is. No request waits for a message while a share is held.
"""

import asyncio
import collections.abc

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination import followers, limits, limitshares
from lycheegauge.internal.protocol import intents
from lycheegauge.internal.protocol import limits as messages
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

ASK_INTERVAL_S = 0.2
NO_GRANT = -1


class LimitSharing:
    """Owns an entry host's part in sharing limits.

    Args:
        address: This host's peer address.
        grants: Whether it holds a log replica and so may be a home.
        follower: What this host knows of configuration and lease.
        holder: The shares that this host admits by.
        pool: Channels to other hosts.
        log_hosts: The hosts of the log, from the settings; the log's own
            membership replaces them.
    """

    def __init__(
        self,
        address: str,
        grants: bool,
        follower: followers.EntryFollower,
        holder: limits.ShareHolder,
        pool: peers.ChannelPool,
        log_hosts: collections.abc.Sequence[str],
    ) -> None:
        self._address = address
        self._follower = follower
        self._holder = holder
        self._pool = pool
        self._log_hosts = tuple(log_hosts)
        self._granter: limitshares.ShareGranter | None = None
        if grants:
            self._granter = limitshares.ShareGranter(address, clock.read_clock())
            self._granter.set_hosts(self._log_hosts, clock.read_clock())
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts asking for shares."""
        self._spawn(self._keep_asking())

    def close(self) -> None:
        """Ends all questions."""
        for task in self._tasks:
            task.cancel()

    def set_log_hosts(self, hosts: collections.abc.Sequence[str]) -> None:
        """Takes the hosts of the log, among which homes are chosen."""
        if hosts and tuple(hosts) != self._log_hosts:
            self._log_hosts = tuple(hosts)
            if self._granter is not None:
                self._granter.set_hosts(self._log_hosts, clock.read_clock())

    def set_configuration(self, configuration: intents.Configuration) -> None:
        """Takes the organisations' limits."""
        if self._granter is not None:
            self._granter.set_limits(configuration.intent.organisations)

    async def grant(self, request: messages.ShareRequest) -> messages.ShareGrant:
        """Answers a holder; without a lease of its own this host grants nothing."""
        now = clock.read_clock()
        nothing = messages.ShareGrant(
            self._address, request.holder, NO_GRANT, 0.0, shares=()
        )
        if self._granter is None or not self._follower.lease.allows_start(now):
            return nothing
        return self._granter.handle_request(request, now) or nothing

    async def _keep_asking(self) -> None:
        while True:
            now = clock.read_clock()
            for addressed in self._holder.make_requests(self._log_hosts, now):
                self._spawn(self._ask(addressed))
            await asyncio.sleep(ASK_INTERVAL_S)

    async def _ask(self, addressed: limits.AddressedRequest) -> None:
        try:
            grant: messages.ShareGrant = await self._pool.call(
                addressed.home,
                "lease shares",
                lambda channel: services_grpc.ReplicaStub(channel).LeaseShares,
                addressed.request,
            )
        except errors.PeerUnreachableError as error:
            loguru.logger.debug(str(error), step="lease shares", peer=addressed.home)
            self._pool.drop_channel(addressed.home)
            return
        self._holder.apply_grant(grant, clock.read_clock())

    def _spawn(self, work_to_do: collections.abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work_to_do)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

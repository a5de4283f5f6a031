"""Leases shares of the organisations' limits between entry hosts and log hosts.

Every entry host holds shares; a log host also grants shares for the organisations
that it is the home of. While a host holds a share, no request waits for a message.
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

REQUEST_INTERVAL_S = 0.2
NO_GRANT = -1


class LimitSharing:
    """Requests and grants shares of the limits on behalf of one entry host.

    Args:
        address: This host's peer address.
        grants: Whether this host has a log replica and can therefore be a home.
        follower: The configuration and lease as this host knows them.
        holder: The shares against which this host admits requests.
        pool: Channels to other hosts.
        log_hosts: The log hosts from the settings, until the log's own membership
            replaces them.
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
        """Starts requesting shares."""
        self._spawn(self._keep_requesting())

    def close(self) -> None:
        """Cancels all requests for shares."""
        for task in self._tasks:
            task.cancel()

    def set_log_hosts(self, hosts: collections.abc.Sequence[str]) -> None:
        """Sets the log hosts, among which homes are chosen."""
        if hosts and tuple(hosts) != self._log_hosts:
            self._log_hosts = tuple(hosts)
            if self._granter is not None:
                self._granter.set_hosts(self._log_hosts, clock.read_clock())

    def set_configuration(self, configuration: intents.Configuration) -> None:
        """Applies the organisations' limits."""
        if self._granter is not None:
            self._granter.set_limits(configuration.intent.organisations)

    async def grant(self, request: messages.ShareRequest) -> messages.ShareGrant:
        """Answers a share request; a host without a valid lease grants nothing."""
        now = clock.read_clock()
        nothing = messages.ShareGrant(
            self._address, request.holder, NO_GRANT, 0.0, shares=()
        )
        if self._granter is None or not self._follower.lease.allows_start(now):
            return nothing
        return self._granter.handle_request(request, now) or nothing

    async def _keep_requesting(self) -> None:
        while True:
            now = clock.read_clock()
            for addressed in self._holder.make_requests(self._log_hosts, now):
                self._spawn(self._request_share(addressed))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _request_share(self, addressed: limits.AddressedRequest) -> None:
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

    def _spawn(self, coroutine: collections.abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

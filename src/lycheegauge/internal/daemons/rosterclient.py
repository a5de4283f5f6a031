"""Discovers the log hosts through the seeds and calls their leader."""

import loguru

from lycheegauge import errors, settings
from lycheegauge.internal.daemons import leadersearch
from lycheegauge.internal.protocol import roster
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import peers

PULL_TIMEOUT_S = 0.8
LOG_HOSTS_TIMEOUT_S = 0.5
MAX_HOSTS = 16
"""Maximum of remembered addresses; the oldest that are no seeds are dropped first."""


def list_seed_peers(
    part: settings.RosterSettings, own_peer_address: str
) -> tuple[str, ...]:
    """Lists the seeds' peer addresses: their hosts with this host's own peer port."""
    _, port = peers.split_address(own_peer_address)
    hosts = [peers.split_address(seed)[0] for seed in part.seed_hosts]
    return tuple(dict.fromkeys(f"{host}:{port}" for host in hosts))


class RosterClient:
    """Remembers the log hosts and the last known leader, and calls them.

    Args:
        pool: The channels to other hosts.
        seeds: Peer addresses of the seeds.
        own_address: This host's own peer address, which is never called.
    """

    def __init__(
        self, pool: peers.ChannelPool, seeds: tuple[str, ...], own_address: str
    ) -> None:
        self._pool = pool
        self._seeds = seeds
        self._own_address = own_address
        self.hosts = [host for host in seeds if host != own_address]
        self.is_leader_known = False
        self._current = 0
        self._lost = ""

    @property
    def address(self) -> str:
        """The host that the next call goes to."""
        return self.hosts[self._current % len(self.hosts)]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds; the next call still goes to the same host."""
        self._seeds = seeds
        current = self.hosts[self._current % len(self.hosts)] if self.hosts else ""
        known = dict.fromkeys([current, *seeds, *self.hosts])
        self.hosts = [host for host in known if host and host != self._own_address][
            :MAX_HOSTS
        ]
        self._current = 0

    def apply_hints(self, leader_address: str, log_hosts: tuple[str, ...]) -> None:
        """Records the log hosts and switches to the leader, or else the next host."""
        current = self.address
        known = [*log_hosts, *self._seeds, *self.hosts]
        self.hosts = [
            host for host in dict.fromkeys(known) if host != self._own_address
        ][:MAX_HOSTS]
        self.is_leader_known = bool(leader_address)
        if leader_address and leader_address != self._own_address:
            if leader_address not in self.hosts:
                self.hosts.append(leader_address)
            if leader_address != current:
                loguru.logger.info("switching to the leader", peer=leader_address)
            self._current = self.hosts.index(leader_address)
        else:
            self._current = (
                self.hosts.index(current) + 1 if current in self.hosts else 0
            )

    async def pull(self, message: roster.RosterPull) -> roster.RosterReply:
        """Pulls from the last known leader.

        A reply without a proof is used only for its hints about the log hosts.

        Raises:
            errors.PeerUnreachableError: The host did not answer in time.
        """
        try:
            reply = await self.pull_from(self.address, message)
        except errors.PeerUnreachableError:
            self._lost = self.address
            self._current += 1
            self.is_leader_known = False
            raise
        self._lost = ""
        if reply.proof is None:
            self.apply_hints(reply.leader_address, reply.log_hosts)
        elif set(reply.log_hosts) - set(self.hosts) - {self._own_address}:
            self.apply_hints(self.address, reply.log_hosts)
        return reply

    async def pull_from(
        self, address: str, message: roster.RosterPull
    ) -> roster.RosterReply:
        """Pulls from one host.

        Raises:
            errors.PeerUnreachableError: The host did not answer in time.
        """
        reply: roster.RosterReply = await self._pool.call(
            address,
            "pull roster",
            lambda channel: services_grpc.RosterHostStub(channel).Pull,
            message,
            PULL_TIMEOUT_S,
            drop_on_failure=True,
        )
        return reply

    async def find_leader(self) -> bool:
        """Asks the log hosts for their leader, but not the one that was lost just now.

        Returns:
            Whether the leader is known; the next pull goes to it.
        """
        start = self._current % len(self.hosts)
        hosts = [*self.hosts[start:], *self.hosts[:start]]
        others = [host for host in hosts if host != self._lost]
        answer = await leadersearch.find_leader(
            others, self._lost, self._list_log_hosts
        )
        if answer is None:
            return False
        self.apply_hints(answer.leader_address, answer.log_hosts)
        return True

    async def _list_log_hosts(self, host: str) -> roster.MembershipAnswer:
        answer: roster.MembershipAnswer = await self._pool.call(
            host,
            "find log hosts",
            lambda channel: services_grpc.RosterHostStub(channel).ListLogHosts,
            roster.MembershipQuestion(),
            LOG_HOSTS_TIMEOUT_S,
            drop_on_failure=True,
        )
        return answer

    async def find_log_hosts(self) -> roster.MembershipAnswer:
        """Asks the next host for the addresses of the log hosts.

        Raises:
            errors.PeerUnreachableError: The host did not answer in time.
        """
        self._current += 1
        if not self.hosts:
            return roster.MembershipAnswer("", ())
        answer = await self._list_log_hosts(self.address)
        known = dict.fromkeys([*answer.log_hosts, *self._seeds, *self.hosts])
        self.hosts = [host for host in known if host != self._own_address][:MAX_HOSTS]
        return answer

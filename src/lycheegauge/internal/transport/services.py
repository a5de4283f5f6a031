"""The RPC services, which pass each decoded message to a handler."""

import typing

from lycheegauge.internal.protocol import codec, proposals
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import peers


class ReplicaService(services_grpc.ReplicaBase):
    """What a log replica offers to other replicas and to entry hosts."""

    def __init__(
        self,
        deliver: peers.Handler,
        propose: peers.Handler,
        pull: peers.Handler,
        describe: peers.Handler,
        lease_shares: peers.Handler,
        replace_voter: peers.Handler,
    ) -> None:
        self._deliver = deliver
        self._propose = propose
        self._pull = pull
        self._describe = describe
        self._lease_shares = lease_shares
        self._replace_voter = replace_voter

    async def Deliver(self, stream: typing.Any) -> None:  # noqa: N802
        """Takes messages of the replicated log."""
        await receive_batch(stream, self._deliver)

    async def Propose(self, stream: typing.Any) -> None:  # noqa: N802
        """Commits a change."""
        await peers.answer_unary(stream, self._propose)

    async def Pull(self, stream: typing.Any) -> None:  # noqa: N802
        """Gives an entry host its proof and what it has not seen."""
        await peers.answer_unary(stream, self._pull)

    async def Describe(self, stream: typing.Any) -> None:  # noqa: N802
        """Describes the whole system."""
        await peers.answer_unary(stream, self._describe)

    async def ReplaceVoter(self, stream: typing.Any) -> None:  # noqa: N802
        """Replaces a voter."""
        await peers.answer_unary(stream, self._replace_voter)

    async def LeaseShares(self, stream: typing.Any) -> None:  # noqa: N802
        """Grants shares of organisations' limits."""
        await peers.answer_unary(stream, self._lease_shares)


class RosterHostService(services_grpc.RosterHostBase):
    """What a log host of a forwarding deployment offers to the other hosts."""

    def __init__(
        self,
        deliver: peers.Handler,
        pull: peers.Handler,
        relay: peers.Handler,
        list_log_hosts: peers.Handler,
    ) -> None:
        self._deliver = deliver
        self._pull = pull
        self._relay = relay
        self._list_log_hosts = list_log_hosts

    async def Deliver(self, stream: typing.Any) -> None:  # noqa: N802
        """Takes messages of the replicated log."""
        await receive_batch(stream, self._deliver)

    async def Pull(self, stream: typing.Any) -> None:  # noqa: N802
        """Gives a host its proof and what it has not seen."""
        await peers.answer_unary(stream, self._pull)

    async def Relay(self, stream: typing.Any) -> None:  # noqa: N802
        """Answers a control call that a follower received."""
        await peers.answer_unary(stream, self._relay)

    async def ListLogHosts(self, stream: typing.Any) -> None:  # noqa: N802
        """Tells who the log hosts are."""
        await peers.answer_unary(stream, self._list_log_hosts)


async def receive_batch(stream: typing.Any, deliver: peers.Handler) -> None:
    """Hands on each message of a batch and acknowledges the batch."""
    batch = await stream.recv_message()
    if batch is None:
        return
    for packed in batch.messages:
        await deliver(codec.unwrap(packed))
    await stream.send_message(codec.encode(proposals.Received()))


class EntryService(services_grpc.EntryBase):
    """What an entry host offers to agents and to other entry hosts."""

    def __init__(self, pull: peers.Handler, take_crash: peers.Handler) -> None:
        self._pull = pull
        self._take_crash = take_crash

    async def TakeCrash(self, stream: typing.Any) -> None:  # noqa: N802
        """Takes news of a crash."""
        await peers.answer_unary(stream, self._take_crash)

    async def Pull(self, stream: typing.Any) -> None:  # noqa: N802
        """Takes an announcement and gives the agent its proof."""
        await peers.answer_unary(stream, self._pull)


class AgentService(services_grpc.AgentBase):
    """What an agent offers to entry hosts and to group coordinators."""

    def __init__(
        self,
        run: typing.Callable[[typing.Any], typing.AsyncIterator[typing.Any]],
        settle: peers.Handler,
        probe: peers.Handler,
        offer_permit: peers.Handler,
        ask_rank: peers.Handler,
        prepare: peers.Handler,
    ) -> None:
        self._run = run
        self._settle = settle
        self._probe = probe
        self._offer_permit = offer_permit
        self._ask_rank = ask_rank
        self._prepare = prepare

    async def Run(self, stream: typing.Any) -> None:  # noqa: N802
        """Runs a work order and streams its replies."""
        order = await stream.recv_message()
        if order is None:
            return
        replies = self._run(codec.decode(order))
        try:
            async for reply in replies:
                await stream.send_message(codec.encode(reply))
        finally:
            await replies.aclose()  # type: ignore[attr-defined]

    async def Settle(self, stream: typing.Any) -> None:  # noqa: N802
        """Says how the attempt that holds a key ended."""
        await peers.answer_unary(stream, self._settle)

    async def Probe(self, stream: typing.Any) -> None:  # noqa: N802
        """Reports the load."""
        await peers.answer_unary(stream, self._probe)

    async def OfferPermit(self, stream: typing.Any) -> None:  # noqa: N802
        """Takes step permits."""
        await peers.answer_unary(stream, self._offer_permit)

    async def AskRank(self, stream: typing.Any) -> None:  # noqa: N802
        """Answers a new coordinator."""
        await peers.answer_unary(stream, self._ask_rank)

    async def Prepare(self, stream: typing.Any) -> None:  # noqa: N802
        """Loads what a map version needs."""
        await peers.answer_unary(stream, self._prepare)


class EngineAgentService(services_grpc.EngineAgentBase):
    """What the agent beside an engine offers to the group's coordinator."""

    def __init__(self, observe: peers.Handler, order: peers.Handler) -> None:
        self._observe = observe
        self._order = order

    async def Observe(self, stream: typing.Any) -> None:  # noqa: N802
        """Reads the engine's state."""
        await peers.answer_unary(stream, self._observe)

    async def Order(self, stream: typing.Any) -> None:  # noqa: N802
        """Passes an order on to the engine."""
        await peers.answer_unary(stream, self._order)

"""The RPC services, which pass each decoded message to a handler."""

import typing

from lycheegauge.internal.protocol import codec, proposals
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import peers


class ReplicaService(services_grpc.ReplicaBase):
    """RPC service of a log replica for other replicas and entry hosts."""

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
        """Receives messages of the replicated log."""
        await receive_batch(stream, self._deliver)

    async def Propose(self, stream: typing.Any) -> None:  # noqa: N802
        """Commits a change."""
        await peers.answer_unary(stream, self._propose)

    async def Pull(self, stream: typing.Any) -> None:  # noqa: N802
        """Sends an entry host its proof and the updates it has not seen."""
        await peers.answer_unary(stream, self._pull)

    async def Describe(self, stream: typing.Any) -> None:  # noqa: N802
        """Describes the whole system."""
        await peers.answer_unary(stream, self._describe)

    async def ReplaceVoter(self, stream: typing.Any) -> None:  # noqa: N802
        """Replaces a voter."""
        await peers.answer_unary(stream, self._replace_voter)

    async def LeaseShares(self, stream: typing.Any) -> None:  # noqa: N802
        """Leases shares of the organisations' limits."""
        await peers.answer_unary(stream, self._lease_shares)


class RosterHostService(services_grpc.RosterHostBase):
    """RPC service of a log host in a forwarding deployment for other hosts."""

    def __init__(
        self,
        deliver: peers.Handler,
        pull: peers.Handler,
        relay: peers.Handler,
        resolve: peers.Handler,
        commit: peers.Handler,
        list_log_hosts: peers.Handler,
    ) -> None:
        self._deliver = deliver
        self._pull = pull
        self._relay = relay
        self._resolve = resolve
        self._commit = commit
        self._list_log_hosts = list_log_hosts

    async def Deliver(self, stream: typing.Any) -> None:  # noqa: N802
        """Receives messages of the replicated log."""
        await receive_batch(stream, self._deliver)

    async def Pull(self, stream: typing.Any) -> None:  # noqa: N802
        """Sends a host its proof and the updates it has not seen."""
        await peers.answer_unary(stream, self._pull)

    async def Relay(self, stream: typing.Any) -> None:  # noqa: N802
        """Handles a control call that a follower received and relayed."""
        await peers.answer_unary(stream, self._relay)

    async def Resolve(self, stream: typing.Any) -> None:  # noqa: N802
        """Returns the change that a call asks for in the current state."""
        await peers.answer_unary(stream, self._resolve)

    async def Commit(self, stream: typing.Any) -> None:  # noqa: N802
        """Commits a change that a call was resolved to."""
        await peers.answer_unary(stream, self._commit)

    async def ListLogHosts(self, stream: typing.Any) -> None:  # noqa: N802
        """Lists the log hosts."""
        await peers.answer_unary(stream, self._list_log_hosts)


async def receive_batch(stream: typing.Any, deliver: peers.Handler) -> None:
    """Delivers each message of a batch and acknowledges the batch."""
    batch = await stream.recv_message()
    if batch is None:
        return
    for packed in batch.messages:
        await deliver(codec.unwrap(packed))
    await stream.send_message(codec.encode(proposals.Received()))


class EntryService(services_grpc.EntryBase):
    """RPC service of an entry host for agents and other entry hosts."""

    def __init__(self, pull: peers.Handler, take_crash: peers.Handler) -> None:
        self._pull = pull
        self._take_crash = take_crash

    async def TakeCrash(self, stream: typing.Any) -> None:  # noqa: N802
        """Receives the report of a crash."""
        await peers.answer_unary(stream, self._take_crash)

    async def Pull(self, stream: typing.Any) -> None:  # noqa: N802
        """Receives an agent's announcement and sends the agent its proof."""
        await peers.answer_unary(stream, self._pull)


class AgentService(services_grpc.AgentBase):
    """RPC service of an agent for entry hosts and group coordinators."""

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
        """Reports how the attempt that holds an idempotency key ended."""
        await peers.answer_unary(stream, self._settle)

    async def Probe(self, stream: typing.Any) -> None:  # noqa: N802
        """Reports the load."""
        await peers.answer_unary(stream, self._probe)

    async def OfferPermit(self, stream: typing.Any) -> None:  # noqa: N802
        """Receives step permits."""
        await peers.answer_unary(stream, self._offer_permit)

    async def AskRank(self, stream: typing.Any) -> None:  # noqa: N802
        """Reports the rank's state to a new coordinator."""
        await peers.answer_unary(stream, self._ask_rank)

    async def Prepare(self, stream: typing.Any) -> None:  # noqa: N802
        """Loads the experts that an expert map version needs."""
        await peers.answer_unary(stream, self._prepare)


class EngineAgentService(services_grpc.EngineAgentBase):
    """RPC service of the agent beside an engine for the group's coordinator."""

    def __init__(
        self,
        observe: peers.Handler,
        order: peers.Handler,
        observe_many: peers.Handler,
        order_many: peers.Handler,
        plan_layer: peers.Handler,
    ) -> None:
        self._observe = observe
        self._order = order
        self._observe_many = observe_many
        self._order_many = order_many
        self._plan_layer = plan_layer

    async def Observe(self, stream: typing.Any) -> None:  # noqa: N802
        """Reports the engine's state."""
        await peers.answer_unary(stream, self._observe)

    async def Order(self, stream: typing.Any) -> None:  # noqa: N802
        """Forwards an order to the engine."""
        await peers.answer_unary(stream, self._order)

    async def ObserveMany(self, stream: typing.Any) -> None:  # noqa: N802
        """Reports the states of several engines."""
        await peers.answer_unary(stream, self._observe_many)

    async def OrderMany(self, stream: typing.Any) -> None:  # noqa: N802
        """Forwards orders to several engines."""
        await peers.answer_unary(stream, self._order_many)

    async def PlanLayer(self, stream: typing.Any) -> None:  # noqa: N802
        """Plans one layer of an expert map."""
        await peers.answer_unary(stream, self._plan_layer)

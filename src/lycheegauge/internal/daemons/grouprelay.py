"""Relays a group coordinator's calls to other agents, and plans layers for it.

The coordinator of a group of 72 ranks has a third of a core; 72 calls take it longer
than all other work of a switch. An agent keeps no state between two calls, so any other
agent can take its place.
"""

import asyncio
import dataclasses
import operator
import typing

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import layerplans
from lycheegauge.internal.protocol import maporders, packedmaps
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

PREPARED_POLL_S = 0.015
"""Interval between two reads of the engine while it copies experts."""

WAIT_PREPARED_MAX_S = 0.5
"""Longest wait for copies. The coordinator must notice a lost agent in time."""

WAIT_MAX_S = 1.0
"""Longest wait for other agents, in seconds."""

PLAN_SLICE_S = 0.005
"""Time for which planning occupies the event loop. Orders are more urgent."""


class Engine(typing.Protocol):
    """The client of the agent's own engine."""

    async def observe(
        self, question: maporders.EngineQuestion
    ) -> maporders.EngineReport:
        """Reads the engine's state."""

    async def order(self, order: maporders.MapOrder) -> maporders.MapOrderReply:
        """Sends an order to the engine."""


class GroupRelay:
    """Handles the calls that concern more than the agent's own engine.

    Args:
        peer_address: The agent's own address; all agents listen on the same port.
        engine: The agent's own engine.
        pool: Channels to the other agents.
    """

    def __init__(
        self, peer_address: str, engine: Engine, pool: peers.ChannelPool
    ) -> None:
        self._host, self._port = peers.split_address(peer_address)
        self._engine = engine
        self._pool = pool

    async def observe_many(
        self, question: maporders.GroupQuestion
    ) -> maporders.GroupReports:
        """Reads the states of several engines at the same time."""
        own = maporders.EngineQuestion(question.counts, question.experts)
        answers = await asyncio.gather(
            *(
                self._observe(engine, own, min(question.wait_s, WAIT_MAX_S))
                for engine in question.engines
            )
        )
        states = []
        counts: tuple[int, ...] = ()
        for engine, report in zip(question.engines, answers, strict=True):
            if report is None:
                continue
            if question.counts:
                if counts and len(counts) != len(report.counts):
                    continue
                counts = _add_counts(counts, report.counts)
            state = dataclasses.replace(report, counts=())
            states.append(maporders.EngineState(engine, state))
        return maporders.GroupReports(tuple(states), counts)

    async def order_many(
        self, orders: maporders.GroupOrders
    ) -> maporders.GroupOrderReplies:
        """Forwards orders to several engines at the same time."""
        replies = await asyncio.gather(
            *(self._order(relayed, orders) for relayed in orders.orders)
        )
        return maporders.GroupOrderReplies(tuple(replies))

    async def plan_layer(
        self, question: maporders.LayerQuestion
    ) -> maporders.LayerProposals:
        """Plans a layer in slices, between which the agent handles other calls."""
        ends_at = clock.read_clock() + question.time_s
        search = layerplans.iterate_proposals(question)
        proposals: list[maporders.LayerProposal] = []
        slice_ends_at = clock.read_clock() + PLAN_SLICE_S
        for proposal in search:
            if proposal is not None:
                proposals.append(proposal)
            now = clock.read_clock()
            if now >= ends_at:
                break
            if now >= slice_ends_at:
                await asyncio.sleep(0)
                slice_ends_at = clock.read_clock() + PLAN_SLICE_S
        return maporders.LayerProposals(tuple(proposals))

    async def _observe(
        self, engine: str, question: maporders.EngineQuestion, wait_s: float
    ) -> maporders.EngineReport | None:
        try:
            if self._is_own(engine):
                return await self._engine.observe(question)
            report: maporders.EngineReport = await self._pool.call(
                self._get_agent_address(engine),
                "observe engine",
                lambda channel: services_grpc.EngineAgentStub(channel).Observe,
                question,
                wait_s,
                drop_on_failure=True,
            )
            return report
        except errors.LycheegaugeError:
            # The coordinator logs which ranks did not answer.
            return None

    async def _order(
        self, relayed: maporders.RelayedOrder, orders: maporders.GroupOrders
    ) -> maporders.MapOrderReply:
        if self._is_own(relayed.engine_address):
            return await self._carry_out(relayed, orders.packed_layers)
        order = dataclasses.replace(relayed, engine_address="")
        try:
            replies: maporders.GroupOrderReplies = await self._pool.call(
                self._get_agent_address(relayed.engine_address),
                "order map",
                lambda channel: services_grpc.EngineAgentStub(channel).OrderMany,
                maporders.GroupOrders((order,), orders.packed_layers),
                min(orders.wait_s, WAIT_MAX_S) + relayed.wait_prepared_s,
                drop_on_failure=True,
            )
            return replies.replies[0]
        except (errors.LycheegaugeError, IndexError):
            return maporders.MapOrderReply(maporders.MapOrderOutcome.UNANSWERED)

    async def _carry_out(
        self, relayed: maporders.RelayedOrder, packed_layers: bytes
    ) -> maporders.MapOrderReply:
        """Sends an order to the own engine, and reads the engine's state afterwards."""
        order = relayed.order
        if order.kind is maporders.MapOrderKind.PREPARE:
            layers = packedmaps.unpack_layers(packed_layers)
            order = dataclasses.replace(order, layers=layers)
        reply = await self._engine.order(order)
        if reply.outcome is maporders.MapOrderOutcome.UNANSWERED:
            return reply
        try:
            report = await self._read_until_prepared(order, reply.outcome, relayed)
        except errors.LycheegaugeError:
            report = None
        return maporders.MapOrderReply(reply.outcome, report)

    async def _read_until_prepared(
        self,
        order: maporders.MapOrder,
        outcome: maporders.MapOrderOutcome,
        relayed: maporders.RelayedOrder,
    ) -> maporders.EngineReport:
        """Reads the engine's state; after ``PREPARE``, waits until it has copied.

        Raises:
            errors.LycheegaugeError: The engine gave no valid answer.
        """
        wait_s = min(relayed.wait_prepared_s, WAIT_PREPARED_MAX_S)
        ends_at = clock.read_clock() + wait_s
        question = maporders.EngineQuestion(False)
        while True:
            report = await self._engine.observe(question)
            is_copying = (
                outcome is maporders.MapOrderOutcome.BEGUN
                and order.kind is maporders.MapOrderKind.PREPARE
                and report.prepared_version != order.version
            )
            if not is_copying or clock.read_clock() >= ends_at:
                return report
            await asyncio.sleep(PREPARED_POLL_S)

    def _is_own(self, engine: str) -> bool:
        return not engine or peers.split_address(engine)[0] == self._host

    def _get_agent_address(self, engine: str) -> str:
        return f"{peers.split_address(engine)[0]}:{self._port}"


def _add_counts(total: tuple[int, ...], counts: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(map(operator.add, total, counts)) if total else counts

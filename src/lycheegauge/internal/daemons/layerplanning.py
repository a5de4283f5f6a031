"""Has the agents of a group plan the layers of a map in parallel."""

import asyncio
import collections.abc
import dataclasses
import math

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import (
    evensplit,
    layerplans,
    mapplanning,
)
from lycheegauge.internal.daemons import workmeter
from lycheegauge.internal.protocol import maporders, routetables
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

SEARCH_S = 0.15
"""Time after which an agent ends its search and returns what it found."""

TIMEOUT_S = 0.25
"""Time-out of a plan; without an answer the layer keeps its placement."""

PUNCTUAL_FRACTION = 0.75
LATE_FACTOR = 2.0
"""Once this fraction of the layers is planned, the others get as much time again."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanTask:
    """What a map is planned from.

    Attributes:
        placements: The experts on each rank now, by layer.
        loads: Tokens of each expert, by layer.
        paces: Factor by which each rank is slower than usual.
    """

    placements: collections.abc.Sequence[evensplit.Placement]
    loads: collections.abc.Sequence[collections.abc.Sequence[float]]
    paces: collections.abc.Sequence[float]


class LayerPlanner:
    """Asks one agent for each layer; owns no connections.

    Args:
        pool: Channels to the agents.
        agent_port: Port of all agents, on the hosts of their engines.
        meter: Measures the time that this host spends on plans.
    """

    def __init__(
        self, pool: peers.ChannelPool, agent_port: int, meter: workmeter.WorkMeter
    ) -> None:
        self._pool = pool
        self._agent_port = agent_port
        self._meter = meter
        self._rotation = 0

    async def plan(
        self,
        engines: collections.abc.Sequence[str],
        task: PlanTask,
        experts: routetables.ExpertLayout,
        gain_per_copy: float,
    ) -> mapplanning.MapPlan | None:
        """Plans a map; ``None`` if no change of it pays.

        Args:
            engines: The addresses of the engines whose agents plan.
            task: What to plan from.
            experts: The limits of the layout.
            gain_per_copy: Gain that each copied expert must bring.
        """
        limits = layerplans.LayerLimits(
            experts.slots, tuple(sorted({1, experts.copies})), gain_per_copy, SEARCH_S
        )
        calls: list[asyncio.Task[tuple[maporders.LayerProposal, ...]]] = []
        for placement, loads in zip(task.placements, task.loads, strict=True):
            question = layerplans.make_question(placement, loads, task.paces, limits)
            self._rotation += 1
            engine = engines[self._rotation % len(engines)]
            calls.append(asyncio.create_task(self._plan_layer(engine, question)))
            # Encoding the questions of all layers at once would take long.
            await asyncio.sleep(0)
        proposals = await _gather_proposals(calls)
        with self._meter.measure("join_layer_plans"):
            return layerplans.join_plans(
                task.placements,
                [
                    evensplit.compute_slowest_time(placement, loads, task.paces)
                    for placement, loads in zip(
                        task.placements, task.loads, strict=True
                    )
                ],
                proposals,
                experts.copy_s,
                gain_per_copy,
            )

    async def _plan_layer(
        self, engine: str, question: maporders.LayerQuestion
    ) -> tuple[maporders.LayerProposal, ...]:
        """Plans a layer; empty if its agent does not answer in time."""
        host, _ = peers.split_address(engine)
        try:
            answer: maporders.LayerProposals = await self._pool.call(
                f"{host}:{self._agent_port}",
                "plan layer",
                lambda channel: services_grpc.EngineAgentStub(channel).PlanLayer,
                question,
                TIMEOUT_S,
                drop_on_failure=True,
            )
        except errors.LycheegaugeError as error:
            loguru.logger.info(
                "a layer keeps its placement: no plan in time",
                engine=engine,
                detail=str(error),
            )
            return ()
        return answer.proposals


async def _gather_proposals(
    calls: list[asyncio.Task[tuple[maporders.LayerProposal, ...]]],
) -> list[tuple[maporders.LayerProposal, ...]]:
    """Waits for the plans of most layers, and not much longer for the others."""
    started_at = clock.read_clock()
    ends_at = math.inf
    pending = set(calls)
    try:
        while pending and clock.read_clock() < ends_at:
            is_late = ends_at < math.inf
            _, pending = await asyncio.wait(
                pending,
                timeout=ends_at - clock.read_clock() if is_late else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not is_late and len(pending) <= (1.0 - PUNCTUAL_FRACTION) * len(calls):
                now = clock.read_clock()
                ends_at = now + (LATE_FACTOR - 1.0) * (now - started_at)
    finally:
        for call in pending:
            call.cancel()
    return [() if call in pending else call.result() for call in calls]

"""The leader's task that has expert maps follow demand."""

import asyncio
import collections.abc
import dataclasses

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import demand, evenshares, mapswitch
from lycheegauge.internal.protocol import maporders, roster, routetables
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

OBSERVE_INTERVAL_S = 0.4
"""Several looks between two shifts of demand, each a call to every rank."""

PREPARE_INTERVAL_S = 0.15
"""Copies take a few tenths of a second."""

ARM_INTERVAL_S = 0.005
"""While a pass may be held the next look follows at once."""

OBSERVE_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.5

LEAST_GAIN = 0.15
"""A switch must shorten the slowest ranks' part of a pass by this fraction: it
slows the group down while it copies, and the estimate is noisy."""

RELAXED_SHARE = 0.4
"""Part of the longest pause on time that a pass may take before users notice."""

RELAXED_GAIN_PER_COPY = 0.008
"""Gain that each copied expert must bring when a pass takes just that long. It
falls with the square of the pass: a loaded group queues more for each ms."""

GAIN_PER_COPY_MIN = 0.002
"""Even a crowded group copies no expert for less: copying slows it down too."""

GAIN_PER_COPY_MAX = 0.03
"""An idle group still spreads the few experts that everybody chooses."""

LEAST_CHOICES = 20_000.0
"""Choices that the estimate rests on at least; fewer are mostly noise."""


@dataclasses.dataclass(slots=True)
class _Group:
    """One lock-step group.

    ``placements`` is the map that the group runs, by layer; it is empty while it
    is unknown. ``target`` is the one that it is switched to. ``pass_s`` is how
    long a pass took lately, in seconds.
    """

    switch: mapswitch.MapSwitch
    demand: demand.Demand
    placements: list[evenshares.Placement]
    version: int = 0
    step: int = 0
    step_at: float = 0.0
    pass_s: float = 0.0
    target: list[evenshares.Placement] = dataclasses.field(default_factory=list)


class MapCoordination:
    """Owns the groups of one leadership.

    Args:
        term: The leadership's term, which fences its orders.
        pool: The channels to the agents.
        agent_port: The port on which agents listen, beside their engines.
    """

    def __init__(self, term: int, pool: peers.ChannelPool, agent_port: int) -> None:
        self._term = term
        self._pool = pool
        self._agent_port = agent_port
        self._groups: dict[str, _Group] = {}

    async def run_round(
        self,
        service: routetables.ServiceDeclaration,
        servers: collections.abc.Sequence[roster.ServerListing],
        target_gap_s: float,
    ) -> float:
        """Looks at a service's groups and sends what is due.

        Args:
            service: The service, whose servers are ranks.
            servers: Its servers.
            target_gap_s: The longest pause between events that is on time.

        Returns:
            When the next look is due, in seconds from now.
        """
        assert service.experts is not None
        addresses = {server.name: self._locate(server) for server in servers}
        is_unknown = any(not group.placements for group in self._groups.values())
        reports = await self._observe(
            addresses, maporders.EngineQuestion(counts=True, experts=is_unknown)
        )
        by_group: dict[str, dict[int, maporders.EngineReport]] = {}
        located: dict[tuple[str, int], str] = {}
        for server, report in reports.items():
            by_group.setdefault(report.group, {})[report.rank] = report
            located[report.group, report.rank] = addresses[server]
        waits = [OBSERVE_INTERVAL_S]
        for name, ranks in by_group.items():
            group = self._get_group(name)
            orders = self._decide(name, group, ranks, service.experts, target_gap_s)
            await self._send(group, name, orders, located)
            waits.append(_choose_wait(group.switch.phase))
        return min(waits)

    def _locate(self, server: roster.ServerListing) -> str:
        host, _ = peers.split_address(server.address)
        return f"{host}:{self._agent_port}"

    async def _observe(
        self, addresses: dict[str, str], question: maporders.EngineQuestion
    ) -> dict[str, maporders.EngineReport]:
        answers = await asyncio.gather(
            *(self._ask(address, question) for address in addresses.values())
        )
        return {
            server: report
            for server, report in zip(addresses, answers, strict=True)
            if report is not None
        }

    async def _ask(
        self, address: str, question: maporders.EngineQuestion
    ) -> maporders.EngineReport | None:
        try:
            report: maporders.EngineReport = await self._pool.call(
                address,
                "observe engine",
                lambda channel: services_grpc.EngineAgentStub(channel).Observe,
                question,
                OBSERVE_TIMEOUT_S,
                drop_on_failure=True,
            )
        except errors.PeerUnreachableError as error:
            loguru.logger.debug(str(error), step="observe", peer=address)
            return None
        return report

    def _get_group(self, name: str) -> _Group:
        if name not in self._groups:
            self._groups[name] = _Group(
                mapswitch.MapSwitch(self._term), demand.Demand(), []
            )
        return self._groups[name]

    def _decide(
        self,
        name: str,
        group: _Group,
        reports: dict[int, maporders.EngineReport],
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> list[mapswitch.RankOrder]:
        now = clock.read_clock()
        group.demand.take(reports.values(), now)
        _measure_passes(group, reports, now)
        self._follow_version(name, group, reports, experts)
        orders = group.switch.decide(reports, now)
        if orders or not group.switch.is_idle or not group.placements:
            return orders
        if not self._plan(name, group, reports, experts, target_gap_s):
            return []
        target = mapswitch.Target(
            group.switch.make_version(reports),
            tuple(
                maporders.LayerPlacement(
                    tuple(maporders.RankExperts(held) for held in placement)
                )
                for placement in group.target
            ),
        )
        group.switch.set_target(target, now)
        return group.switch.decide(reports, now)

    def _follow_version(
        self,
        name: str,
        group: _Group,
        reports: dict[int, maporders.EngineReport],
        experts: routetables.ExpertLayout,
    ) -> None:
        """Notes which placement is in force.

        One that another coordinator made is read from the ranks.
        """
        versions = {report.map_version for report in reports.values()}
        if len(versions) != 1:
            return
        (version,) = versions
        if version == group.version and group.placements:
            return
        target = group.switch.target_version
        if version == 0:
            size = next(iter(reports.values())).size
            start = evenshares.place_in_turn(experts.experts, size)
            group.placements = [start] * experts.layers
        elif version == target and group.target:
            group.placements = group.target
        else:
            group.placements = _join_experts(reports, experts)
            if not group.placements:
                return
        group.version = version
        loguru.logger.info("expert map in force", group=name, version=version)

    def _plan(
        self,
        name: str,
        group: _Group,
        reports: dict[int, maporders.EngineReport],
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> bool:
        """Plans the next map; returns whether it is worth a switch."""
        loads = group.demand.split_layers(experts.layers)
        if not loads or group.demand.total < LEAST_CHOICES:
            return False
        paces = [reports[rank].pace for rank in sorted(reports)]
        if len(paces) != len(group.placements[0]):
            return False
        relaxed_s = RELAXED_SHARE * target_gap_s
        pressure = max(group.pass_s, 1e-3) / relaxed_s
        least = RELAXED_GAIN_PER_COPY / (pressure * pressure)
        per_copy = min(GAIN_PER_COPY_MAX, max(GAIN_PER_COPY_MIN, least))
        bounds = evenshares.PlacementBounds(experts.slots, experts.copies, per_copy)
        planned = [
            evenshares.plan_layer(placement, layer, paces, bounds)
            for placement, layer in zip(group.placements, loads, strict=True)
        ]
        before = _measure(group.placements, loads, paces)
        after = _measure(planned, loads, paces)
        if after > before * (1.0 - LEAST_GAIN):
            return False
        group.target = planned
        even = sum(map(sum, loads)) / len(paces)
        loguru.logger.info(
            "switches the expert map",
            group=name,
            version=group.version,
            skew_before=round(before / even, 3),
            skew_after=round(after / even, 3),
            copies=sum(
                evenshares.count_copies(old, new)
                for old, new in zip(group.placements, planned, strict=True)
            ),
            pass_ms=round(group.pass_s * 1000, 1),
            choices=round(group.demand.total),
        )
        return True

    async def _send(
        self,
        group: _Group,
        name: str,
        orders: list[mapswitch.RankOrder],
        located: dict[tuple[str, int], str],
    ) -> None:
        outcomes = await asyncio.gather(
            *(self._order(located[name, item.rank], item.order) for item in orders)
        )
        now = clock.read_clock()
        for item, outcome in zip(orders, outcomes, strict=True):
            group.switch.note_reply(item, outcome, now)

    async def _order(
        self, address: str, order: maporders.MapOrder
    ) -> maporders.MapOrderOutcome:
        try:
            reply: maporders.MapOrderReply = await self._pool.call(
                address,
                "order map",
                lambda channel: services_grpc.EngineAgentStub(channel).Order,
                order,
                ORDER_TIMEOUT_S,
                drop_on_failure=True,
            )
        except errors.PeerUnreachableError as error:
            loguru.logger.info(str(error), step="order", kind=order.kind.value)
            return maporders.MapOrderOutcome.UNANSWERED
        return reply.outcome


def _measure(
    placements: collections.abc.Sequence[evenshares.Placement],
    loads: collections.abc.Sequence[collections.abc.Sequence[float]],
    paces: collections.abc.Sequence[float],
) -> float:
    """Measures the slowest ranks' time, layer by layer."""
    return sum(
        evenshares.measure_slowest(placement, layer, paces)
        for placement, layer in zip(placements, loads, strict=True)
    )


def _choose_wait(phase: mapswitch.Phase) -> float:
    """Chooses when to look again."""
    match phase:
        case mapswitch.Phase.IDLE:
            return OBSERVE_INTERVAL_S
        case mapswitch.Phase.ARMING | mapswitch.Phase.UNDOING:
            return ARM_INTERVAL_S
    return PREPARE_INTERVAL_S


def _measure_passes(
    group: _Group, reports: dict[int, maporders.EngineReport], now: float
) -> None:
    """Notes how long passes take; an idle group makes none."""
    step = max(report.step for report in reports.values())
    elapsed_s = now - group.step_at
    if step < group.step or elapsed_s >= OBSERVE_INTERVAL_S / 2:
        if step > group.step and elapsed_s < 10 * OBSERVE_INTERVAL_S:
            group.pass_s = elapsed_s / (step - group.step)
        group.step, group.step_at = step, now


def _join_experts(
    reports: dict[int, maporders.EngineReport], experts: routetables.ExpertLayout
) -> list[evenshares.Placement]:
    """Joins what each rank holds; empty unless every rank has told it."""
    size = next(iter(reports.values())).size
    if set(reports) != set(range(size)):
        return []
    if any(len(report.experts) != experts.layers for report in reports.values()):
        return []
    return [
        tuple(reports[rank].experts[layer].experts for rank in range(size))
        for layer in range(experts.layers)
    ]

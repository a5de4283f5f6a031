"""The leader's task that has expert maps follow demand."""

import asyncio
import collections.abc
import dataclasses
import math

import loguru

from lycheegauge.internal.coordination.groups import (
    copytiming,
    demand,
    evensplit,
    mapswitch,
)
from lycheegauge.internal.daemons import engineclient, engineroutes
from lycheegauge.internal.protocol import (
    enginedialects,
    maporders,
    roster,
    routetables,
)
from lycheegauge.internal.transport import clock, peers

OBSERVE_INTERVAL_S = 0.4
"""Several looks between two shifts of demand, each a call to every rank."""

PREPARE_INTERVAL_S = 0.15
"""Copies take a few tenths of a second."""

ARM_INTERVAL_S = 0.005
"""While a pass may be held the next look follows at once."""

HOLD_AHEAD_S = 0.3
"""The held pass is due after so long: arming takes about a third of it. A longer lead
would delay a switch that everybody waits for. A shorter one stops the group, and
streams whose events then come too late lose more than a better map gains."""

HOLD_AHEAD_TROUBLED_S = 0.8
"""Likewise while engines leave orders without an answer: each of these costs a
time-out, a look and another order, and half of all switches needs two of them when
an order in ten is lost."""

PACE_CHANGE = 1.5
"""A rank whose pace changed by this factor gets so much more or less work that a map
planned before does harm."""

TROUBLED_S = 10.0
"""An order without an answer is remembered for so long, in seconds."""

HOLD_AHEAD_STEPS_MIN = 2
"""The next pass may begin while the order is on its way, unless passes are so long
that one of them is lead enough."""

HOLD_AHEAD_STEPS_MAX = 24

URGENT_PHASES = (
    mapswitch.Phase.ARMING,
    mapswitch.Phase.UNDOING,
    mapswitch.Phase.RELEASED,
)
"""Phases in which a pass may be held."""

RELAXED_SHARE = 0.55
"""Part of the longest pause on time that a pass may take before users notice."""

RELAXED_GAIN = 0.15
"""Fraction by which a switch must shorten the slowest ranks' part of a pass when a
pass takes just that long. It falls with the square of the pass: a loaded group
queues more for each ms, and an idle one gains nothing that anybody notices."""

GAIN_MIN = 0.08
"""The estimate of the demand is not better than this."""

GAIN_MAX = 0.5

RELAXED_GAIN_PER_COPY = 0.008
"""Gain that each copied expert must bring likewise."""

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
    long a pass took lately, in seconds. ``unanswered_at`` is when an order last
    went without an answer. ``planned_paces`` are those of the ranks when the target
    was planned. ``may_copy`` is whether a copy would not make streams late.
    """

    switch: mapswitch.MapSwitch
    demand: demand.Demand
    placements: list[evensplit.Placement]
    version: int = 0
    step: int = 0
    step_at: float = 0.0
    pass_s: float = 0.0
    may_copy: bool = True
    unanswered_at: float = -math.inf
    planned_paces: list[float] = dataclasses.field(default_factory=list)
    target: list[evensplit.Placement] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """What a look at a service's groups found.

    Attributes:
        wait_s: When the next look is due, in seconds from now.
        silent: Names of the servers that no way led to.
    """

    wait_s: float
    silent: frozenset[str]


class MapCoordination:
    """Owns the groups of one leadership.

    Args:
        term: The leadership's term, which fences its orders.
        pool: The channels to the agents.
        agent_port: The port on which agents listen, beside their engines.
        dialect: The engines' words, for those whose agent is silent.
    """

    def __init__(
        self,
        term: int,
        pool: peers.ChannelPool,
        agent_port: int,
        dialect: enginedialects.EngineDialect,
    ) -> None:
        self._term = term
        self._groups: dict[str, _Group] = {}
        self._routes = engineroutes.EngineRoutes(
            pool,
            agent_port,
            lambda address: engineclient.EngineClient(dialect, address),
        )

    def close(self) -> None:
        """Closes the connections to engines."""
        self._routes.close()

    async def run_round(
        self,
        service: routetables.ServiceDeclaration,
        servers: collections.abc.Sequence[roster.ServerListing],
        target_gap_s: float,
        longest_gap_s: float | None = None,
    ) -> Look:
        """Looks at a service's groups and sends what is due.

        Args:
            service: The service, whose servers are ranks.
            servers: Its servers.
            target_gap_s: The longest pause between events that is on time.
            longest_gap_s: The longest pause of late, if any was seen.

        Returns:
            When the next look is due, and which servers no way led to.
        """
        assert service.experts is not None
        addresses = {server.name: server.address for server in servers}
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
            group.may_copy = copytiming.may_copy(longest_gap_s, target_gap_s)
            orders = self._decide(name, group, ranks, service.experts, target_gap_s)
            await self._send(group, name, orders, located)
            waits.append(_choose_wait(group.switch.phase, bool(orders)))
        silent = frozenset(addresses.keys() - reports.keys())
        if 2 * len(silent) > len(addresses):
            # It is rather this host that is cut off.
            silent = frozenset()
        return Look(min(waits), silent)

    async def _observe(
        self, addresses: dict[str, str], question: maporders.EngineQuestion
    ) -> dict[str, maporders.EngineReport]:
        is_urgent = any(
            group.switch.phase in URGENT_PHASES for group in self._groups.values()
        )
        others = list(addresses.values())
        answers = await asyncio.gather(
            *(
                self._routes.observe(address, question, others, is_urgent)
                for address in others
            )
        )
        return {
            server: report
            for server, report in zip(addresses, answers, strict=True)
            if report is not None
        }

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
        group.demand.add_reports(reports.values(), now)
        _measure_passes(group, reports, now)
        self._follow_version(name, group, reports, experts)
        is_troubled = now - group.unanswered_at < TROUBLED_S
        lead_s = HOLD_AHEAD_TROUBLED_S if is_troubled else HOLD_AHEAD_S
        group.switch.set_hold_ahead(_choose_lead(lead_s, group.pass_s))
        if _have_paces_changed(group.planned_paces, _list_paces(reports)):
            # The map being prepared is for ranks that were as fast as before.
            group.planned_paces = []
            if group.switch.abort_preparation(now):
                loguru.logger.info("drops a planned map, paces changed", group=name)
        orders = group.switch.decide(reports, now)
        if orders or not group.switch.is_idle or not group.placements:
            return orders
        if not self._plan(name, group, reports, experts, target_gap_s):
            return []
        target = mapswitch.Target(
            group.switch.allocate_version(reports),
            tuple(
                maporders.LayerPlacement(
                    tuple(maporders.RankExperts(held) for held in placement)
                )
                for placement in group.target
            ),
        )
        group.switch.set_target(target, now)
        group.planned_paces = _list_paces(reports)
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
            start = evensplit.place_round_robin(experts.experts, size)
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
        loads = group.demand.get_layer_loads(experts.layers)
        if not loads or group.demand.total < LEAST_CHOICES:
            return False
        paces = _list_paces(reports)
        if len(paces) != len(group.placements[0]):
            return False
        ease = math.pow(RELAXED_SHARE * target_gap_s / max(group.pass_s, 1e-3), 2)
        per_copy = RELAXED_GAIN_PER_COPY * ease
        per_copy = min(GAIN_PER_COPY_MAX, max(GAIN_PER_COPY_MIN, per_copy))
        least_gain = min(GAIN_MAX, max(GAIN_MIN, RELAXED_GAIN * ease))
        if not group.may_copy:
            least_gain = max(least_gain, copytiming.URGENT_SWITCH_GAIN)
        bounds = evensplit.PlacementBounds(experts.slots, experts.copies, per_copy)
        planned = [
            evensplit.plan_layer(placement, layer, paces, bounds)
            for placement, layer in zip(group.placements, loads, strict=True)
        ]
        before = _measure(group.placements, loads, paces)
        after = _measure(planned, loads, paces)
        if after > before * (1.0 - least_gain):
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
                evensplit.count_copied_experts(old, new)
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
        others = [place for (at, _), place in located.items() if at == name]
        outcomes = await asyncio.gather(
            *(
                self._routes.order(located[name, item.rank], item.order, others)
                for item in orders
            )
        )
        now = clock.read_clock()
        for item, outcome in zip(orders, outcomes, strict=True):
            group.switch.handle_reply(item, outcome, now)
            if outcome is maporders.MapOrderOutcome.UNANSWERED:
                group.unanswered_at = now


def _measure(
    placements: collections.abc.Sequence[evensplit.Placement],
    loads: collections.abc.Sequence[collections.abc.Sequence[float]],
    paces: collections.abc.Sequence[float],
) -> float:
    """Measures the slowest ranks' time, layer by layer."""
    return sum(
        evensplit.compute_slowest_time(placement, layer, paces)
        for placement, layer in zip(placements, loads, strict=True)
    )


def _choose_lead(lead_s: float, pass_s: float) -> int:
    """Chooses how many passes ahead a switch holds one."""
    steps = math.ceil(lead_s / pass_s) if pass_s > 0.0 else HOLD_AHEAD_STEPS_MAX
    least = 1 if pass_s >= HOLD_AHEAD_S else HOLD_AHEAD_STEPS_MIN
    return min(HOLD_AHEAD_STEPS_MAX, max(least, steps))


def _list_paces(reports: dict[int, maporders.EngineReport]) -> list[float]:
    return [reports[rank].pace for rank in sorted(reports)]


def _have_paces_changed(
    planned: collections.abc.Sequence[float], paces: collections.abc.Sequence[float]
) -> bool:
    """Tells whether a map that was planned for some paces is out of date."""
    if len(planned) != len(paces):
        return False
    return any(
        max(before, after) > PACE_CHANGE * min(before, after)
        for before, after in zip(planned, paces, strict=True)
    )


def _choose_wait(phase: mapswitch.Phase, has_orders: bool) -> float:
    """Chooses when to look again.

    Without orders a switch waits for a rank's report or copies, and looking more
    often would only load the leader.
    """
    is_arming = phase in (mapswitch.Phase.ARMING, mapswitch.Phase.UNDOING)
    if phase is mapswitch.Phase.IDLE:
        # Orders of a new coordinator: what its predecessor left may be held.
        return ARM_INTERVAL_S if has_orders else OBSERVE_INTERVAL_S
    return ARM_INTERVAL_S if is_arming and has_orders else PREPARE_INTERVAL_S


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
) -> list[evensplit.Placement]:
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

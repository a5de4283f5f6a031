"""Adapts expert maps to demand, on the log host that is appointed to do so."""

import asyncio
import collections.abc
import dataclasses
import math
import typing

import loguru

from lycheegauge.internal.coordination.groups import (
    copytiming,
    demand,
    evensplit,
    mapplanning,
    mapswitch,
)
from lycheegauge.internal.daemons import engineclient, engineroutes, workmeter
from lycheegauge.internal.protocol import (
    enginedialects,
    maporders,
    roster,
    routetables,
)
from lycheegauge.internal.transport import clock, peers

OBSERVE_INTERVAL_S = 0.4
"""Gives several polls between two shifts of demand. Each poll calls every rank."""

PREPARE_INTERVAL_S = 0.15
"""Copying experts takes a few tenths of a second."""

POLL_CALLS_MAX_PER_S = 80.0
"""Maximum rate of calls to ranks while no switch is under way. A larger group is polled
less often."""

CALLS_AT_ONCE = 24
"""Maximum number of calls to ranks under way. A call's time-out includes the time that
this host spends on the other calls."""

PLAN_SLICE_S = 0.02
"""Time for which planning occupies the event loop, in seconds. As much time follows
for other work: a heartbeat's reply passes through several turns of the loop."""

PLANNING_TIME_FRACTION = 0.5
"""Maximum fraction of the time that is spent on planning maps for a group."""

ARM_INTERVAL_S = 0.005
"""While a forward pass may be held, the next poll follows almost immediately."""

HOLD_AHEAD_S = 0.3
"""Time until the pass that a switch holds is due, in seconds. Arming all ranks takes
about a third of it. A longer time would delay the switch for the whole group. With a
shorter one the group stops, and streams whose events are late because of that lose
more than a better map gains."""

HOLD_AHEAD_ROUNDS = 6.0
"""Minimum time until the held pass is due, in rounds of calls to all ranks: the order
to hold, a round of orders to arm, and a poll before and after it."""

HOLD_AHEAD_UNRELIABLE_S = 0.8
"""Replaces HOLD_AHEAD_S while engines leave orders unanswered. Each unanswered order
costs a time-out, a poll and another order. If one order in ten is lost, half of all
switches need two repeated orders."""

PACE_CHANGE_FACTOR = 1.5
"""If a rank's pace changed by this factor, a map planned before gives it far too much
or too little work and does more harm than good."""

RECENTLY_UNANSWERED_S = 10.0
"""How long an unanswered order counts as recent, in seconds."""

HOLD_AHEAD_STEPS_MIN = 2
"""The next pass may begin before the order arrives, so it is not the one that is held,
unless passes are so long that a single one leaves enough time."""

HOLD_AHEAD_STEPS_MAX = 24

URGENT_PHASES = (
    mapswitch.Phase.ARMING,
    mapswitch.Phase.UNDOING,
    mapswitch.Phase.RELEASED,
)
"""Phases in which a pass may be held."""

REFERENCE_PASS_FRACTION = 0.55
"""Fraction of the target pause between events that a pass may take before users
notice."""

REFERENCE_GAIN = 0.08
"""Fraction by which a switch must shorten the slowest ranks' part of a pass when a
pass takes exactly that fraction of the target. The required gain falls with the square
of the pass time: in a loaded group each ms adds more queueing, and in an idle group
nobody would notice the gain."""

GAIN_MIN = 0.05
"""The estimate of demand is not more accurate than this."""

GAIN_MAX = 0.5

REFERENCE_GAIN_PER_COPY = 0.008
"""Gain that each copied expert must bring, at the same pass time and scaled alike."""

GAIN_PER_COPY_MIN = 0.002
"""Lower bound for a loaded group: copying an expert slows the group down too."""

GAIN_PER_COPY_MAX = 0.03
"""Upper bound, so that an idle group still copies the few most popular experts."""

CHOICES_MIN = 20_000.0
"""Expert choices that an estimate of demand needs; fewer are mostly noise."""


_Answer = typing.TypeVar("_Answer")


@dataclasses.dataclass(slots=True)
class _Group:
    """State of one lock-step group.

    ``placements`` is the map that the group runs, by layer; it is empty while the
    map is unknown. ``target`` is the map to switch to. ``pass_s`` is the duration of
    recent passes in seconds. ``unanswered_at`` is the time of the last unanswered
    order. ``planned_paces`` are the ranks' paces when the target was planned.
    ``may_copy`` tells whether experts can be copied without making streams late.
    ``plan_due_at`` is the earliest time of the next plan. ``poll_due_at`` is when an
    idle group is polled while another one switches. ``logged_phase`` is the
    phase that was logged last.
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
    plan_due_at: float = -math.inf
    poll_due_at: float = -math.inf
    logged_phase: mapswitch.Phase = mapswitch.Phase.IDLE
    logged_phase_at: float = dataclasses.field(default_factory=clock.read_clock)
    planned_paces: list[float] = dataclasses.field(default_factory=list)
    target: list[evensplit.Placement] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Poll:
    """What one poll read of a group.

    Attributes:
        reports: Reports by rank.
        as_of: The earliest time, by rank, of the state that a report shows.
        lag_s: The largest lag of a report, in seconds.
    """

    reports: dict[int, maporders.EngineReport] = dataclasses.field(default_factory=dict)
    as_of: dict[int, float] = dataclasses.field(default_factory=dict)
    lag_s: float = 0.0

    def add(self, observation: engineroutes.Observation) -> None:
        """Adds the report of one rank."""
        rank = observation.report.rank
        self.reports[rank] = observation.report
        self.as_of[rank] = observation.as_of
        self.lag_s = max(self.lag_s, observation.lag_s)


@dataclasses.dataclass(frozen=True, slots=True)
class PollResult:
    """Result of one poll of a service's groups.

    Attributes:
        wait_s: Time until the next poll is due, in seconds.
        silent: Names of the servers that could not be reached.
    """

    wait_s: float
    silent: frozenset[str]


class MapCoordination:
    """Owns the state of all groups during one appointment.

    Args:
        appointment: The appointment's number, from which the fences of orders are made.
        pool: Channels to the agents.
        agent_port: Port of all agents, on the hosts of their engines.
        dialect: The engines' dialect, for direct calls when an agent does not answer.
        meter: Measures the time that planning takes.
    """

    def __init__(
        self,
        appointment: int,
        pool: peers.ChannelPool,
        agent_port: int,
        dialect: enginedialects.EngineDialect,
        meter: workmeter.WorkMeter,
    ) -> None:
        self._appointment = appointment
        self._meter = meter
        self._groups: dict[str, _Group] = {}
        self._group_names: dict[str, str] = {}
        self._silent: frozenset[str] = frozenset()
        self._round_s = 0.0
        self._slots = asyncio.Semaphore(CALLS_AT_ONCE)
        self._routes = engineroutes.EngineRoutes(
            pool,
            agent_port,
            lambda address: engineclient.EngineClient(dialect, address),
        )

    def close(self) -> None:
        """Closes all direct connections to engines."""
        self._routes.close()

    async def poll_service(
        self,
        service: routetables.ServiceDeclaration,
        servers: collections.abc.Sequence[roster.ServerListing],
        target_gap_s: float,
        longest_gap_s: float | None = None,
    ) -> PollResult:
        """Polls the ranks of a service's groups and sends the orders that are due.

        Args:
            service: The service, whose servers are ranks.
            servers: Its servers.
            target_gap_s: The longest pause between events that is still on time.
            longest_gap_s: The longest recent pause, if there was any.

        Returns:
            When the next poll is due, and which servers could not be reached.
        """
        assert service.experts is not None
        addresses = {server.name: server.address for server in servers}
        is_urgent = any(
            group.switch.phase in URGENT_PHASES for group in self._groups.values()
        )
        questions = self._make_questions(addresses)
        observed = await self._observe(
            addresses, questions, is_urgent, service.experts.report_lag_s
        )
        by_group: dict[str, _Poll] = {}
        rank_addresses: dict[tuple[str, int], str] = {}
        for server, observation in observed.items():
            report = observation.report
            by_group.setdefault(report.group, _Poll()).add(observation)
            rank_addresses[report.group, report.rank] = addresses[server]
            self._group_names[server] = report.group
        interval_s = _stretch_interval(OBSERVE_INTERVAL_S, len(addresses))
        waits = [interval_s]
        for name, poll in by_group.items():
            group = self._get_group(name)
            group.may_copy = copytiming.may_copy(longest_gap_s, target_gap_s)
            outdated_s = group.switch.compute_outdated_s(poll.as_of)
            orders = await self._decide(
                name, group, poll, service.experts, target_gap_s
            )
            await self._send(group, name, orders, rank_addresses)
            self._log_phase(name, group)
            wait_s = _choose_wait(group.switch.phase, bool(orders), len(poll.reports))
            waits.append(outdated_s or wait_s)
            group.poll_due_at = clock.read_clock() + interval_s
        silent = self._silent.difference(questions).intersection(addresses)
        silent |= questions.keys() - observed.keys()
        self._silent = silent
        if 2 * len(silent) > len(addresses):
            # More likely this host is the one that is partitioned.
            silent = frozenset()
        return PollResult(min(waits), silent)

    def _make_questions(
        self, addresses: dict[str, str]
    ) -> dict[str, maporders.EngineQuestion]:
        """Chooses the servers to poll now, and what to ask each.

        While a group switches, the polls for it follow one another closely. The others
        are polled at their usual interval, with counts, as their demand goes on.
        """
        now = clock.read_clock()
        are_all_idle = all(group.switch.is_idle for group in self._groups.values())
        questions = {}
        for server in addresses:
            group = self._groups.get(self._group_names.get(server, ""))
            if group is None:
                questions[server] = maporders.EngineQuestion(True, True)
            elif are_all_idle or not group.switch.is_idle or now >= group.poll_due_at:
                questions[server] = maporders.EngineQuestion(
                    group.switch.is_idle, not group.placements
                )
        return questions

    async def _observe(
        self,
        addresses: dict[str, str],
        questions: dict[str, maporders.EngineQuestion],
        is_urgent: bool,
        report_lag_s: float,
    ) -> dict[str, engineroutes.Observation]:
        others = list(addresses.values())
        started_at = clock.read_clock()
        answers = await asyncio.gather(
            *(
                self._call_within_limit(
                    self._routes.observe(
                        addresses[server], question, others, is_urgent, report_lag_s
                    )
                )
                for server, question in questions.items()
            )
        )
        self._round_s = clock.read_clock() - started_at
        return {
            server: observation
            for server, observation in zip(questions, answers, strict=True)
            if observation is not None
        }

    def _log_phase(self, name: str, group: _Group) -> None:
        if group.switch.phase is group.logged_phase:
            return
        now = clock.read_clock()
        loguru.logger.info(
            "phase of an expert map switch",
            group=name,
            phase=group.switch.phase.value,
            previous=group.logged_phase.value,
            previous_s=round(now - group.logged_phase_at, 3),
            round_s=round(self._round_s, 3),
            step=group.step,
        )
        group.logged_phase, group.logged_phase_at = group.switch.phase, now

    async def _call_within_limit(
        self, call: collections.abc.Awaitable[_Answer]
    ) -> _Answer:
        async with self._slots:
            return await call

    def _get_group(self, name: str) -> _Group:
        if name not in self._groups:
            self._groups[name] = _Group(
                mapswitch.MapSwitch(self._appointment), demand.Demand(), []
            )
        return self._groups[name]

    async def _decide(
        self,
        name: str,
        group: _Group,
        poll: _Poll,
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> list[mapswitch.RankOrder]:
        now, reports = clock.read_clock(), poll.reports
        with self._meter.measure("count_expert_choices"):
            group.demand.add_reports(reports.values(), now)
        _update_pass_time(group, reports, now)
        self._update_placements(name, group, reports, experts)
        is_unreliable = now - group.unanswered_at < RECENTLY_UNANSWERED_S
        hold_ahead_s = HOLD_AHEAD_UNRELIABLE_S if is_unreliable else HOLD_AHEAD_S
        hold_ahead_s = max(hold_ahead_s, HOLD_AHEAD_ROUNDS * self._round_s)
        # Current reports are needed after the order to hold and after arming.
        hold_ahead_s += 2 * poll.lag_s
        group.switch.set_hold_ahead(
            _choose_hold_ahead_steps(hold_ahead_s, group.pass_s), hold_ahead_s
        )
        if _have_paces_changed(group.planned_paces, _list_paces(reports)):
            # The planned map assumes the ranks' earlier paces.
            group.planned_paces = []
            if group.switch.abort_preparation(now):
                loguru.logger.info(
                    "dropped the planned expert map: paces changed", group=name
                )
        orders = group.switch.decide(reports, now, poll.as_of)
        if not group.switch.is_ready or not group.placements:
            return orders
        if now < group.plan_due_at:
            return []
        is_worthwhile = await self._plan(name, group, reports, experts, target_gap_s)
        planned_at = clock.read_clock()
        group.plan_due_at = planned_at + (planned_at - now) / PLANNING_TIME_FRACTION
        if not is_worthwhile:
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
        group.switch.set_target(target, planned_at)
        group.planned_paces = _list_paces(reports)
        # The reports are as old as planning took, so they don't allow any order.
        return []

    def _update_placements(
        self,
        name: str,
        group: _Group,
        reports: dict[int, maporders.EngineReport],
        experts: routetables.ExpertLayout,
    ) -> None:
        """Updates the placement that is in force.

        A placement that another coordinator planned is read from the ranks.
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
            group.placements = _collect_placements(reports, experts)
            if not group.placements:
                return
        group.version = version
        loguru.logger.info("expert map in force", group=name, version=version)

    async def _plan(
        self,
        name: str,
        group: _Group,
        reports: dict[int, maporders.EngineReport],
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> bool:
        """Plans the next map; returns whether its gain justifies a switch."""
        loads = group.demand.get_layer_loads(experts.layers)
        if not loads or group.demand.total < CHOICES_MIN:
            return False
        paces = _list_paces(reports)
        if len(paces) != len(group.placements[0]):
            return False
        gain_scale = math.pow(
            REFERENCE_PASS_FRACTION * target_gap_s / max(group.pass_s, 1e-3), 2
        )
        per_copy = REFERENCE_GAIN_PER_COPY * gain_scale
        per_copy = min(GAIN_PER_COPY_MAX, max(GAIN_PER_COPY_MIN, per_copy))
        min_gain = min(GAIN_MAX, max(GAIN_MIN, REFERENCE_GAIN * gain_scale))
        if not group.may_copy:
            min_gain = max(min_gain, copytiming.URGENT_SWITCH_GAIN)
        before = _sum_slowest_times(group.placements, loads, paces)
        least = sum(map(sum, loads)) / sum(1.0 / pace for pace in paces)
        if least > before * (1.0 - min_gain):
            return False
        limits = evensplit.PlacementBounds(experts.slots, experts.copies, per_copy)
        plan = await self._search_plan(
            mapplanning.iterate_plans(
                group.placements, loads, paces, limits, experts.copy_s
            )
        )
        if plan is None or plan.slowest > before * (1.0 - min_gain):
            return False
        group.target = plan.placements
        mean_load = sum(map(sum, loads)) / len(paces)
        loguru.logger.info(
            "switching the expert map",
            group=name,
            version=group.version,
            skew_before=round(before / mean_load, 3),
            skew_after=round(plan.slowest / mean_load, 3),
            copies=plan.copies,
            ready_s=round(plan.ready_s, 2),
            pass_ms=round(group.pass_s * 1000, 1),
            choices=round(group.demand.total),
        )
        return True

    async def _search_plan(
        self, plans: collections.abc.Iterator[mapplanning.MapPlan | None]
    ) -> mapplanning.MapPlan | None:
        """Plans a map; the event loop handles other work between two slices."""
        plan, is_done = None, False
        while not is_done:
            started_at = clock.read_clock()
            with self._meter.measure("plan_expert_maps"):
                while not is_done and clock.read_clock() < started_at + PLAN_SLICE_S:
                    try:
                        plan = next(plans)
                    except StopIteration:
                        is_done = True
            await asyncio.sleep(clock.read_clock() - started_at)
        return plan

    async def _send(
        self,
        group: _Group,
        name: str,
        orders: list[mapswitch.RankOrder],
        rank_addresses: dict[tuple[str, int], str],
    ) -> None:
        others = [
            address
            for (group_name, _), address in rank_addresses.items()
            if group_name == name
        ]
        calls = []
        for item in orders:
            call = self._routes.order(
                rank_addresses[name, item.rank], item.order, others
            )
            calls.append(asyncio.ensure_future(self._call_within_limit(call)))
            # Encoding a map for all ranks at once would take long.
            await asyncio.sleep(0)
        outcomes = await asyncio.gather(*calls)
        now = clock.read_clock()
        for item, outcome in zip(orders, outcomes, strict=True):
            group.switch.handle_reply(item, outcome, now)
            if outcome is maporders.MapOrderOutcome.UNANSWERED:
                group.unanswered_at = now


def _sum_slowest_times(
    placements: collections.abc.Sequence[evensplit.Placement],
    loads: collections.abc.Sequence[collections.abc.Sequence[float]],
    paces: collections.abc.Sequence[float],
) -> float:
    """Sums the slowest rank's time over all layers."""
    return sum(
        evensplit.compute_slowest_time(placement, layer, paces)
        for placement, layer in zip(placements, loads, strict=True)
    )


def _choose_hold_ahead_steps(hold_ahead_s: float, pass_s: float) -> int:
    """Chooses how many passes ahead of the current one a switch holds a pass."""
    steps = math.ceil(hold_ahead_s / pass_s) if pass_s > 0.0 else HOLD_AHEAD_STEPS_MAX
    min_steps = 1 if pass_s >= HOLD_AHEAD_S else HOLD_AHEAD_STEPS_MIN
    return min(HOLD_AHEAD_STEPS_MAX, max(min_steps, steps))


def _list_paces(reports: dict[int, maporders.EngineReport]) -> list[float]:
    return [reports[rank].pace for rank in sorted(reports)]


def _have_paces_changed(
    planned: collections.abc.Sequence[float], paces: collections.abc.Sequence[float]
) -> bool:
    """Tells whether a map that was planned for certain paces is outdated."""
    if len(planned) != len(paces):
        return False
    return any(
        max(before, after) > PACE_CHANGE_FACTOR * min(before, after)
        for before, after in zip(planned, paces, strict=True)
    )


def _stretch_interval(interval_s: float, ranks: int) -> float:
    """Lengthens the interval between polls of a large group."""
    return max(interval_s, ranks / POLL_CALLS_MAX_PER_S)


def _choose_wait(phase: mapswitch.Phase, has_orders: bool, ranks: int) -> float:
    """Chooses the time until the next poll, in seconds.

    A switch without orders waits for a rank's report or for copies to finish.
    Polling more often would then only load the leader.
    """
    is_arming = phase in (mapswitch.Phase.ARMING, mapswitch.Phase.UNDOING)
    if phase is mapswitch.Phase.IDLE:
        # Orders while idle are a new coordinator's: its predecessor may have left a
        # pass held.
        if has_orders:
            return ARM_INTERVAL_S
        return _stretch_interval(OBSERVE_INTERVAL_S, ranks)
    return ARM_INTERVAL_S if is_arming and has_orders else PREPARE_INTERVAL_S


def _update_pass_time(
    group: _Group, reports: dict[int, maporders.EngineReport], now: float
) -> None:
    """Updates the duration of passes; an idle group runs none."""
    step = max(report.step for report in reports.values())
    elapsed_s = now - group.step_at
    if step < group.step or elapsed_s >= OBSERVE_INTERVAL_S / 2:
        if step > group.step and elapsed_s < 10 * OBSERVE_INTERVAL_S:
            group.pass_s = elapsed_s / (step - group.step)
        group.step, group.step_at = step, now


def _collect_placements(
    reports: dict[int, maporders.EngineReport], experts: routetables.ExpertLayout
) -> list[evensplit.Placement]:
    """Combines the experts of all ranks; empty unless every rank reported them."""
    size = next(iter(reports.values())).size
    if set(reports) != set(range(size)):
        return []
    if any(len(report.experts) != experts.layers for report in reports.values()):
        return []
    return [
        tuple(reports[rank].experts[layer].experts for rank in range(size))
        for layer in range(experts.layers)
    ]

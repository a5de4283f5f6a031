"""Adapts expert maps to demand, on the log host that is appointed to do so."""

import asyncio
import collections.abc
import dataclasses
import typing

import loguru

from lycheegauge.internal.coordination import enginememory
from lycheegauge.internal.coordination.groups import (
    copytiming,
    demand,
    evensplit,
    groupstate,
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

HOLD_AHEAD_ROUNDS = 6.0
"""Minimum time until the held pass is due, in rounds of calls to all ranks: the order
to hold, a round of orders to arm, and a poll before and after it."""

RECENTLY_UNANSWERED_S = 10.0
"""How long an unanswered order counts as recent, in seconds."""

URGENT_PHASES = (
    mapswitch.Phase.ARMING,
    mapswitch.Phase.UNDOING,
    mapswitch.Phase.RELEASED,
)
"""Phases in which a pass may be held."""

_Answer = typing.TypeVar("_Answer")


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
        memories: The servers that have just reported that their memory is mostly used.
    """

    wait_s: float
    silent: frozenset[str]
    memories: tuple[roster.ServerMemory, ...] = ()


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
        self._groups: dict[str, groupstate.GroupState] = {}
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
        used = {name: item.report.memory_used for name, item in observed.items()}
        memories = enginememory.list_filled(servers, used)
        return PollResult(min(waits), silent, memories)

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

    def _log_phase(self, name: str, group: groupstate.GroupState) -> None:
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

    def _get_group(self, name: str) -> groupstate.GroupState:
        if name not in self._groups:
            self._groups[name] = groupstate.GroupState(
                mapswitch.MapSwitch(self._appointment),
                demand.Demand(),
                clock.read_clock(),
            )
        return self._groups[name]

    async def _decide(
        self,
        name: str,
        group: groupstate.GroupState,
        poll: _Poll,
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> list[mapswitch.RankOrder]:
        now, reports = clock.read_clock(), poll.reports
        with self._meter.measure("count_expert_choices"):
            group.demand.add_reports(reports.values(), now)
        group.update_pass_time(reports, now)
        if group.update_placements(reports, experts):
            loguru.logger.info("expert map in force", group=name, version=group.version)
        is_unreliable = now - group.unanswered_at < RECENTLY_UNANSWERED_S
        hold_ahead_s = (
            groupstate.HOLD_AHEAD_UNRELIABLE_S
            if is_unreliable
            else groupstate.HOLD_AHEAD_S
        )
        hold_ahead_s = max(hold_ahead_s, HOLD_AHEAD_ROUNDS * self._round_s)
        # Current reports are needed after the order to hold and after arming.
        hold_ahead_s += 2 * poll.lag_s
        group.switch.set_hold_ahead(
            groupstate.choose_hold_ahead_steps(hold_ahead_s, group.pass_s),
            hold_ahead_s,
        )
        if groupstate.have_paces_changed(
            group.planned_paces, groupstate.list_paces(reports)
        ):
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
        group.switch.set_target(group.make_target(reports), planned_at)
        group.planned_paces = groupstate.list_paces(reports)
        # The reports are as old as planning took, so they don't allow any order.
        return []

    async def _plan(
        self,
        name: str,
        group: groupstate.GroupState,
        reports: dict[int, maporders.EngineReport],
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> bool:
        """Plans the next map; returns whether its gain justifies a switch."""
        loads = group.demand.get_layer_loads(experts.layers)
        if not loads or group.demand.total < groupstate.CHOICES_MIN:
            return False
        paces = groupstate.list_paces(reports)
        if len(paces) != len(group.placements[0]):
            return False
        gains = groupstate.compute_gain_limits(
            group.pass_s, target_gap_s, group.may_copy
        )
        before = groupstate.sum_slowest_times(group.placements, loads, paces)
        least = sum(map(sum, loads)) / sum(1.0 / pace for pace in paces)
        if least > before * (1.0 - gains.total):
            return False
        limits = evensplit.PlacementBounds(
            experts.slots, experts.copies, gains.per_copy
        )
        plan = await self._search_plan(
            mapplanning.iterate_plans(
                group.placements, loads, paces, limits, experts.copy_s
            )
        )
        if plan is None or plan.slowest > before * (1.0 - gains.total):
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
        group: groupstate.GroupState,
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

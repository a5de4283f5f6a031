"""Switches the expert maps of one large group, through calls that agents relay."""

import asyncio
import collections.abc
import dataclasses
import math

import loguru

from lycheegauge import settings
from lycheegauge.internal.coordination.groups import (
    copytiming,
    groupstate,
    holdahead,
    mapplanning,
    mapswitch,
    partdemand,
    switchrecord,
)
from lycheegauge.internal.daemons import (
    engineroutes,
    layerplanning,
    rankfanout,
    switchlog,
    workmeter,
)
from lycheegauge.internal.protocol import maporders, packedmaps, routetables
from lycheegauge.internal.transport import clock

HOLD_AHEAD_MIN_S = 0.12
"""Minimum time until the held pass is due, in seconds. With a shorter one the group
stops whenever a call takes a little longer than usual."""

HOLD_AHEAD_ROUNDS = 3.0
"""Time until the held pass is due, in rounds of calls: the order to hold, a query of
the holding rank and the orders to arm."""

RECENTLY_UNANSWERED_S = 10.0
"""How long an unanswered order counts as recent, in seconds."""

WAIT_INTERVAL_S = 0.05
"""Interval between polls while a switch waits for a rank."""

RELEASED_WAIT_MIN_S = 0.02
RELEASED_WAIT_MAX_S = 0.1

COPY_WAIT_FACTOR = 1.25
"""Agents wait this much longer for copies than the engines state."""

COPY_WAIT_EXTRA_S = 0.03

COPY_WAIT_MAX_S = 0.5

RELAXED_S = 1.0
"""Time since all ranks answered in one round for which silent ranks are not called at
once while no switch is under way, in seconds."""

COUNTS_DUE_FRACTION = 0.9
"""Counts are read again after this fraction of the poll interval: polls are not exactly
as far apart as that."""

PLAN_AGE_MAX_S = 0.5
"""Age up to which a plan made during the switch before is used, in seconds."""

PLANNING_TIME_FRACTION = 0.5
"""Maximum fraction of the time that is spent on planning maps for a group."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupContext:
    """What a group's coordination needs beside the group's own state.

    Attributes:
        fanout: Calls to the ranks through relays.
        routes: Calls to single ranks.
        planner: Plans maps on agents.
        maps: Settings.
        meter: Measures the time that this host spends.
        record_switch: Takes the seconds of each phase of a finished switch.
    """

    fanout: rankfanout.RankFanout
    routes: engineroutes.EngineRoutes
    planner: layerplanning.LayerPlanner
    maps: settings.MapSettings
    meter: workmeter.WorkMeter
    record_switch: collections.abc.Callable[[str, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """A planned map.

    Attributes:
        version: The version of the map that it changes.
        plan: The map; ``None`` if no change pays.
        mean_load: The mean time of all ranks.
        skew_before: The slowest ranks' time over the mean, with the map in force.
        plan_s: How long planning took, in seconds.
        planned_at: Its time.
    """

    version: int
    plan: mapplanning.MapPlan | None
    mean_load: float
    skew_before: float
    plan_s: float
    planned_at: float


class RelayedGroup:
    """Owns the state of a large group during one appointment.

    ``silent`` are the engines that could not be reached, ``misassigned`` those that
    turned out to belong to another group.

    Args:
        name: The group's name.
        appointment: The appointment's number, from which the fences are made.
        context: What it needs beside its own state.
    """

    def __init__(self, name: str, appointment: int, context: GroupContext) -> None:
        self.name = name
        self._context = context
        self._demand = partdemand.PartDemand(context.maps.demand_half_life_s)
        now = clock.read_clock()
        self.state = groupstate.GroupState(
            mapswitch.MapSwitch(appointment), self._demand, now
        )
        self.silent: set[str] = set()
        self.misassigned: set[str] = set()
        self._known: dict[str, engineroutes.Observation] = {}
        self._needs_all = True
        self._whole_at = -math.inf
        self._counts_at = -math.inf
        self._plan_task: asyncio.Task[_Plan | None] | None = None
        self._log = switchlog.SwitchLog(name, self.state, context.record_switch)
        self._packed: tuple[int, bytes] = (mapswitch.NONE, b"")
        self._copy_wait_s = COPY_WAIT_MAX_S
        self._armings = holdahead.ArmingHistory()

    def close(self) -> None:
        """Ends the planning under way."""
        if self._plan_task is not None:
            self._plan_task.cancel()

    @property
    def known(self) -> collections.abc.Mapping[str, engineroutes.Observation]:
        """The latest states by the addresses of the engines."""
        return self._known

    async def poll(
        self,
        engines: collections.abc.Sequence[str],
        experts: routetables.ExpertLayout,
        target_gap_s: float,
        longest_gap_s: float | None,
    ) -> float:
        """Reads what a decision needs, decides, and sends the orders.

        Args:
            engines: The addresses of the group's engines.
            experts: The layout of the experts.
            target_gap_s: The longest pause between events that is still on time.
            longest_gap_s: The longest recent pause, if there was any.

        Returns:
            When the next poll is due, in seconds.
        """
        started_at = clock.read_clock()
        self.state.may_copy = copytiming.may_copy(longest_gap_s, target_gap_s)
        await self._read(engines, experts)
        if not self._known:
            return WAIT_INTERVAL_S
        orders = await self._decide(engines, experts, target_gap_s)
        if orders:
            await self._send(orders, engines)
        self._note_arming()
        self._log.log_phase(self._context.fanout.parts.round_s)
        if longest_gap_s is not None and longest_gap_s > target_gap_s:
            self._log.log_late_events(
                self._list_reports(), experts.layers, longest_gap_s
            )
        self._needs_all = not orders
        wait_s = self._choose_wait(bool(orders))
        if self.state.switch.is_idle and not orders:
            wait_s -= clock.read_clock() - started_at
        return max(0.0, wait_s)

    # Reading.

    async def _read(
        self,
        engines: collections.abc.Sequence[str],
        experts: routetables.ExpertLayout,
    ) -> None:
        """Reads the ranks whose state is not known to be current."""
        for engine in self._known.keys() - set(engines):
            del self._known[engine]
        wanted = set(engines)
        if not self._needs_all:
            wanted -= self._known.keys()
        if not wanted:
            return
        now = clock.read_clock()
        is_whole = len(wanted) == len(engines)
        has_counts = is_whole and self._are_counts_due(now)
        if has_counts:
            self._counts_at = now
        # While no switch is under way, a report of the last second is good enough.
        is_relaxed = self.state.switch.is_idle and now - self._whole_at < RELAXED_S
        reading = await self._context.fanout.observe(
            engines,
            wanted,
            maporders.EngineQuestion(has_counts, not self.state.placements),
            experts.report_lag_s,
            not is_relaxed,
        )
        if not is_relaxed:
            for engine in wanted:
                self._known.pop(engine, None)
            self.silent = self.silent & set(engines) | wanted
        if len(reading.observations) == len(engines):
            self._whole_at = now
        self._take_observations(reading.observations)
        self._add_counts(reading)
        if self._known and is_whole:
            self.state.update_pass_time(self._list_reports(), clock.read_clock())

    def _are_counts_due(self, now: float) -> bool:
        match self.state.switch.phase:
            case mapswitch.Phase.IDLE:
                interval_s = COUNTS_DUE_FRACTION * self._context.maps.poll_interval_s
                return now - self._counts_at >= interval_s
            case mapswitch.Phase.RELEASED:
                return not self._is_counted_since_release
        return False

    def _take_observations(
        self, observations: dict[str, engineroutes.Observation]
    ) -> None:
        for engine, item in observations.items():
            if item.report.group == self.name:
                self._known[engine] = item
            else:
                self._known.pop(engine, None)
                self.misassigned.add(engine)
        self.silent -= observations.keys()

    def _add_counts(self, reading: rankfanout.Reading) -> None:
        if not reading.sums or not reading.observations:
            return
        newest = max(
            (item.report for item in reading.observations.values()),
            key=lambda report: (report.epoch, report.step),
        )
        now = clock.read_clock()
        with self._context.meter.measure("count_expert_choices"):
            self._demand.add_sums(reading.sums, newest.epoch, newest.step, now)

    async def _keep_counting(
        self,
        engines: collections.abc.Sequence[str],
    ) -> None:
        """Reads the counts while experts are copied, until cancelled."""
        question = maporders.EngineQuestion(True)
        while True:
            await asyncio.sleep(self._context.maps.poll_interval_s)
            reading = await self._context.fanout.observe(
                engines, engines, question, 0.0
            )
            self._add_counts(reading)

    def _list_reports(self) -> dict[int, maporders.EngineReport]:
        return {item.report.rank: item.report for item in self._known.values()}

    # Deciding.

    async def _decide(
        self,
        engines: collections.abc.Sequence[str],
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> list[mapswitch.RankOrder]:
        state, reports = self.state, self._list_reports()
        as_of = {item.report.rank: item.as_of for item in self._known.values()}
        now = clock.read_clock()
        if state.update_placements(reports, experts):
            self._log.log_map_in_force(now)
        self._set_hold_ahead()
        if groupstate.have_paces_changed(
            state.planned_paces, groupstate.list_paces(reports)
        ):
            # The planned map assumes the ranks' earlier paces.
            state.planned_paces = []
            if state.switch.abort_preparation(now):
                loguru.logger.info(
                    "dropped the planned expert map: paces changed", group=self.name
                )
        orders = state.switch.decide(reports, now, as_of)
        if not orders and state.switch.phase is mapswitch.Phase.IDLE:
            if not state.switch.is_ready:
                # A switch has just ended; the same reports may allow the next one.
                orders = state.switch.decide(reports, now, as_of)
        if self._is_counted_since_release:
            self._plan_ahead(engines, reports, experts, target_gap_s)
        if orders or not state.switch.is_ready or not state.placements:
            return orders
        if not await self._find_target(engines, reports, experts, target_gap_s):
            return []
        now = clock.read_clock()
        state.switch.set_target(state.make_target(reports), now)
        state.planned_paces = groupstate.list_paces(reports)
        return state.switch.decide(reports, now, as_of)

    @property
    def _is_counted_since_release(self) -> bool:
        """Whether a pass has been released and counts were read after that."""
        return (
            self.state.switch.phase is mapswitch.Phase.RELEASED
            and self._counts_at >= self.state.logged_phase_at
            and self.state.logged_phase is mapswitch.Phase.RELEASED
        )

    def _set_hold_ahead(self) -> None:
        lag_s = max((item.lag_s for item in self._known.values()), default=0.0)
        round_s = self._context.fanout.parts.round_s
        hold_ahead_s = max(HOLD_AHEAD_MIN_S, HOLD_AHEAD_ROUNDS * round_s)
        # Current reports are needed after the order to hold and after arming.
        hold_ahead_s += 2 * lag_s
        now = clock.read_clock()
        is_unreliable = now - self.state.unanswered_at < RECENTLY_UNANSWERED_S
        if is_unreliable:
            # A silent rank is read and ordered again before the pass is due.
            hold_ahead_s += self._context.fanout.parts.compute_limit_s() + round_s
        hold_ahead_s = self._armings.choose_hold_ahead(hold_ahead_s, is_unreliable, now)
        self.state.switch.set_hold_ahead(
            groupstate.choose_hold_ahead_steps(
                hold_ahead_s, self.state.pass_s, HOLD_AHEAD_MIN_S
            ),
            hold_ahead_s,
        )

    def _note_arming(self) -> None:
        """Records how long arming took when it has just ended."""
        state, now = self.state, clock.read_clock()
        if state.logged_phase is mapswitch.Phase.ARMING and (
            state.switch.phase is not mapswitch.Phase.ARMING
        ):
            self._armings.note_arming(now - state.logged_phase_at, now)

    # Planning.

    def _plan_ahead(
        self,
        engines: collections.abc.Sequence[str],
        reports: groupstate.Reports,
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> None:
        """Plans the next map while the ranks have yet to run the held pass."""
        if self._plan_task is None and self.state.target:
            version = self.state.switch.target_version
            self._plan_task = asyncio.create_task(
                self._plan(
                    engines, reports, experts, target_gap_s, version, self.state.target
                )
            )

    async def _find_target(
        self,
        engines: collections.abc.Sequence[str],
        reports: groupstate.Reports,
        experts: routetables.ExpertLayout,
        target_gap_s: float,
    ) -> bool:
        """Finds the next map; returns whether its gain justifies a switch."""
        state = self.state
        planned: _Plan | None = None
        if self._plan_task is not None:
            task, self._plan_task = self._plan_task, None
            planned = await task
        now = clock.read_clock()
        if planned is None or not (
            planned.version == state.version
            and now - planned.planned_at < PLAN_AGE_MAX_S
        ):
            if now < state.plan_due_at:
                return False
            planned = await self._plan(
                engines, reports, experts, target_gap_s, state.version, state.placements
            )
            now = clock.read_clock()
        if planned is None or planned.plan is None:
            return False
        plan = planned.plan
        gain = 1.0 - plan.slowest / (planned.skew_before * planned.mean_load)
        if self._demand.is_moving and gain < copytiming.URGENT_SWITCH_GAIN:
            # The next read shows what demand is moving to, and a switch under way then
            # would delay the one that matters.
            return False
        copies = [
            sum(
                len(set(new[rank]).difference(old[rank]))
                for old, new in zip(state.placements, plan.placements, strict=True)
            )
            for rank in range(len(plan.placements[0]))
        ]
        copying_s = max(copies) * (experts.copy_s or mapplanning.DEFAULT_COPY_S)
        self._copy_wait_s = min(
            COPY_WAIT_MAX_S, COPY_WAIT_FACTOR * copying_s + COPY_WAIT_EXTRA_S
        )
        state.target = plan.placements
        skew_after = plan.slowest / planned.mean_load
        self._log.record = switchrecord.SwitchRecord(
            planned.plan_s, planned.skew_before, skew_after, plan.copies, now
        )
        loguru.logger.info(
            "switching the expert map",
            group=self.name,
            version=state.version,
            skew_before=round(planned.skew_before, 3),
            skew_after=round(skew_after, 3),
            copies=plan.copies,
            ready_s=round(plan.ready_s, 2),
            pass_ms=round(state.pass_s * 1000, 1),
            choices=round(self._demand.total),
        )
        return True

    async def _plan(
        self,
        engines: collections.abc.Sequence[str],
        reports: groupstate.Reports,
        experts: routetables.ExpertLayout,
        target_gap_s: float,
        version: int,
        placements: list[tuple[tuple[int, ...], ...]],
    ) -> _Plan | None:
        """Plans a change of a map; ``None`` if even a perfect map would not pay."""
        state = self.state
        loads = self._demand.get_layer_loads(experts.layers)
        paces = groupstate.list_paces(reports)
        if not loads or self._demand.total < groupstate.CHOICES_MIN:
            return None
        if len(paces) != len(placements[0]):
            return None
        started_at = clock.read_clock()
        gains = groupstate.compute_gain_limits(
            state.pass_s, target_gap_s, state.may_copy
        )
        with self._context.meter.measure("weigh_expert_maps"):
            before = groupstate.sum_slowest_times(placements, loads, paces)
            total = sum(map(sum, loads))
        least = total / sum(1.0 / pace for pace in paces)
        if least > before * (1.0 - gains.total):
            return None
        plan = await self._context.planner.plan(
            engines,
            layerplanning.PlanTask(placements, loads, paces),
            experts,
            gains.per_copy,
        )
        now = clock.read_clock()
        state.plan_due_at = now + (now - started_at) * (
            1.0 / PLANNING_TIME_FRACTION - 1.0
        )
        if plan is not None and plan.slowest > before * (1.0 - gains.total):
            plan = None
        mean_load = total / len(paces)
        return _Plan(
            version, plan, mean_load, before / mean_load, now - started_at, now
        )

    # Sending.

    async def _send(
        self,
        orders: list[mapswitch.RankOrder],
        engines: collections.abc.Sequence[str],
    ) -> None:
        addresses = {item.report.rank: engine for engine, item in self._known.items()}
        by_engine = {addresses[item.rank]: item for item in orders}
        kind = orders[0].order.kind
        if kind is maporders.MapOrderKind.HOLD:
            replies = await self._hold(by_engine, engines)
        elif kind is maporders.MapOrderKind.PREPARE:
            counting = asyncio.create_task(self._keep_counting(engines))
            try:
                replies = await self._context.fanout.order(
                    engines,
                    {engine: item.order for engine, item in by_engine.items()},
                    self._pack_layers(orders[0].order),
                    self._copy_wait_s,
                )
            finally:
                counting.cancel()
        else:
            replies = await self._context.fanout.order(
                engines, {engine: item.order for engine, item in by_engine.items()}
            )
        now = clock.read_clock()
        for engine, item in by_engine.items():
            self._take_reply(engine, item, replies[engine], now)

    async def _hold(
        self,
        by_engine: dict[str, mapswitch.RankOrder],
        engines: collections.abc.Sequence[str],
    ) -> dict[str, maporders.MapOrderReply]:
        """Sends the order to hold a pass through another engine's agent.

        The host that handled the order is then not the one that must be reached to
        release it. That agent's report may show an earlier state, so it returns none.
        """
        return {
            engine: maporders.MapOrderReply(
                await self._context.routes.order(engine, item.order, engines)
            )
            for engine, item in by_engine.items()
        }

    def _pack_layers(self, order: maporders.MapOrder) -> bytes:
        if self._packed[0] != order.version:
            with self._context.meter.measure("pack_expert_maps"):
                packed = packedmaps.pack_layers(order.layers)
            self._packed = (order.version, packed)
        return self._packed[1]

    def _take_reply(
        self,
        engine: str,
        item: mapswitch.RankOrder,
        reply: maporders.MapOrderReply,
        now: float,
    ) -> None:
        """Handles a reply; the state in it is as current as one read after it."""
        self.state.switch.handle_reply(item, reply.outcome, now)
        if reply.outcome is maporders.MapOrderOutcome.UNANSWERED:
            self.state.unanswered_at = now
        report = reply.report
        if report is not None and report.rank == item.rank:
            self._known[engine] = engineroutes.Observation(report, now, 0.0)
        else:
            self._known.pop(engine, None)

    # Timing.

    def _choose_wait(self, has_orders: bool) -> float:
        """Chooses the time until the next poll, in seconds."""
        if has_orders:
            return 0.0
        as_of = {item.report.rank: item.as_of for item in self._known.values()}
        outdated_s = self.state.switch.compute_outdated_s(as_of)
        if outdated_s > 0.0:
            return outdated_s
        phase = self.state.switch.phase
        if phase is mapswitch.Phase.IDLE:
            return self._context.maps.poll_interval_s
        if phase is not mapswitch.Phase.RELEASED:
            return WAIT_INTERVAL_S
        if not self._is_counted_since_release:
            # Counts are read while the held pass is not due yet.
            return 0.0
        reports = self._list_reports().values()
        armed_step = max(report.armed_step for report in reports)
        passes = armed_step - max(report.step for report in reports)
        return min(
            RELEASED_WAIT_MAX_S, max(RELEASED_WAIT_MIN_S, passes * self.state.pass_s)
        )

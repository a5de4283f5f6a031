"""Switches a lock-step group to another expert map, despite lost or late messages.

The protocol: send ``PREPARE`` to all ranks; ``HOLD`` an upcoming pass at one rank;
``ARM`` all ranks for that pass; when every rank has reported that it is armed, send
``GO``. The held pass and all later ones do not begin while a rank may be unarmed.
To abort: ``DISARM`` all ranks, and send ``GO`` only when no rank is armed and no order
that could still arm one is in doubt.

An order without an answer may be carried out much later. Every order has a higher
fence than all before it, so once a rank has answered a later order, it refuses the
earlier one permanently. A new coordinator therefore first waits until every rank has
answered one of its own orders, which invalidates its predecessor's orders, and then
completes or undoes the switch that it finds.

A report may show an earlier state. One that may be from before the rank's last order
ended allows no decision: it can show a held pass that a later order has replaced, or no
armed rank where there is one.
"""

import collections.abc
import dataclasses
import enum

from lycheegauge.internal.protocol import maporders

FENCES_PER_TERM = 1 << 24
"""How many orders one coordinator can number. Fences stay small enough to be exact as
JSON numbers."""

HOLD_AHEAD_STEPS = 5
"""Default distance from the current pass to the held one, in passes. It is long enough
for arming to end before the held pass is due."""

PREPARE_TIMEOUT_S = 4.0
"""Copies take a few tenths of a second; a longer wait indicates a lost rank."""

ARM_TIMEOUT_S = 1.0
"""A switch is aborted after this time, because a held group serves no requests. While
the held pass is further ahead than this, the switch has until then."""

RESEND_AFTER_S = 0.15
"""Time after which an unanswered ``PREPARE`` is sent again."""

NONE = -1

Reports = collections.abc.Mapping[int, maporders.EngineReport]


class Phase(enum.Enum):
    """The phases of a switch."""

    IDLE = "idle"
    PREPARING = "preparing"
    ARMING = "arming"
    UNDOING = "undoing"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The map to switch to."""

    version: int
    layers: tuple[maporders.LayerPlacement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RankOrder:
    """An order and its destination rank."""

    rank: int
    order: maporders.MapOrder


class MapSwitch:
    """Decides the next orders to a group from current reports of all its ranks.

    Args:
        term: The number of the coordinator's appointment; later ones are higher.
    """

    def __init__(self, term: int) -> None:
        self._fence = term * FENCES_PER_TERM
        self._answered_fences: dict[int, int] = {}
        self._doubtful_fences: dict[int, int] = {}
        self._ended_at: dict[int, float] = {}
        self._prepared_at: dict[int, float] = {}
        self._group = ""
        self._epoch = NONE
        self._target: Target | None = None
        self._target_version = NONE
        self._phase_since = 0.0
        self._hold_ahead_steps = HOLD_AHEAD_STEPS
        self._arm_timeout_s = ARM_TIMEOUT_S
        self._released_step = NONE
        self._highest_version = 0
        # Whether no rank is armed or can become armed without an order of this object.
        self._is_unarmed = False
        self._has_nothing_to_do = False
        self.is_fenced_out = False
        self.phase = Phase.IDLE

    @property
    def is_idle(self) -> bool:
        """Whether there is no switch under way."""
        return self.phase is Phase.IDLE and self._target is None

    @property
    def is_ready(self) -> bool:
        """Whether a new target may be set with the reports of the last decision.

        They cover all ranks, are current, and leave nothing to complete or undo.
        """
        return self.is_idle and self._has_nothing_to_do

    @property
    def target_version(self) -> int:
        """The version of the last target; -1 before the first."""
        return self._target_version

    def allocate_version(self, reports: Reports) -> int:
        """Returns a version that no rank has reported and no order has used."""
        named = [self._highest_version]
        for report in reports.values():
            named += [
                report.map_version,
                report.prepared_version,
                report.armed_version,
            ]
        self._highest_version = max(named) + 1
        return self._highest_version

    def set_hold_ahead(self, steps: int, duration_s: float) -> None:
        """Sets how many passes ahead of the current one a pass is held.

        Args:
            steps: The number of passes.
            duration_s: The estimated time until the held pass is due, in seconds.
        """
        self._hold_ahead_steps = steps
        self._arm_timeout_s = max(ARM_TIMEOUT_S, duration_s)

    def abort_preparation(self, now: float) -> bool:
        """Aborts a switch that is still preparing; returns whether there was one."""
        if self.phase is not Phase.PREPARING:
            return False
        self._clear_target(now)
        return True

    def set_target(self, target: Target, now: float) -> None:
        """Starts a switch; ``is_ready`` must hold."""
        self._target = target
        self._target_version = target.version
        self._prepared_at.clear()
        self._enter_phase(Phase.PREPARING, now)

    def compute_outdated_s(self, as_of: collections.abc.Mapping[int, float]) -> float:
        """Returns for how long the most outdated report may precede its rank's order.

        A report that is read that much later, in the same way, is current; 0 if all
        are.

        Args:
            as_of: The earliest time, by rank, of the state that a report shows.
        """
        return max(
            (
                self._ended_at.get(rank, shown_at) - shown_at
                for rank, shown_at in as_of.items()
            ),
            default=0.0,
        )

    def decide(
        self,
        reports: Reports,
        now: float,
        as_of: collections.abc.Mapping[int, float],
    ) -> list[RankOrder]:
        """Returns the orders to send now; while ranks are missing, only a release.

        Args:
            reports: Reports by rank.
            now: Seconds.
            as_of: The earliest time, by rank, of the state that a report shows.
        """
        self._has_nothing_to_do = False
        if self.is_fenced_out or self.compute_outdated_s(as_of) > 0.0:
            return []
        if not _is_complete(reports):
            return self._release_early(reports, now)
        self._adopt_epoch(reports, now)
        unfenced = [rank for rank in reports if rank not in self._answered_fences]
        if unfenced:
            return [self._make_fencing_order(rank, reports) for rank in unfenced]
        if not _list_armed(reports) and not any(map(self._is_in_doubt, reports)):
            self._is_unarmed = True
        match self.phase:
            case Phase.IDLE:
                return self._recover_switch(reports, now)
            case Phase.PREPARING:
                return self._prepare(reports, now)
            case Phase.ARMING:
                return self._arm(reports, now)
            case Phase.UNDOING:
                return self._undo(reports, now)
        return self._release(reports, now)

    def handle_reply(
        self, sent: RankOrder, outcome: maporders.MapOrderOutcome, now: float
    ) -> None:
        """Handles an engine's answer to an order."""
        self._ended_at[sent.rank] = now
        if sent.order.epoch != self._epoch:
            return
        if outcome is maporders.MapOrderOutcome.UNANSWERED:
            doubted = self._doubtful_fences.get(sent.rank, NONE)
            self._doubtful_fences[sent.rank] = max(doubted, sent.order.fence)
            return
        if outcome is maporders.MapOrderOutcome.FENCED:
            self.is_fenced_out = True
            return
        answered = self._answered_fences.get(sent.rank, NONE)
        self._answered_fences[sent.rank] = max(answered, sent.order.fence)
        is_refused = outcome in (
            maporders.MapOrderOutcome.CONFLICT,
            maporders.MapOrderOutcome.REFUSED,
        )
        if is_refused and sent.order.kind is maporders.MapOrderKind.PREPARE:
            self._clear_target(now)
        elif is_refused and sent.order.kind is maporders.MapOrderKind.ARM:
            if self.phase is Phase.ARMING:
                self._enter_phase(Phase.UNDOING, now)

    # Phases.

    def _recover_switch(self, reports: Reports, now: float) -> list[RankOrder]:
        """Completes or undoes a switch left by another coordinator or a late order."""
        armed = _list_armed(reports)
        held = _list_held(reports)
        if not armed and not held:
            self._has_nothing_to_do = True
            return []
        self._enter_phase(Phase.UNDOING, now)
        is_one_switch = len(armed) == len(reports) and (
            len(_list_switches(reports)) == 1
        )
        if is_one_switch and all(
            reports[rank].held_step == reports[rank].armed_step for rank in held
        ):
            # Only a coordinator that saw all ranks armed can have released the pass.
            self._released_step = next(iter(reports.values())).armed_step
            self._enter_phase(Phase.RELEASED, now)
            return self._release(reports, now)
        return self._undo(reports, now)

    def _prepare(self, reports: Reports, now: float) -> list[RankOrder]:
        target = self._target
        assert target is not None
        missing = [
            rank
            for rank, report in reports.items()
            if report.prepared_version != target.version
        ]
        if not missing:
            self._enter_phase(Phase.ARMING, now)
            return self._arm(reports, now)
        if now - self._phase_since > PREPARE_TIMEOUT_S:
            self._clear_target(now)
            return []
        orders = []
        for rank in missing:
            sent_at = self._prepared_at.get(rank, float("-inf"))
            if not reports[rank].is_busy and now - sent_at > RESEND_AFTER_S:
                self._prepared_at[rank] = now
                orders.append(
                    self._make_order(
                        rank,
                        maporders.MapOrderKind.PREPARE,
                        version=target.version,
                        layers=target.layers,
                    )
                )
        return orders

    def _arm(self, reports: Reports, now: float) -> list[RankOrder]:
        target = self._target
        assert target is not None
        held = _list_held(reports)
        is_late = now - self._phase_since > self._arm_timeout_s
        if is_late or len(held) > 1 or self._is_unprepared(reports, target):
            self._enter_phase(Phase.UNDOING, now)
            return self._undo(reports, now)
        if not held:
            step = (
                max(report.step for report in reports.values()) + self._hold_ahead_steps
            )
            holder = min(reports)
            return [self._make_order(holder, maporders.MapOrderKind.HOLD, step=step)]
        holder = held[0]
        step = reports[holder].held_step
        if self._is_in_doubt(holder):
            # An unanswered hold could still replace this one.
            return [self._make_order(holder, maporders.MapOrderKind.HOLD, step=step)]
        wanted = (target.version, step)
        unarmed = [
            rank
            for rank, report in reports.items()
            if (report.armed_version, report.armed_step) != wanted
        ]
        if unarmed:
            self._is_unarmed = False
            arm = maporders.MapOrderKind.ARM
            return [
                self._make_order(rank, arm, version=target.version, step=step)
                for rank in unarmed
            ]
        self._released_step = step
        self._enter_phase(Phase.RELEASED, now)
        return self._release(reports, now)

    def _undo(self, reports: Reports, now: float) -> list[RankOrder]:
        """Disarms all ranks, and releases the pass once none can be armed."""
        self._target = None
        doubtful = [rank for rank in reports if self._is_in_doubt(rank)]
        armed = _list_armed(reports)
        if armed or doubtful:
            return [
                self._make_order(
                    rank,
                    maporders.MapOrderKind.DISARM,
                    version=self._choose_disarm_version(reports[rank]),
                )
                for rank in sorted({*armed, *doubtful})
            ]
        held = _list_held(reports)
        if not held:
            self._enter_phase(Phase.IDLE, now)
            return []
        return [
            self._make_order(
                rank, maporders.MapOrderKind.GO, step=reports[rank].held_step
            )
            for rank in held
        ]

    def _release(self, reports: Reports, now: float) -> list[RankOrder]:
        """Releases the held pass and waits until all ranks have run it."""
        held = [
            rank
            for rank in _list_held(reports)
            if reports[rank].held_step == self._released_step
        ]
        if held:
            go = maporders.MapOrderKind.GO
            return [
                self._make_order(rank, go, step=self._released_step) for rank in held
            ]
        if not _list_armed(reports):
            self._clear_target(now)
        return []

    def _release_early(self, reports: Reports, now: float) -> list[RankOrder]:
        """Releases a held pass while ranks are missing, if no rank can be armed.

        A missing rank then has the same map as all others, and the group need not wait
        for its host.
        """
        formed = {(report.group, report.epoch) for report in reports.values()}
        held = _list_held(reports)
        if not (held and self._is_unarmed and formed == {(self._group, self._epoch)}):
            return []
        self._target = None
        self._enter_phase(Phase.UNDOING, now)
        return [
            self._make_order(
                rank, maporders.MapOrderKind.GO, step=reports[rank].held_step
            )
            for rank in held
        ]

    # Helpers.

    def _adopt_epoch(self, reports: Reports, now: float) -> None:
        """Resets the state when the group was formed again, which voids all orders."""
        report = next(iter(reports.values()))
        if (report.group, report.epoch) == (self._group, self._epoch):
            return
        self._group, self._epoch = report.group, report.epoch
        self._answered_fences.clear()
        self._doubtful_fences.clear()
        self._released_step = NONE
        self._is_unarmed = False
        self._clear_target(now)

    def _is_in_doubt(self, rank: int) -> bool:
        """Tells whether an unanswered order may still be carried out."""
        return self._doubtful_fences.get(rank, NONE) > self._answered_fences.get(
            rank, NONE
        )

    def _is_unprepared(self, reports: Reports, target: Target) -> bool:
        return any(
            target.version not in (report.prepared_version, report.armed_version)
            for report in reports.values()
        )

    def _choose_disarm_version(self, report: maporders.EngineReport) -> int:
        if report.armed_version != NONE:
            return report.armed_version
        return max(self._highest_version, report.prepared_version, 0) + 1

    def _make_fencing_order(self, rank: int, reports: Reports) -> RankOrder:
        """Makes an order that only raises the rank's fence to this coordinator's."""
        version = max(self.allocate_version(reports), 1)
        return self._make_order(rank, maporders.MapOrderKind.DISARM, version=version)

    def _make_order(
        self,
        rank: int,
        kind: maporders.MapOrderKind,
        version: int = NONE,
        step: int = NONE,
        layers: tuple[maporders.LayerPlacement, ...] = (),
    ) -> RankOrder:
        self._fence += 1
        order = maporders.MapOrder(
            kind, self._epoch, self._fence, version, step, layers
        )
        return RankOrder(rank, order)

    def _clear_target(self, now: float) -> None:
        self._target = None
        self._enter_phase(Phase.IDLE, now)

    def _enter_phase(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._phase_since = now


def _is_complete(reports: Reports) -> bool:
    """Tells whether the reports cover every rank of one open group."""
    formed = {(report.group, report.epoch) for report in reports.values()}
    if len(formed) != 1 or not all(report.is_open for report in reports.values()):
        return False
    size = next(iter(reports.values())).size
    return set(reports) == set(range(size))


def _list_armed(reports: Reports) -> list[int]:
    return [rank for rank, report in reports.items() if report.armed_version != NONE]


def _list_held(reports: Reports) -> list[int]:
    return [rank for rank, report in reports.items() if report.held_step != NONE]


def _list_switches(reports: Reports) -> set[tuple[int, int]]:
    return {(report.armed_version, report.armed_step) for report in reports.values()}

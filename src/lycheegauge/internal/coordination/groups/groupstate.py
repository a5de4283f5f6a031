"""The state of one lock-step group during one coordinator's appointment."""

import collections.abc
import dataclasses
import math

from lycheegauge.internal.coordination.groups import (
    copytiming,
    demand,
    evensplit,
    mapswitch,
)
from lycheegauge.internal.protocol import maporders, routetables

HOLD_AHEAD_S = 0.3
"""Time until the pass that a switch holds is due, in seconds. Arming all ranks takes
about a third of it. A longer time would delay the switch for the whole group. With a
shorter one the group stops, and streams whose events are late because of that lose
more than a better map gains."""

HOLD_AHEAD_UNRELIABLE_S = 0.8
"""Replaces HOLD_AHEAD_S while engines leave orders unanswered. Each unanswered order
costs a time-out, a poll and another order. If one order in ten is lost, half of all
switches need two repeated orders."""

PACE_CHANGE_FACTOR = 1.5
"""If a rank's pace changed by this factor, a map planned before gives it far too much
or too little work and does more harm than good."""

HOLD_AHEAD_STEPS_MIN = 2
"""The next pass may begin before the order arrives, so it is not the one that is held,
unless passes are so long that a single one leaves enough time."""

HOLD_AHEAD_STEPS_MAX = 24

PASS_MEASURE_MIN_S = 0.2
"""Shortest time over which the duration of passes is measured, in seconds."""

PASS_MEASURE_MAX_S = 4.0
"""Longest such time. A group that was idle in between ran no passes."""

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

Reports = collections.abc.Mapping[int, maporders.EngineReport]


@dataclasses.dataclass(slots=True)
class GroupState:
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
    logged_phase_at: float
    placements: list[evensplit.Placement] = dataclasses.field(default_factory=list)
    version: int = 0
    step: int = 0
    step_at: float = 0.0
    pass_s: float = 0.0
    may_copy: bool = True
    unanswered_at: float = -math.inf
    plan_due_at: float = -math.inf
    poll_due_at: float = -math.inf
    logged_phase: mapswitch.Phase = mapswitch.Phase.IDLE
    planned_paces: list[float] = dataclasses.field(default_factory=list)
    target: list[evensplit.Placement] = dataclasses.field(default_factory=list)

    def update_pass_time(self, reports: Reports, now: float) -> None:
        """Updates the duration of passes; an idle group runs none."""
        step = max(report.step for report in reports.values())
        elapsed_s = now - self.step_at
        if step < self.step or elapsed_s >= PASS_MEASURE_MIN_S:
            if step > self.step and elapsed_s < PASS_MEASURE_MAX_S:
                self.pass_s = elapsed_s / (step - self.step)
            self.step, self.step_at = step, now

    def update_placements(
        self, reports: Reports, experts: routetables.ExpertLayout
    ) -> bool:
        """Updates the placement that is in force; returns whether it changed.

        A placement that another coordinator planned is read from the ranks.
        """
        versions = {report.map_version for report in reports.values()}
        if len(versions) != 1:
            return False
        (version,) = versions
        if version == self.version and self.placements:
            return False
        if version == 0:
            size = next(iter(reports.values())).size
            start = evensplit.place_round_robin(experts.experts, size)
            self.placements = [start] * experts.layers
        elif version == self.switch.target_version and self.target:
            self.placements = self.target
        else:
            self.placements = collect_placements(reports, experts)
            if not self.placements:
                return False
        self.version = version
        return True

    def make_target(self, reports: Reports) -> mapswitch.Target:
        """Numbers the planned map."""
        return mapswitch.Target(
            self.switch.allocate_version(reports),
            tuple(map(encode_placement, self.target)),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class GainLimits:
    """The gains that a switch must bring, as fractions of the slowest ranks' time.

    Attributes:
        total: The least gain of a switch.
        per_copy: The least gain for each copied expert.
    """

    total: float
    per_copy: float


def compute_gain_limits(
    pass_s: float, target_gap_s: float, may_copy: bool
) -> GainLimits:
    """Computes the gains that a switch must bring at a certain load.

    Args:
        pass_s: The duration of a pass, in seconds.
        target_gap_s: The longest pause between events that is on time, in seconds.
        may_copy: Whether experts can be copied without making streams late.
    """
    scale = math.pow(REFERENCE_PASS_FRACTION * target_gap_s / max(pass_s, 1e-3), 2)
    per_copy = REFERENCE_GAIN_PER_COPY * scale
    per_copy = min(GAIN_PER_COPY_MAX, max(GAIN_PER_COPY_MIN, per_copy))
    total = min(GAIN_MAX, max(GAIN_MIN, REFERENCE_GAIN * scale))
    if not may_copy:
        total = max(total, copytiming.URGENT_SWITCH_GAIN)
    return GainLimits(total, per_copy)


def encode_placement(placement: evensplit.Placement) -> maporders.LayerPlacement:
    """Converts a layer's placement to its message."""
    return maporders.LayerPlacement(
        tuple(maporders.RankExperts(held) for held in placement)
    )


def collect_placements(
    reports: Reports, experts: routetables.ExpertLayout
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


def sum_slowest_times(
    placements: collections.abc.Sequence[evensplit.Placement],
    loads: collections.abc.Sequence[collections.abc.Sequence[float]],
    paces: collections.abc.Sequence[float],
) -> float:
    """Sums the slowest rank's time over all layers."""
    return sum(
        evensplit.compute_slowest_time(placement, layer, paces)
        for placement, layer in zip(placements, loads, strict=True)
    )


def choose_hold_ahead_steps(
    hold_ahead_s: float, pass_s: float, single_pass_s: float = HOLD_AHEAD_S
) -> int:
    """Chooses how many passes ahead of the current one a switch holds a pass.

    Args:
        hold_ahead_s: The least time until the held pass is due, in seconds.
        pass_s: The duration of a pass, in seconds; 0 if unknown.
        single_pass_s: The duration from which on a single pass leaves enough time.
    """
    steps = math.ceil(hold_ahead_s / pass_s) if pass_s > 0.0 else HOLD_AHEAD_STEPS_MAX
    min_steps = 1 if pass_s >= single_pass_s else HOLD_AHEAD_STEPS_MIN
    return min(HOLD_AHEAD_STEPS_MAX, max(min_steps, steps))


def list_paces(reports: Reports) -> list[float]:
    """Lists the paces by rank."""
    return [reports[rank].pace for rank in sorted(reports)]


def have_paces_changed(
    planned: collections.abc.Sequence[float], paces: collections.abc.Sequence[float]
) -> bool:
    """Tells whether a map that was planned for certain paces is outdated."""
    if len(planned) != len(paces):
        return False
    return any(
        max(before, after) > PACE_CHANGE_FACTOR * min(before, after)
        for before, after in zip(planned, paces, strict=True)
    )

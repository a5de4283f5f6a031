"""Plans the next expert map of a group, weighing its gain against the time it takes.

A switch takes as long as the rank that copies the most experts, in all layers
together. Until it is done, passes are as slow as before, and a little slower because
of the copies. While demand shifts every few seconds, the best map would be in force
only when demand has moved on. So the search first allows each rank one copy, then
more, and the plan with the highest net gain within the horizon is taken.
"""

import collections.abc
import dataclasses

from lycheegauge.internal.coordination.groups import (
    copytiming,
    evensplit,
    splitting,
)

HORIZON_S = 3.5
"""Time for which demand is assumed to stay as it is, in seconds."""

SWITCH_OVERHEAD_S = 0.7
"""Time that a switch takes beside its copies, in seconds: polls, orders to all ranks
and the wait for the pass at which they switch."""

DEFAULT_COPY_S = 0.1
"""Used for engines that don't state how long copying an expert takes."""

COPIES_PER_RANK = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32)
"""Copies per rank for which plans are compared."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapPlan:
    """A map for all layers.

    Attributes:
        placements: The experts on each rank, by layer.
        slowest: The slowest ranks' time, summed over the layers.
        copies: Experts to copy, on all ranks.
        ready_s: Time until the map is in force, in seconds.
        value: The net gain within the horizon, as a fraction of the slowest ranks'
            time.
    """

    placements: list[evensplit.Placement]
    slowest: float
    copies: int
    ready_s: float
    value: float


def iterate_plans(
    placements: collections.abc.Sequence[evensplit.Placement],
    loads: collections.abc.Sequence[splitting.Numbers],
    paces: splitting.Numbers,
    limits: evensplit.PlacementBounds,
    copy_s: float,
) -> collections.abc.Iterator[MapPlan | None]:
    """Yields the best plan so far after each step of the search; ``None`` for none.

    The caller can do other work between two steps.

    Args:
        placements: The experts on each rank now, by layer.
        loads: Tokens of each expert, by layer.
        paces: Factor by which each rank is slower than usual.
        limits: Limits on the change of each layer.
        copy_s: Time that a rank takes to copy one expert, in seconds; 0 if unknown.
    """
    budget = evensplit.CopyBudget(len(paces), 0)
    searches = [
        evensplit.LayerSearch(placement, layer, paces, limits, budget)
        for placement, layer in zip(placements, loads, strict=True)
    ]
    before = sum(search.slowest for search in searches)
    best: MapPlan | None = None
    for copies_max in COPIES_PER_RANK:
        budget.copies_max = copies_max
        for _ in _improve_layers(searches):
            yield best
        plan = _weigh_plan(searches, budget, before, limits, copy_s or DEFAULT_COPY_S)
        if plan.value > (best.value if best else 0.0):
            best = plan
        yield best
        if plan.ready_s >= HORIZON_S or max(budget.copied) < copies_max:
            return


def _improve_layers(
    searches: collections.abc.Sequence[evensplit.LayerSearch],
) -> collections.abc.Iterator[None]:
    """Improves the most uneven layer, step by step, until none can be improved."""
    improvable = list(searches)
    while improvable:
        search = max(improvable, key=lambda item: item.excess)
        if not search.improve():
            improvable.remove(search)
        yield


def _weigh_plan(
    searches: collections.abc.Sequence[evensplit.LayerSearch],
    budget: evensplit.CopyBudget,
    before: float,
    limits: evensplit.PlacementBounds,
    copy_s: float,
) -> MapPlan:
    work = CopyWork(
        max(budget.copied) * copy_s,
        sum(search.count_copied() for search in searches),
        len(searches),
    )
    slowest = sum(search.slowest for search in searches)
    timing = Timing(SWITCH_OVERHEAD_S, HORIZON_S)
    plan = weigh_plan(before, slowest, work, limits.gain_per_copy, timing)
    placements = [search.get_placement() for search in searches]
    return dataclasses.replace(plan, placements=placements)


@dataclasses.dataclass(frozen=True, slots=True)
class CopyWork:
    """The copies that a map needs.

    Attributes:
        copying_s: Time of the rank that copies the most, in seconds.
        copies: Experts to copy, on all ranks.
        layers: The number of layers of the map.
    """

    copying_s: float
    copies: int
    layers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """What a plan's value depends on beside its copies.

    Attributes:
        overhead_s: Time that a switch takes beside its copies, in seconds.
        horizon_s: Time for which the plan counts, in seconds.
    """

    overhead_s: float
    horizon_s: float


def weigh_plan(
    before: float,
    slowest: float,
    work: CopyWork,
    gain_per_copy: float,
    timing: Timing,
) -> MapPlan:
    """Weighs a map's gain against the time of its copies; without placements.

    Args:
        before: The slowest ranks' time now, summed over the layers.
        slowest: The same with the new map.
        work: The copies that it needs.
        gain_per_copy: Gain that each copied expert must bring.
        timing: The time that a switch takes and for which the plan counts.
    """
    ready_s = timing.overhead_s + work.copying_s
    gain = (before - slowest) / before if before else 0.0
    value = (
        gain * max(0.0, 1.0 - ready_s / timing.horizon_s)
        - (copytiming.COPY_SLOWDOWN - 1.0) * work.copying_s / timing.horizon_s
        - gain_per_copy * work.copies / work.layers
    )
    return MapPlan([], slowest, work.copies, ready_s, value)

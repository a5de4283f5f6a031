import random
import statistics
import sys

import behave
from support import shiftingdemand

from lycheegauge.internal.coordination.groups import evensplit, mapplanning

SHIFTING_GROUPS = {
    "few ranks, large experts": shiftingdemand.GroupShape(
        12, 11, 96, 3, 4, copy_s=0.4, skew=1.3, common=0.75, shift_s=3.2
    ),
    "many layers, small experts": shiftingdemand.GroupShape(
        24, 5, 96, 8, 2, copy_s=0.15, skew=0.94, common=0.75, shift_s=3.3
    ),
}


@behave.then(
    "groups are more even with maps that are in force soon than with the best maps "
    "(demand shift)"
)
def check_maps_in_time(context):
    for name, shape in SHIFTING_GROUPS.items():
        for seed in (3, 4):
            whole = shiftingdemand.simulate(shape, shiftingdemand.plan_whole, seed)
            soon = shiftingdemand.simulate(shape, shiftingdemand.plan_in_time, seed)
            means = statistics.mean(whole), statistics.mean(soon)
            print(
                f"figure: slowest rank over mean, {name}: {means[1]:.2f} with maps "
                f"planned in time, {means[0]:.2f} with the best maps",
                file=sys.__stdout__,
            )
            assert means[1] < means[0], (name, seed, means)


def make_loads(source, experts=72, hot=4):
    loads = [source.uniform(0.5, 1.5) for _ in range(experts)]
    for expert in source.sample(range(experts), hot):
        loads[expert] += 20.0
    return loads


@behave.then("a plan copies no more than its time allows, within the limits of a layer")
def check_map_plans(context):
    source, paces = random.Random(9), [1.0] * 12
    limits = evensplit.PlacementBounds(8, 3, gain_per_copy=0.005)
    start = [evensplit.place_round_robin(72, 12)] * 3
    for copy_s in (0.0, 0.05, 0.4, 10.0):
        loads = [make_loads(source) for _ in range(3)]
        *_, plan = mapplanning.iterate_plans(start, loads, paces, limits, copy_s)
        if copy_s == 10.0:
            assert plan is None, "a map that is in force too late was planned"
            continue
        before = sum(
            evensplit.compute_slowest_time(placement, layer, paces)
            for placement, layer in zip(start, loads, strict=True)
        )
        copies = shiftingdemand.count_copies(start, plan.placements)
        assert plan.slowest < before and plan.value > 0.0
        assert plan.ready_s >= copies * copy_s
        assert plan.ready_s < mapplanning.HORIZON_S
        for old, new in zip(start, plan.placements, strict=True):
            for held, planned in zip(old, new, strict=True):
                assert len(planned) <= 8 and len(set(planned) - set(held)) <= 3
            assert {e for held in new for e in held} == set(range(72))

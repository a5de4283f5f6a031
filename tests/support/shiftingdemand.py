"""A simulated group whose experts' demand shifts every few seconds."""

import dataclasses
import random

from lycheegauge.internal.coordination.groups import (
    copytiming,
    evensplit,
    mapplanning,
)

TICK_S = 0.1
POLL_S = 0.4
OVERHEAD_S = 0.7
HALF_LIFE_S = 1.5
MIN_GAIN = 0.08
GAIN_PER_COPY = 0.005
TOPICS = 9


@dataclasses.dataclass(frozen=True)
class GroupShape:
    """A group and the experts' demand.

    Attributes:
        copy_s: Time to copy one expert to a rank, in seconds.
        skew: Exponent of the experts' popularity within a topic.
        common: Part of the demand that all topics share.
        shift_s: Time between two shifts of demand, in seconds.
    """

    ranks: int
    slots: int
    experts: int
    layers: int
    copies: int
    copy_s: float
    skew: float
    common: float
    shift_s: float


def make_demands(shape, source, count):
    """Returns the loads of each expert by shift and layer, which add up to 1."""
    popularity = [
        [make_popularity(shape, source) for _ in range(TOPICS + 1)]
        for _ in range(shape.layers)
    ]
    demands = []
    for _ in range(count):
        weights = [source.expovariate(1.0) ** 2 for _ in range(TOPICS)]
        total = sum(weights) / (1.0 - shape.common)
        weights = [shape.common] + [weight / total for weight in weights]
        demands.append(
            [
                [
                    sum(w * topic[e] for w, topic in zip(weights, topics, strict=True))
                    for e in range(shape.experts)
                ]
                for topics in popularity
            ]
        )
    return demands


def make_popularity(shape, source):
    ranking = list(range(shape.experts))
    source.shuffle(ranking)
    weights = [0.0] * shape.experts
    for position, expert in enumerate(ranking):
        weights[expert] = (position + 1) ** -shape.skew
    total = sum(weights)
    return [weight / total for weight in weights]


def plan_whole(placements, loads, paces, limits, copy_s):
    """Plans each layer by itself, whatever time the switch takes."""
    return [
        evensplit.plan_layer(placement, layer, paces, limits)
        for placement, layer in zip(placements, loads, strict=True)
    ]


def plan_in_time(placements, loads, paces, limits, copy_s):
    """Plans with regard to the time that the switch takes."""
    *_, plan = mapplanning.iterate_plans(placements, loads, paces, limits, copy_s)
    return plan.placements if plan is not None else placements


def simulate(shape, plan, seed, shifts=10):
    """Returns how many times the mean the slowest ranks take, at each tick.

    The first shift, which begins with the map that engines start with, is left out.
    """
    source = random.Random(seed)
    demands = make_demands(shape, source, shifts)
    limits = evensplit.PlacementBounds(shape.slots, shape.copies, GAIN_PER_COPY)
    paces = [1.0] * shape.ranks
    start = evensplit.place_round_robin(shape.experts, shape.ranks)
    placements = [start] * shape.layers
    known = [[0.0] * shape.experts for _ in range(shape.layers)]
    fade = 0.5 ** (TICK_S / HALF_LIFE_S)
    ready_at, target, poll_at, uneven = 0.0, None, 0.0, []
    for tick in range(int(shifts * shape.shift_s / TICK_S)):
        now = tick * TICK_S
        demand = demands[min(shifts - 1, int(now / shape.shift_s))]
        known = [
            [old * fade + new for old, new in zip(*layers, strict=True)]
            for layers in zip(known, demand, strict=True)
        ]
        if target is not None and now >= ready_at:
            placements, target = target, None
        if target is None and now >= poll_at:
            poll_at = now + POLL_S
            planned = plan(placements, known, paces, limits, shape.copy_s)
            before = sum_slowest(placements, known, paces)
            if sum_slowest(planned, known, paces) < before * (1.0 - MIN_GAIN):
                copying_s = shape.copy_s * count_copies(placements, planned)
                target, ready_at = planned, now + OVERHEAD_S + copying_s
        is_copying = target is not None and now < ready_at - OVERHEAD_S
        slowdown = copytiming.COPY_SLOWDOWN if is_copying else 1.0
        mean = sum(map(sum, demand)) / shape.ranks
        uneven.append(slowdown * sum_slowest(placements, demand, paces) / mean)
    return uneven[int(shape.shift_s / TICK_S) :]


def sum_slowest(placements, loads, paces):
    return sum(
        evensplit.compute_slowest_time(placement, layer, paces)
        for placement, layer in zip(placements, loads, strict=True)
    )


def count_copies(before, after):
    """Counts the copies of the rank that copies the most, over all layers."""
    ranks = len(before[0])
    return max(
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in range(ranks)
    )

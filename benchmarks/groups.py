"""Measures placement policies on seeded drifting traces, all in one run.

Each trace gives the tokens of each expert by review interval; reports of them
are late, noisy and partly lost. A change takes force one interval after its
review. Prints one line a trace, size and policy.
"""

import argparse
import dataclasses
import random
import statistics
import time

from lycheegauge.internal.coordination.groups import (
    layouts,
    loads,
    moves,
    placement,
    splitting,
)
from lycheegauge.internal.protocol import expertmaps

EXPERTS = 64
INTERVAL_S = 10.0
INTERVALS = 360
REPORTERS = 8  # ranks whose reports are drawn; the others say the same
REPORT_LOSS = 0.1
REPORT_LAG = 1  # intervals
BURST = 0.03  # relative noise of an expert's load that all ranks see
SAMPLING = 0.02  # relative noise of one rank's report
SLOTS = {8: 10, 32: 3, 128: 2}
TOKENS_S = 1.0e6
SLOW_SPEED = 0.6


@dataclasses.dataclass(frozen=True)
class Interval:
    """True loads (tokens/s by expert) and speeds (relative, by rank).

    ``expected`` are the loads without the burst noise of this one interval.
    """

    expected: tuple[float, ...]
    loads: tuple[float, ...]
    speeds: tuple[float, ...]


def make_base(draw):
    weights = [draw.lognormvariate(0.0, 0.7) for _ in range(EXPERTS)]
    return [TOKENS_S * weight / sum(weights) for weight in weights]


def make_burst(draw, base):
    return tuple(load * max(draw.gauss(1.0, BURST), 0.1) for load in base)


def blend(first, second, part):
    return [a + (b - a) * part for a, b in zip(first, second, strict=True)]


def make_trace(name, ranks, seed):
    draw = random.Random(f"{name}-{ranks}-{seed}")
    base, other = make_base(draw), make_base(draw)
    hot = draw.randrange(EXPERTS)
    slow = draw.randrange(ranks)
    trace = []
    for at in range(INTERVALS):
        part = at / INTERVALS
        speeds = [1.0] * ranks
        mixed = base
        if name == "quote run":  # shifts and back within 40 minutes
            mixed = blend(base, other, max(0.0, 1.0 - abs(2.0 * part - 1.0) * 1.5))
        elif name == "export season":  # shifts for good
            mixed = blend(base, other, min(1.0, part * 1.25))
        elif name == "hot expert" and part >= 0.3:
            mixed = list(base)
            mixed[hot] += 0.08 * TOKENS_S
        elif name == "straggler" and 0.3 <= part < 0.7:
            speeds[slow] = SLOW_SPEED
        trace.append(Interval(tuple(mixed), make_burst(draw, mixed), tuple(speeds)))
    return trace


TRACES = ("quote run", "export season", "hot expert", "straggler", "stationary")


@dataclasses.dataclass
class Tally:
    """What one policy did on one trace."""

    skews: list[float] = dataclasses.field(default_factory=list)
    excess: list[float] = dataclasses.field(default_factory=list)
    bytes_moved: int = 0
    moves: int = 0
    changes: int = 0
    stalled: float = 0.0
    plan_ms: list[float] = dataclasses.field(default_factory=list)


def feed(estimators, interval, draw, at):
    """Sends one interval's reports, some lost, to both estimators."""
    load_estimator, speed_estimator = estimators
    ranks = len(interval.speeds)
    for rank in range(min(REPORTERS, ranks)):
        if draw.random() < REPORT_LOSS:
            continue
        tokens = tuple(
            load / ranks * INTERVAL_S * max(draw.gauss(1.0, SAMPLING), 0.0)
            for load in interval.loads
        )
        report = expertmaps.ExpertLoad("group", rank, at, 0, tokens, INTERVAL_S)
        load_estimator.add_report(report, at * INTERVAL_S)
    for rank, speed in enumerate(interval.speeds):
        if draw.random() >= REPORT_LOSS:
            seconds = 1.0 / (speed * max(draw.gauss(1.0, SAMPLING), 0.1))
            speed_estimator.add_timing(rank, 1.0, seconds)


def run_policy(policy, trace, settings, seed, time_constant_s):
    draw = random.Random(seed)
    ranks = len(trace[0].speeds)
    load_settings = loads.LoadSettings(time_constant_s)
    estimators = (
        loads.LoadEstimator(1, EXPERTS, ranks, load_settings),
        loads.SpeedEstimator(ranks),
    )
    planner = placement.Planner(policy, settings)
    tally = Tally()
    first = moves.place_from_scratch(trace[0].expected, trace[0].speeds, settings.slots)
    current = layouts.build_map("group", 1, [first])
    pending = None
    for at, interval in enumerate(trace):
        if pending is not None:
            current, pending = pending, None
        record(tally, current, interval)
        if at >= REPORT_LAG:
            feed(estimators, trace[at - REPORT_LAG], draw, at)
        if at < 3:
            continue
        known = estimators[0].get_loads(0)
        begun = time.perf_counter()
        change = planner.plan(current, [known], estimators[1].get_speeds())
        tally.plan_ms.append((time.perf_counter() - begun) * 1000.0)
        if change is not None:
            pending = change.expert_map
            tally.changes += 1
            tally.bytes_moved += change.report.bytes_to_move
            tally.moves += change.report.moves
            tally.stalled += change.report.stalled_steps
    return tally


def record(tally, current, interval):
    layout = layouts.extract_layouts(current, 1)[0]
    times = layout.compute_times(interval.loads, interval.speeds)
    even = sum(interval.loads) / sum(interval.speeds)
    tally.skews.append(splitting.compute_skew(times))
    tally.excess.append(max(times) / even)


def find_best(trace, settings):
    """What can be had: each interval from scratch, by its expected loads, free."""
    excess = []
    for interval in trace[::10]:
        layout = moves.place_from_scratch(
            interval.expected, interval.speeds, settings.slots
        )
        times = layout.compute_times(interval.loads, interval.speeds)
        excess.append(max(times) * sum(interval.speeds) / sum(interval.loads))
    return statistics.mean(excess)


def print_line(trace, ranks, policy, tallies, best):
    skews = sorted(skew for tally in tallies for skew in tally.skews)
    excess = statistics.mean(e for tally in tallies for e in tally.excess)
    plan_ms = sorted(ms for tally in tallies for ms in tally.plan_ms)
    print(
        f"{trace:14} {ranks:4} {policy:9} "
        f"{statistics.mean(skews):6.3f} {skews[len(skews) // 2]:6.3f} "
        f"{skews[int(len(skews) * 0.99)]:6.3f} {excess:6.3f} {best:6.3f} "
        f"{sum(tally.bytes_moved for tally in tallies) / 1e9 / len(tallies):9.1f} "
        f"{sum(tally.moves for tally in tallies) / len(tallies):7.1f} "
        f"{sum(tally.changes for tally in tallies) / len(tallies):6.1f} "
        f"{sum(tally.stalled for tally in tallies) / len(tallies):9.0f} "
        f"{plan_ms[len(plan_ms) // 2]:6.1f} {plan_ms[-1]:6.1f}",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ranks", type=int, nargs="+", default=[8, 32, 128])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--traces", nargs="+", default=list(TRACES))
    parser.add_argument("--policies", nargs="+", default=None)
    parser.add_argument("--horizon", type=float, default=30.0)
    parser.add_argument("--set", nargs="*", default=[], metavar="NAME=VALUE")
    chosen = parser.parse_args()
    policies = chosen.policies or placement.list_policies()
    print("skew is max/mean rank time; fluid is step time over the fluid bound;")
    print("best is fluid when placed from scratch by expected loads, free; one layer")
    print(
        f"{'trace':14} {'rank':>4} {'policy':9} {'skew':>6} {'p50':>6} {'p99':>6} "
        f"{'fluid':>6} {'best':>6} {'GB moved':>9} {'moves':>7} {'maps':>6} "
        f"{'stalled':>9} {'ms p50':>6} {'max':>6}"
    )
    for ranks in chosen.ranks:
        given = dict(item.split("=") for item in chosen.set)
        values = {
            name: type(getattr(placement.PlacementSettings(1), name))(value)
            for name, value in given.items()
        }
        settings = placement.PlacementSettings(**{"slots": SLOTS[ranks], **values})
        for name in chosen.traces:
            traces = [make_trace(name, ranks, seed) for seed in range(chosen.seeds)]
            best = statistics.mean(find_best(trace, settings) for trace in traces)
            for policy in policies:
                tallies = [
                    run_policy(policy, trace, settings, seed, chosen.horizon)
                    for seed, trace in enumerate(traces)
                ]
                print_line(name, ranks, policy, tallies, best)


if __name__ == "__main__":
    main()

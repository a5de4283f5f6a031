"""Compares placement policies on seeded traces of drifting expert load.

Each trace gives the load of each expert for each review interval; reports of it
are late, noisy and partly lost. A change takes effect one interval after its
review. Prints one line for each trace, group size and policy.
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
REPORTERS = 8  # ranks whose reports are simulated; the others would report the same
REPORT_LOSS = 0.1
REPORT_LAG = 1  # intervals
BURST_NOISE = 0.03  # relative noise of an expert's load, the same for all ranks
SAMPLING_NOISE = 0.02  # relative noise of a single rank's report
SLOTS = {8: 10, 32: 3, 128: 2}
TOKENS_PER_S = 1.0e6
SLOW_SPEED = 0.6


@dataclasses.dataclass(frozen=True)
class Interval:
    """True loads (tokens/s by expert) and speeds (relative, by rank).

    ``expected`` holds the loads without the burst noise of this interval.
    """

    expected: tuple[float, ...]
    loads: tuple[float, ...]
    speeds: tuple[float, ...]


def make_base_loads(rng):
    weights = [rng.lognormvariate(0.0, 0.7) for _ in range(EXPERTS)]
    return [TOKENS_PER_S * weight / sum(weights) for weight in weights]


def make_burst(rng, base):
    return tuple(load * max(rng.gauss(1.0, BURST_NOISE), 0.1) for load in base)


def interpolate(first, second, fraction):
    return [a + (b - a) * fraction for a, b in zip(first, second, strict=True)]


def make_trace(name, ranks, seed):
    rng = random.Random(f"{name}-{ranks}-{seed}")
    base, other = make_base_loads(rng), make_base_loads(rng)
    hot = rng.randrange(EXPERTS)
    slow = rng.randrange(ranks)
    trace = []
    for at in range(INTERVALS):
        progress = at / INTERVALS
        speeds = [1.0] * ranks
        mixed = base
        if name == "quote run":  # the load shifts and returns within 40 minutes
            mixed = interpolate(
                base, other, max(0.0, 1.0 - abs(2.0 * progress - 1.0) * 1.5)
            )
        elif name == "export season":  # the load shifts permanently
            mixed = interpolate(base, other, min(1.0, progress * 1.25))
        elif name == "hot expert" and progress >= 0.3:
            mixed = list(base)
            mixed[hot] += 0.08 * TOKENS_PER_S
        elif name == "straggler" and 0.3 <= progress < 0.7:
            speeds[slow] = SLOW_SPEED
        trace.append(Interval(tuple(mixed), make_burst(rng, mixed), tuple(speeds)))
    return trace


TRACES = ("quote run", "export season", "hot expert", "straggler", "stationary")


@dataclasses.dataclass
class PolicyResult:
    """The results of one policy on one trace."""

    skews: list[float] = dataclasses.field(default_factory=list)
    excess: list[float] = dataclasses.field(default_factory=list)
    bytes_moved: int = 0
    moves: int = 0
    changes: int = 0
    stalled: float = 0.0
    plan_ms: list[float] = dataclasses.field(default_factory=list)


def add_reports(estimators, interval, rng, at):
    """Feeds the reports of one interval, some of them lost, to both estimators."""
    load_estimator, speed_estimator = estimators
    ranks = len(interval.speeds)
    for rank in range(min(REPORTERS, ranks)):
        if rng.random() < REPORT_LOSS:
            continue
        tokens = tuple(
            load / ranks * INTERVAL_S * max(rng.gauss(1.0, SAMPLING_NOISE), 0.0)
            for load in interval.loads
        )
        report = expertmaps.ExpertLoad("group", rank, at, 0, tokens, INTERVAL_S)
        load_estimator.add_report(report, at * INTERVAL_S)
    for rank, speed in enumerate(interval.speeds):
        if rng.random() >= REPORT_LOSS:
            seconds = 1.0 / (speed * max(rng.gauss(1.0, SAMPLING_NOISE), 0.1))
            speed_estimator.add_timing(rank, 1.0, seconds)


def run_policy(policy, trace, settings, seed, time_constant_s):
    rng = random.Random(seed)
    ranks = len(trace[0].speeds)
    load_settings = loads.LoadSettings(time_constant_s)
    estimators = (
        loads.LoadEstimator(1, EXPERTS, ranks, load_settings),
        loads.SpeedEstimator(ranks),
    )
    planner = placement.Planner(policy, settings)
    result = PolicyResult()
    first = moves.place_from_scratch(trace[0].expected, trace[0].speeds, settings.slots)
    current = layouts.build_map("group", 1, [first])
    pending = None
    for at, interval in enumerate(trace):
        if pending is not None:
            current, pending = pending, None
        record_interval(result, current, interval)
        if at >= REPORT_LAG:
            add_reports(estimators, trace[at - REPORT_LAG], rng, at)
        if at < 3:
            continue
        known = estimators[0].get_loads(0)
        started_at = time.perf_counter()
        change = planner.plan(current, [known], estimators[1].get_speeds())
        result.plan_ms.append((time.perf_counter() - started_at) * 1000.0)
        if change is not None:
            pending = change.expert_map
            result.changes += 1
            result.bytes_moved += change.report.bytes_to_move
            result.moves += change.report.moves
            result.stalled += change.report.stalled_steps
    return result


def record_interval(result, current, interval):
    layout = layouts.extract_layouts(current, 1)[0]
    times = layout.compute_times(interval.loads, interval.speeds)
    lower_bound = sum(interval.loads) / sum(interval.speeds)
    result.skews.append(splitting.compute_skew(times))
    result.excess.append(max(times) / lower_bound)


def compute_reference_excess(trace, settings):
    """Returns the excess of an ideal policy, the reference for all others.

    It places the experts from scratch in each interval, by the expected loads, and
    moving experts costs nothing.
    """
    excess = []
    for interval in trace[::10]:
        layout = moves.place_from_scratch(
            interval.expected, interval.speeds, settings.slots
        )
        times = layout.compute_times(interval.loads, interval.speeds)
        excess.append(max(times) * sum(interval.speeds) / sum(interval.loads))
    return statistics.mean(excess)


def print_line(trace, ranks, policy, results, best):
    skews = sorted(skew for result in results for skew in result.skews)
    excess = statistics.mean(e for result in results for e in result.excess)
    plan_ms = sorted(ms for result in results for ms in result.plan_ms)
    print(
        f"{trace:14} {ranks:4} {policy:9} "
        f"{statistics.mean(skews):6.3f} {skews[len(skews) // 2]:6.3f} "
        f"{skews[int(len(skews) * 0.99)]:6.3f} {excess:6.3f} {best:6.3f} "
        f"{sum(result.bytes_moved for result in results) / 1e9 / len(results):9.1f} "
        f"{sum(result.moves for result in results) / len(results):7.1f} "
        f"{sum(result.changes for result in results) / len(results):6.1f} "
        f"{sum(result.stalled for result in results) / len(results):9.0f} "
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
    options = parser.parse_args()
    policies = options.policies or placement.list_policies()
    print("skew is max/mean rank time; fluid is step time over its lower bound with")
    print("divisible load; best is fluid for free placement from scratch; one layer")
    print(
        f"{'trace':14} {'rank':>4} {'policy':9} {'skew':>6} {'p50':>6} {'p99':>6} "
        f"{'fluid':>6} {'best':>6} {'GB moved':>9} {'moves':>7} {'maps':>6} "
        f"{'stalled':>9} {'ms p50':>6} {'max':>6}"
    )
    for ranks in options.ranks:
        overrides = dict(item.split("=") for item in options.set)
        values = {
            name: type(getattr(placement.PlacementSettings(1), name))(value)
            for name, value in overrides.items()
        }
        settings = placement.PlacementSettings(**{"slots": SLOTS[ranks], **values})
        for name in options.traces:
            traces = [make_trace(name, ranks, seed) for seed in range(options.seeds)]
            best = statistics.mean(
                compute_reference_excess(trace, settings) for trace in traces
            )
            for policy in policies:
                results = [
                    run_policy(policy, trace, settings, seed, options.horizon)
                    for seed, trace in enumerate(traces)
                ]
                print_line(name, ranks, policy, results, best)


if __name__ == "__main__":
    main()

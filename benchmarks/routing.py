"""Simulates routing and queueing on a seeded trace of arrivals.

    python benchmarks/routing.py latency|overload|zone|cost|all [--seed N]
        [--report-lag SECONDS]

Nine entry hosts send to twelve servers of 8 slots in three availability zones.
Load reports lag by 0.5 s unless ``--report-lag`` is given, cache events by 0.5 s,
and one cache event in ten is lost.
"""

import argparse
import collections
import dataclasses
import random
import statistics
import time

import routingfakes as fakes

from lycheegauge.internal.coordination import policies, routing
from lycheegauge.internal.protocol import freshness, work

ENTRY_HOSTS = 9
SERVERS = 12
CAPACITY = 8
PREFIXES = 40
PREFIX_BLOCKS = 16
DEADLINE_S = 10.0
ORGANISATIONS = {"org-0": 6, "org-1": 4, "org-2": 3} | {
    f"org-{number}": 1 for number in range(3, 10)
}
UNSHARED_TOKENS = 100
MEAN_TOKENS = 40
# FULL_RATE is the throughput with all slots busy and all prefixes cached: an upper
# bound, in requests a second.
SERVICE_S = UNSHARED_TOKENS / fakes.PREFILL_TOKENS_PER_S + MEAN_TOKENS * fakes.TOKEN_S
FULL_RATE = SERVERS * CAPACITY / (SERVICE_S * (2.0 - 1.0 / CAPACITY))


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of the trace; ``entry`` is the index of the host it arrives at."""

    at: float
    entry: int
    request: work.Request
    tokens: int


def make_trace(rate, duration_s, seed, weights=None):
    """Draws arrivals, each with an organisation, a shared prompt prefix and length."""
    source = random.Random(seed)
    weights = weights or ORGANISATIONS
    popularity = [1.0 / (rank + 1) for rank in range(PREFIXES)]
    trace, now = [], 0.0
    while (now := now + source.expovariate(rate)) < duration_s:
        organisation = source.choices(list(weights), list(weights.values()))[0]
        prefix = source.choices(range(PREFIXES), popularity)[0]
        blocks = tuple(f"p{prefix}-{number}" for number in range(PREFIX_BLOCKS))
        request = work.Request(
            f"r{len(trace)}",
            organisation,
            fakes.SERVICE,
            b"",
            "",
            DEADLINE_S,
            prefix_blocks=blocks,
            prompt_tokens=PREFIX_BLOCKS * fakes.BLOCK_TOKENS + UNSHARED_TOKENS,
        )
        tokens = 10 + int(source.expovariate(1.0 / (MEAN_TOKENS - 10)))
        trace.append(Arrival(now, source.randrange(ENTRY_HOSTS), request, tokens))
    return trace


class Simulation:
    """A simulation of one policy on one trace."""

    def __init__(self, policy, trace, seed, slow=(), cold=()):
        self.clock = fakes.Clock()
        self.servers = [
            fakes.SimulatedServer(
                self.clock,
                index,
                CAPACITY,
                3.0 if index in slow else 1.0,
                index in cold,
            )
            for index in range(SERVERS)
        ]
        self.records = {}
        self.entries = [
            fakes.SimulatedEntryHost(
                self.clock, index, policy, self.servers, self.records, seed
            )
            for index in range(ENTRY_HOSTS)
        ]
        for entry in self.entries:
            entry.peers = self.entries
        for arrival in trace:
            request = arrival.request
            self.records[request.request_id] = fakes.RequestRecord(
                request.organisation, arrival.at, arrival.tokens
            )
            self.clock.after(arrival.at, self.entries[arrival.entry].arrive, request)

    def run_until(self, until):
        """Runs up to the time ``until`` and returns the record of each request."""
        self.clock.run(until)
        return list(self.records.values())


def percentile(values, fraction):
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )


def list_first_token_s(records):
    return [
        record.first_token_at - record.arrived_at
        for record in records
        if not record.refused and record.ended_at >= 0
    ]


def print_latency(name, run, records, extra=""):
    first = list_first_token_s(records)
    refused = collections.Counter(r.refused for r in records if r.refused)
    agent = sum((entry.retries for entry in run.entries), collections.Counter())
    print(
        f"{name:32} n={len(records):5} p50 {percentile(first, 0.5):.3f}"
        f" p95 {percentile(first, 0.95):.3f} p99 {percentile(first, 0.99):.3f} s,"
        f" refused {dict(refused)}, agents refused {dict(agent)} {extra}",
        flush=True,
    )


def measure_latency(seed):
    print(f"first token by policy, {ENTRY_HOSTS} entry hosts, {SERVERS} servers")
    cases = (
        ("even", 0.6, (), ()),
        ("one slow x3, one cold", 0.6, (3,), (7,)),
        ("one slow x3, one cold", 0.8, (3,), (7,)),
    )
    for title, load_fraction, slow, cold in cases:
        trace = make_trace(load_fraction * FULL_RATE, 60.0, seed)
        for policy in policies.policies:
            run = Simulation(policy, trace, seed, slow, cold)
            records = run.run_until(120.0)
            print_latency(f"{title} {load_fraction} {policy}", run, records)


def measure_overload(seed):
    print("overload: 1.2 times capacity for 60 s, then one flooding organisation")
    flood = {name: 1 for name in ORGANISATIONS} | {"org-0": 30}
    for title, load_fraction, weights in (
        ("capacity 1.0", 1.0, None),
        ("overload 1.2", 1.2, None),
        ("flood 1.2", 1.2, flood),
    ):
        trace = make_trace(load_fraction * FULL_RATE, 60.0, seed, weights)
        for policy in policies.policies:
            run = Simulation(policy, trace, seed)
            records = run.run_until(120.0)
            print_latency(f"{title} {policy}", run, records, describe(records))


def describe(records):
    done = [record for record in records if not record.refused]
    given_up = [r.ended_at - r.arrived_at for r in records if r.refused]
    lost = sum(record.ended_at < 0 for record in records)
    offered = collections.Counter(record.organisation for record in records)
    served = collections.Counter(record.organisation for record in done)
    fair = divide_fairly(len(done), offered)
    served_shares = [served[name] / fair[name] for name in offered]
    index = sum(served_shares) ** 2 / (
        len(served_shares) * sum(share**2 for share in served_shares)
    )
    in_time = [r for r in done if r.ended_at - r.arrived_at <= DEADLINE_S]
    return (
        f"\n      goodput {len(in_time) / 60.0:.1f}/s of {len(records) / 60.0:.1f}/s,"
        f" fairness {index:.3f}, least served {min(served_shares):.2f}, given up after"
        f" p50 {percentile(given_up, 0.5):.2f} max {max(given_up, default=0):.2f} s,"
        f" attempts a request {sum(r.attempts for r in records) / len(records):.3f},"
        f" lost {lost}"
    )


def divide_fairly(total, offered):
    """Returns the max-min fair division of ``total`` with equal weights."""
    fair, left = {}, float(total)
    for place, name in enumerate(sorted(offered, key=offered.get)):
        fair[name] = min(offered[name], left / (len(offered) - place))
        left -= fair[name]
    return fair


def measure_zone(seed):
    print("an availability zone leaves at 20 s and returns cold at 50 s")
    for load_fraction in (0.5, 0.6):
        trace = make_trace(load_fraction * FULL_RATE, 80.0, seed)
        for policy in policies.policies:
            run = Simulation(policy, trace, seed)
            plan_zone_change(run, "zone-b", 20.0, 50.0, random.Random(seed))
            records = run.run_until(140.0)
            print_latency(
                f"zone {load_fraction} {policy}", run, records, describe(records)
            )
            for title, first, last in (
                ("before", 10, 20),
                ("leaving", 20, 25),
                ("away", 25, 50),
                ("returning", 50, 60),
                ("after", 60, 80),
            ):
                chosen = [r for r in records if first <= r.arrived_at < last]
                values = list_first_token_s(chosen)
                slow = sum(value > 0.86 for value in values)
                refused = sum(bool(r.refused) for r in chosen)
                print(
                    f"      {title:10} p95 {percentile(values, 0.95):.3f} s,"
                    f" slowed over 0.86 s {slow}, refused {refused} of {len(chosen)}"
                )


def plan_zone_change(run, zone, leaves_at, returns_at, source):
    """Schedules a zone's removal and return; hosts and agents learn within 1.5 s."""
    for server in run.servers:
        if server.zone == zone:
            learnt = source.uniform(0.0, 1.5)
            run.clock.after(leaves_at + learnt, setattr, server, "is_zone_out", True)
            run.clock.after(returns_at, server.restart)
            learnt = source.uniform(0.0, 1.5)
            run.clock.after(returns_at + learnt, setattr, server, "is_zone_out", False)
    for entry in run.entries:
        learnt = source.uniform(0.0, 1.5)
        run.clock.after(leaves_at + learnt, entry.set_zones_out, (zone,))
        learnt = source.uniform(0.0, 1.5)
        run.clock.after(returns_at + learnt, entry.set_zones_out, ())


def measure_cost(seed):
    print("processor time of one choose + note_sent + apply_load_report + note_done")
    for policy in policies.policies:
        for count in (12, 120, 1100):
            spent = time_decision(policy, count)
            print(f"{policy:16} {count:5} servers {spent:7.1f} us")


def time_decision(policy, count, rounds=2000):
    source = random.Random(1)
    router = routing.Router(policy, "zone-a", source)
    servers = [
        freshness.BackendServer(
            f"s{n}", "", fakes.ZONES[n % 3], fakes.SERVICE, "1", "b", 8, "fake"
        )
        for n in range(count)
    ]
    router.set_backend_servers(servers)
    trace = make_trace(100.0, rounds / 100.0 + 20.0, 1)
    for server in servers:
        report = work.LoadReport(server.name, "1", "b", 3, 0, 8, 5.0, 0.5)
        router.apply_load_report(report, 0.0)
    samples = []
    for _ in range(5):
        began_at = time.process_time()
        for number in range(rounds // 5):
            request, now = trace[number].request, number * 0.001
            name = router.choose(request, frozenset(), now).backend_server.name
            router.note_sent(name, request, now)
            report = work.LoadReport(name, "1", "b", 3, 0, 8, 5.0, 0.5)
            router.apply_load_report(report, now)
            router.note_done(name, request, 0.2, now)
        samples.append((time.process_time() - began_at) / (rounds // 5) * 1e6)
    return statistics.median(samples)


MEASUREMENTS = {
    "latency": measure_latency,
    "overload": measure_overload,
    "zone": measure_zone,
    "cost": measure_cost,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("measurement", choices=[*MEASUREMENTS, "all"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report-lag", type=float, default=fakes.REPORT_LAG_S)
    arguments = parser.parse_args()
    fakes.REPORT_LAG_S = arguments.report_lag
    for name, measure in MEASUREMENTS.items():
        if arguments.measurement in (name, "all"):
            measure(arguments.seed)


if __name__ == "__main__":
    main()

import sys

import behave
import hypothesis
from hypothesis import strategies
from support import agreement

FAULTS = strategies.builds(
    agreement.Faults,
    loss=strategies.sampled_from([0.0, 0.05, 0.3]),
    duplication=strategies.sampled_from([0.0, 0.3]),
    delay_s=strategies.sampled_from([0.01, 0.2, 1.5]),
    sync_s=strategies.sampled_from([0.01, 0.3, 2.0]),
    crash=strategies.sampled_from([0.0, 0.005, 0.03]),
    stall=strategies.sampled_from([0.0, 0.005, 0.02]),
    isolated=strategies.frozensets(strategies.integers(0, 6), max_size=2),
)
# The input is a seed and few numbers; shrinking them takes minutes to no benefit.
WITHOUT_SHRINKING = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
WARM_UP_STEPS = 80
PHASES = strategies.lists(
    strategies.tuples(FAULTS, strategies.integers(50, 400)), min_size=2, max_size=6
)


@behave.then(
    "{count:d} log voters equal a single copy under loss, duplication, "
    "delay and crashes"
)
def check_copy(context, count):
    compare(count, spares=0)


@behave.then(
    "{count:d} log voters with membership changes equal a single copy under "
    "loss, duplication, delay and crashes"
)
def check_changing_copy(context, count):
    compare(count, spares=2)


def compare(count, spares):
    totals = {"committed": 0, "acknowledged": 0, "memberships": 0, "runs": 0}

    @hypothesis.settings(max_examples=100, phases=WITHOUT_SHRINKING)
    @hypothesis.given(PHASES, strategies.integers(0, 2**32))
    def check(phases, seed):
        cluster = agreement.Cluster(count, spares, seed)
        cluster.changes_membership = spares > 0
        cluster.run(agreement.Faults(), WARM_UP_STEPS)
        for faults, steps in phases:
            cluster.run(faults, steps)
        cluster.heal()
        totals["runs"] += 1
        totals["committed"] += len(cluster.reference.entries)
        totals["acknowledged"] += len(cluster.reference.acknowledged)
        totals["memberships"] += cluster.reference.count_memberships()

    check()
    print(
        f"figure: {count} voters and {spares} spares against a single copy: {totals}",
        file=sys.__stdout__,
    )

import behave
import hypothesis
import numpy as np
from hypothesis import strategies
from scipy import optimize

from lycheegauge.internal.coordination.groups import splitting

RELATIVE = 2e-6


def solve_program(holders, loads, speeds):
    """Returns the minimal slowest rank time, by scipy's linear program solver."""
    pairs = [(expert, rank) for expert, ranks in enumerate(holders) for rank in ranks]
    count = len(pairs)
    upper = np.zeros((len(speeds), count + 1))
    equal = np.zeros((len(loads), count + 1))
    for column, (expert, rank) in enumerate(pairs):
        upper[rank, column] = loads[expert] / speeds[rank]
        equal[expert, column] = 1.0
    upper[:, count] = -1.0
    cost = np.zeros(count + 1)
    cost[count] = 1.0
    solved = optimize.linprog(
        cost, upper, np.zeros(len(speeds)), equal, np.ones(len(loads)), method="highs"
    )
    return solved.fun


@strategies.composite
def draw_problem(draw):
    ranks = draw(strategies.integers(1, 8))
    experts = draw(strategies.integers(1, 12))
    holder_sets = strategies.sets(strategies.integers(0, ranks - 1), min_size=1)
    holders = [sorted(draw(holder_sets)) for _ in range(experts)]
    loads = draw(
        strategies.lists(
            strategies.one_of(strategies.just(0.0), strategies.floats(0.01, 1000.0)),
            min_size=experts,
            max_size=experts,
        )
    )
    speeds = draw(
        strategies.lists(strategies.floats(0.1, 4.0), min_size=ranks, max_size=ranks)
    )
    return holders, loads, speeds


@behave.then("group splits are as good as those of the linear program")
def check_against_program(context):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(draw_problem())
    def check(problem):
        holders, loads, speeds = problem
        split = splitting.find_split(holders, loads, speeds)
        best = solve_program(holders, loads, speeds)
        assert split.slowest <= best * (1 + RELATIVE) + 1e-9
        assert split.bound <= best * (1 + RELATIVE) + 1e-9
        times = splitting.compute_times(holders, split.fractions, loads, speeds)
        assert np.allclose(times, split.rank_times, atol=1e-6)
        for parts in split.fractions:
            assert min(parts) >= -1e-12
            assert abs(sum(parts) - 1.0) < 1e-9

    check()


@behave.then("a group's split gives a rank of half speed half the tokens")
def check_straggler(context):
    holders = [[0, 1], [0, 1]]
    split = splitting.find_split(holders, [60.0, 30.0], [1.0, 0.5])
    assert np.allclose(split.rank_times, [60.0, 60.0], rtol=1e-5)
    assert len(splitting.find_pools(holders, split)) == 1

"""Placement for engines that split an expert's tokens evenly over its replicas.

In each layer, a pass takes as long as its slowest rank. A local search starts from the
present placement. It adds replicas where a slot is free or where a replica that other
ranks also hold can be dropped, and exchanges experts between ranks, as long as this
makes the slowest rank faster. Each rank may copy only a few experts in one change,
which bounds the search.
"""

import collections
import collections.abc
import dataclasses
import itertools
import math
import typing

from lycheegauge.internal.coordination.groups import splitting

MIN_STEP_GAIN = 1e-3
"""Minimum fraction by which a search step must make the slowest rank faster."""

MAX_RECEIVERS_TRIED = 4
"""Number of least loaded ranks that are tried for each replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementBounds:
    """Limits on the change of one layer.

    Attributes:
        slots: Experts of a layer that fit on a rank.
        copies: Experts of a layer that a rank may copy in one change.
        gain_per_copy: The fraction by which the slowest rank must become faster
            for each copied expert.
    """

    slots: int
    copies: int
    gain_per_copy: float = 0.0


class CopyBudget:
    """Limits the experts that each rank copies in all layers together.

    Args:
        ranks: The number of ranks.
        copies_max: Experts that a rank may copy.
    """

    def __init__(self, ranks: int, copies_max: float = math.inf) -> None:
        self.copies_max = copies_max
        self.copied = [0] * ranks

    def has_room(self, rank: int) -> bool:
        """Returns whether a rank may copy another expert."""
        return self.copied[rank] < self.copies_max


Placement: typing.TypeAlias = tuple[tuple[int, ...], ...]
"""The experts of one layer on each rank."""


def place_round_robin(experts: int, ranks: int) -> Placement:
    """Returns the placement that engines start with: experts round-robin."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def compute_slowest_time(
    placement: Placement, loads: splitting.Numbers, paces: splitting.Numbers
) -> float:
    """Computes the slowest rank's time for one layer."""
    copies = _count_replicas(placement, len(loads))
    return max(
        pace * sum(loads[expert] / copies[expert] for expert in experts)
        for experts, pace in zip(placement, paces, strict=True)
    )


def plan_layer(
    placement: Placement,
    loads: splitting.Numbers,
    paces: splitting.Numbers,
    bounds: PlacementBounds,
) -> Placement:
    """Returns a better placement of one layer, or the present one if none is found.

    Args:
        placement: The experts that each rank holds now.
        loads: Tokens of each expert.
        paces: Factor by which each rank is slower than usual.
        bounds: Limits on the change.
    """
    return [placement, *iterate_plans(placement, loads, paces, bounds)][-1]


def iterate_plans(
    placement: Placement,
    loads: splitting.Numbers,
    paces: splitting.Numbers,
    bounds: PlacementBounds,
) -> collections.abc.Iterator[Placement]:
    """Yields the best placement of one layer so far after each step of the search.

    The caller can do other work between two steps. Takes the arguments of
    ``plan_layer``.
    """
    search = LayerSearch(placement, loads, paces, bounds)
    start = search.slowest
    best, most = placement, 0.0
    while search.improve():
        gain = (start - search.slowest) / start
        net = gain - bounds.gain_per_copy * search.count_copied()
        if net > most:
            best, most = search.get_placement(), net
        yield best


def count_copied_experts(before: Placement, after: Placement) -> int:
    """Counts the experts that ranks must copy for the change."""
    return sum(len(set(new) - set(old)) for old, new in zip(before, after, strict=True))


class LayerSearch:
    """A local search that improves a placement step by step.

    Args:
        placement: The experts that each rank holds now.
        loads: Tokens of each expert.
        paces: Factor by which each rank is slower than usual.
        bounds: Limits on the change.
        budget: Limits the copies of all layers; by default they are not limited.
    """

    def __init__(
        self,
        placement: Placement,
        loads: splitting.Numbers,
        paces: splitting.Numbers,
        bounds: PlacementBounds,
        budget: CopyBudget | None = None,
    ) -> None:
        self._budget = budget or CopyBudget(len(placement))
        self._before = [frozenset(experts) for experts in placement]
        self._held = [set(experts) for experts in placement]
        self._loads = loads
        self._paces = paces
        self._bounds = bounds
        self._holders: list[set[int]] = [set() for _ in loads]
        for rank, experts in enumerate(placement):
            for expert in experts:
                self._holders[expert].add(rank)
        self._times = [self._compute_time(rank) for rank in range(len(placement))]

    @property
    def slowest(self) -> float:
        """The slowest rank's time."""
        return max(self._times)

    @property
    def excess(self) -> float:
        """How much longer the slowest rank's time is than the mean."""
        return self.slowest - sum(self._times) / len(self._times)

    def count_copied(self) -> int:
        """Counts the experts to copy for the placement reached so far."""
        return sum(
            len(held - before)
            for held, before in zip(self._held, self._before, strict=True)
        )

    def get_placement(self) -> Placement:
        """Returns the placement reached, with each rank's experts sorted."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    def improve(self) -> bool:
        """Applies the step that makes the slowest rank fastest, if there is one.

        If several ranks are equally slow, the slowest time falls only after a step
        for each of them.
        """
        slowest = max(range(len(self._times)), key=self._times.__getitem__)
        limit = self._times[slowest] * (1.0 - MIN_STEP_GAIN)
        best: list[tuple[int, int, int]] | None = None
        reached = limit
        for step in self._list_steps(slowest, limit):
            worst = max(self._predict_times(step).values())
            if worst < reached:
                best, reached = step, worst
        if best is None:
            return False
        touched = self._predict_times(best).keys()
        for change in best:
            self._apply(change)
        # Recomputed, so that rounding errors of the predictions don't add up.
        for rank in touched:
            self._times[rank] = self._compute_time(rank)
        return True

    def _list_steps(
        self, slowest: int, limit: float
    ) -> list[list[tuple[int, int, int]]]:
        """Lists steps of (rank, expert added, expert dropped) changes; -1 is none.

        Leaves out the steps after which a receiver would be as slow as ``limit``.
        """
        steps = []
        receivers = sorted(range(len(self._times)), key=self._times.__getitem__)
        experts = sorted(self._held[slowest], key=self._compute_share, reverse=True)
        for expert in experts:
            if len(self._holders[expert]) > 1:
                steps.append([(slowest, -1, expert)])
            others = (rank for rank in receivers if rank not in self._holders[expert])
            for rank in itertools.islice(others, MAX_RECEIVERS_TRIED):
                if self._may_copy(rank, expert):
                    steps += self._list_transfers(slowest, rank, expert, limit)
        return steps

    def _list_transfers(
        self, slowest: int, rank: int, expert: int, limit: float
    ) -> list[list[tuple[int, int, int]]]:
        """Lists the steps that give ``rank`` an expert of the slowest rank."""
        steps = []
        share = self._compute_share(expert)
        shared = self._loads[expert] / (len(self._holders[expert]) + 1)
        room = (limit - self._times[rank]) / self._paces[rank]
        if len(self._held[rank]) < self._bounds.slots and shared < room:
            steps.append([(rank, expert, -1)])
        spare = [other for other in self._held[rank] if len(self._holders[other]) > 1]
        if len(self._held[rank]) >= self._bounds.slots and spare:
            least = min(spare, key=self._compute_share)
            if shared - self._compute_share(least) < room:
                steps.append([(rank, expert, least)])
        for other in self._held[rank]:
            lighter = self._loads[other] < self._loads[expert]
            is_new = other not in self._held[slowest]
            has_room = share - self._compute_share(other) < room
            if lighter and is_new and has_room and self._may_copy(slowest, other):
                steps.append([(rank, expert, other), (slowest, other, expert)])
        return steps

    def _may_copy(self, rank: int, expert: int) -> bool:
        if expert in self._before[rank]:
            return True
        copied = len(self._held[rank] - self._before[rank])
        return copied < self._bounds.copies and self._budget.has_room(rank)

    def _predict_times(self, step: list[tuple[int, int, int]]) -> dict[int, float]:
        """Computes the times after a step of all ranks that hold its experts."""
        changes: collections.Counter[int] = collections.Counter()
        for _, added, dropped in step:
            changes[added] += 1
            changes[dropped] -= 1
        del changes[-1]
        times: dict[int, float] = {}
        shares: dict[int, float] = {}
        for expert, change in changes.items():
            share = self._compute_share(expert)
            shares[expert] = self._loads[expert] / (len(self._holders[expert]) + change)
            for rank in self._holders[expert]:
                difference = self._paces[rank] * (shares[expert] - share)
                times[rank] = times.get(rank, self._times[rank]) + difference
        for rank, added, dropped in step:
            difference = shares.get(added, 0.0) - shares.get(dropped, 0.0)
            time = times.get(rank, self._times[rank])
            times[rank] = time + self._paces[rank] * difference
        return times

    def _apply(self, change: tuple[int, int, int]) -> None:
        rank, added, dropped = change
        if added >= 0:
            self._held[rank].add(added)
            self._holders[added].add(rank)
            self._budget.copied[rank] += added not in self._before[rank]
        if dropped >= 0:
            self._held[rank].discard(dropped)
            self._holders[dropped].discard(rank)
            self._budget.copied[rank] -= dropped not in self._before[rank]

    def _compute_share(self, expert: int) -> float:
        """Returns the tokens of an expert that each of its ranks processes."""
        return self._loads[expert] / len(self._holders[expert])

    def _compute_time(self, rank: int) -> float:
        return self._paces[rank] * sum(map(self._compute_share, self._held[rank]))


def _count_replicas(placement: Placement, experts: int) -> list[int]:
    copies = [0] * experts
    for held in placement:
        for expert in held:
            copies[expert] += 1
    return copies

"""Splits the tokens of replicated experts to minimise the slowest rank's time.

This is the static allocation problem of Harrison and López, "Heavy traffic
resource pooling in parallel-server systems", section 2, (2.1)-(2.4): job
classes are experts, servers are ranks, activities are replicas, and the minimal
utilization of the busiest server is the minimal step time. An expert's tokens take the
same work on each rank, so a rank is described by its speed alone and the problem is a
flow problem that needs no simplex method.

Layers are solved separately, because each layer of a step waits for all ranks.
"""

import collections
import collections.abc
import dataclasses

RELATIVE_TOLERANCE = 1e-6  # relative to the least step time
MAX_ROUNDS = 60
MAX_PUSHES = 10_000  # so that rounding cannot hang a daemon; placed tokens are kept
EPSILON = 1e-12


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Fractions of each expert's tokens on each of its ranks.

    Attributes:
        fractions: ``fractions[expert][k]`` is for the k-th rank that holds it.
        rank_times: Each rank's time: tokens divided by speed.
        bound: Lower bound on the slowest rank's time for this placement.
    """

    fractions: tuple[tuple[float, ...], ...]
    rank_times: tuple[float, ...]
    bound: float

    @property
    def slowest(self) -> float:
        """The slowest rank's time."""
        return max(self.rank_times)


Holders = collections.abc.Sequence[collections.abc.Sequence[int]]
Numbers = collections.abc.Sequence[float]
Hops = dict[int, tuple[int, int] | None]  # rank: (previous rank, shared expert)
Replicas = collections.abc.Sequence[tuple[int, int]]  # (expert, rank)


def find_split(holders: Holders, loads: Numbers, speeds: Numbers) -> Split:
    """Finds the split that minimises the slowest rank's time.

    Starts with a lower bound on the step time and fills the ranks up to it by
    augmenting paths. If tokens remain, raises the bound to the mean time of the ranks
    that these tokens can reach: that is the bound of (2.9)-(2.13) with z spread over
    those ranks by speed. Each estimate is a lower bound, so the last is the optimum.

    Args:
        holders: The ranks that hold each expert.
        loads: Tokens of each expert.
        speeds: Tokens per second of each rank, positive.
    """
    flow = Flow(holders, loads, speeds)
    flow.assign_greedily()
    bound = sum(loads) / sum(speeds)
    for _ in range(MAX_ROUNDS):
        reached = flow.drain_surplus(bound)
        if not reached:
            break
        bound = max(bound, flow.compute_mean_time(reached))
    return flow.build_split(bound)


class Flow:
    """Assignment of tokens to replicas, moved between ranks along shared experts."""

    def __init__(self, holders: Holders, loads: Numbers, speeds: Numbers) -> None:
        self.holders = list(holders)
        self.loads = loads
        self.speeds = speeds
        self.tokens = [dict.fromkeys(ranks, 0.0) for ranks in holders]
        self.work = [0.0] * len(speeds)
        self.experts_of: list[list[int]] = [[] for _ in speeds]
        for expert, ranks in enumerate(holders):
            for rank in ranks:
                self.experts_of[rank].append(expert)

    def assign_greedily(self) -> None:
        """Assigns all tokens greedily, largest expert first."""
        order = sorted(range(len(self.loads)), key=lambda e: -self.loads[e])
        for expert in order:
            self._water_fill(expert, self.loads[expert])

    def _water_fill(self, expert: int, left: float) -> None:
        """Distributes tokens of one expert over its ranks by water-filling."""
        ranks = sorted(
            self.holders[expert], key=lambda r: self.work[r] / self.speeds[r]
        )
        speed = work = 0.0
        level = 0.0
        used: list[int] = []
        for rank in ranks:
            time = self.work[rank] / self.speeds[rank]
            if used and time >= level:
                break
            used.append(rank)
            speed += self.speeds[rank]
            work += self.work[rank]
            level = (work + left) / speed
        for rank in used:
            share = max(level * self.speeds[rank] - self.work[rank], 0.0)
            self.tokens[expert][rank] += share
            self.work[rank] += share

    def drain_surplus(self, bound: float) -> frozenset[int]:
        """Moves as much work above ``bound`` as possible to ranks below it.

        Returns the ranks that the remaining surplus can reach, which are all full, or
        none if there is no surplus. Their mean time is a lower bound.
        """
        limit = bound * (1.0 + RELATIVE_TOLERANCE) + EPSILON
        for _ in range(MAX_PUSHES):
            sources = [
                rank
                for rank, (work, speed) in enumerate(
                    zip(self.work, self.speeds, strict=True)
                )
                if work > limit * speed
            ]
            if not sources:
                return frozenset()
            parents, target = self._find_path(sources, bound)
            if target is None:
                return frozenset(parents)
            self._push(parents, target, bound)
        return frozenset()

    def compute_mean_time(self, ranks: collections.abc.Collection[int]) -> float:
        """Computes the time of some ranks if they shared their work by speed."""
        speed = sum(self.speeds[rank] for rank in ranks)
        return sum(self.work[rank] for rank in ranks) / speed

    def compute_surplus(self, bound: float) -> float:
        """Computes the tokens in excess of ``bound``."""
        return sum(
            max(work - bound * speed, 0.0)
            for work, speed in zip(self.work, self.speeds, strict=True)
        )

    def change(self, added: Replicas, dropped: Replicas) -> "Flow":
        """Returns a copy with replicas added and then others dropped.

        The tokens of dropped replicas go to the expert's other ranks.
        """
        copy = object.__new__(Flow)
        copy.loads, copy.speeds = self.loads, self.speeds
        copy.holders = list(self.holders)
        copy.work = list(self.work)
        copy.experts_of = list(self.experts_of)
        copy.tokens = [dict(placed) for placed in self.tokens]
        for expert, rank in added:
            copy.holders[expert] = (*copy.holders[expert], rank)
            copy.experts_of[rank] = [*copy.experts_of[rank], expert]
            copy.tokens[expert][rank] = 0.0
        for expert, rank in dropped:
            copy.holders[expert] = [r for r in copy.holders[expert] if r != rank]
            copy.experts_of[rank] = [e for e in copy.experts_of[rank] if e != expert]
            left = copy.tokens[expert].pop(rank)
            copy.work[rank] -= left
            copy._water_fill(expert, left)
        return copy

    def _get_time(self, rank: int) -> float:
        return self.work[rank] / self.speeds[rank]

    def _find_path(self, sources: list[int], bound: float) -> tuple[Hops, int | None]:
        """Finds a rank below the bound that the surplus can reach.

        Returns each visited rank with the hop that led to it, and the rank found. If
        there is none, the visited ranks are all that the surplus can reach.
        """
        level = bound * (1.0 - RELATIVE_TOLERANCE)
        parents: Hops = dict.fromkeys(sources)
        queue = collections.deque(sources)
        while queue:
            rank = queue.popleft()
            for expert in self.experts_of[rank]:
                if self.tokens[expert][rank] <= EPSILON * self.loads[expert]:
                    continue
                for other in self.holders[expert]:
                    if other in parents:
                        continue
                    parents[other] = (rank, expert)
                    if self._get_time(other) < level:
                        return parents, other
                    queue.append(other)
        return parents, None

    def _push(
        self,
        parents: Hops,
        target: int,
        bound: float,
    ) -> None:
        """Moves as much work as the path to ``target`` allows."""
        hops = []
        rank = target
        amount = bound * self.speeds[target] - self.work[target]
        hop = parents[rank]
        while hop is not None:
            before, expert = hop
            amount = min(amount, self.tokens[expert][before])
            hops.append((before, rank, expert))
            rank = before
            hop = parents[rank]
        amount = min(amount, self.work[rank] - bound * self.speeds[rank])
        for before, after, expert in hops:
            self.tokens[expert][before] -= amount
            self.tokens[expert][after] += amount
        self.work[rank] -= amount
        self.work[target] += amount

    def build_split(self, bound: float) -> Split:
        """Converts tokens to fractions; an expert without load is split by speed."""
        fractions = []
        for expert, ranks in enumerate(self.holders):
            total = sum(self.tokens[expert][rank] for rank in ranks)
            weights = [self.tokens[expert][rank] for rank in ranks]
            if total <= 0.0:
                weights = [self.speeds[rank] for rank in ranks]
                total = sum(weights)
            fractions.append(tuple(weight / total for weight in weights))
        times = tuple(self._get_time(rank) for rank in range(len(self.work)))
        return Split(tuple(fractions), times, bound)


def compute_times(
    holders: Holders,
    fractions: collections.abc.Sequence[Numbers],
    loads: Numbers,
    speeds: Numbers,
) -> list[float]:
    """Computes each rank's time for given fractions."""
    work = [0.0] * len(speeds)
    for ranks, parts, load in zip(holders, fractions, loads, strict=True):
        for rank, part in zip(ranks, parts, strict=True):
            work[rank] += part * load
    return [done / speed for done, speed in zip(work, speeds, strict=True)]


def compute_skew(times: Numbers) -> float:
    """Computes the slowest rank's time over the mean; 1 without any load."""
    mean = sum(times) / len(times)
    return max(times) / mean if mean > 0.0 else 1.0


def find_pools(holders: Holders, split: Split) -> list[frozenset[int]]:
    """Lists the sets of ranks that communicate through shared experts.

    Harrison and López, section 2, "Communicating servers": two ranks communicate
    directly when both process tokens of one expert. A single set is complete pooling.
    """
    parent = list(range(len(split.rank_times)))

    def find(rank: int) -> int:
        while parent[rank] != rank:
            parent[rank] = parent[parent[rank]]
            rank = parent[rank]
        return rank

    for ranks, parts in zip(holders, split.fractions, strict=True):
        used = [rank for rank, part in zip(ranks, parts, strict=True) if part > 0.0]
        for rank in used[1:]:
            parent[find(rank)] = find(used[0])
    pools = collections.defaultdict(set)
    for rank in range(len(parent)):
        pools[find(rank)].add(rank)
    return [frozenset(members) for members in pools.values()]

"""Searches for a few replica moves that shorten a layer's step the most."""

import dataclasses
import itertools

from lycheegauge.internal.coordination.groups import layouts, splitting

MIN_GAIN = 0.001  # of all tokens; a smaller gain is not worth the transfer
DEFAULT_CANDIDATES = 2
INITIAL_CANDIDATES = 5
INITIAL_MAX_MOVES = 64
INITIAL_SKEW = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class MoveBounds:
    """Limits of one change.

    Attributes:
        max_moves: Replicas that may be loaded.
        moves_per_rank: Replicas that one rank may load.
        overlap: Number of ranks that keep a replica of each expert.
        candidates: Number of experts, ranks and replicas to drop that are tried for
            each move; its cube is the number of splits solved.
    """

    max_moves: int
    moves_per_rank: int
    overlap: int
    candidates: int = DEFAULT_CANDIDATES


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Replicas loaded and dropped together, as (expert, rank) pairs."""

    added: tuple[tuple[int, int], ...]
    dropped: tuple[tuple[int, int], ...]


def place_from_scratch(
    loads: splitting.Numbers, speeds: splitting.Numbers, slots: int
) -> layouts.Layout:
    """Places all replicas without regard to a present placement.

    Starts from a greedy placement and moves replicas until the step is nearly even.
    """
    first = layouts.place_greedily(loads, speeds, slots)
    bounds = MoveBounds(
        INITIAL_MAX_MOVES, INITIAL_MAX_MOVES, overlap=1, candidates=INITIAL_CANDIDATES
    )
    limit = sum(loads) / sum(speeds) * (1.0 + INITIAL_SKEW)
    return MoveSearch(first.holders, loads, speeds, bounds).run(limit) or first


class MoveSearch:
    """Moves one replica at a time, each to where it lowers the surplus the most.

    The surplus is the tokens that no split can bring under the limit. They are on a set
    of full ranks that contains all holders of their experts (the dual of the static
    allocation problem, (2.9)-(2.13), has its weight there). Only a replica of such an
    expert on a rank outside the set lowers the surplus. The slowest time is a poor
    objective for the search: with two full sets, relieving one does not lower it, and
    the search ended at 1.059 of an even step.
    """

    def __init__(
        self,
        holders: splitting.Holders,
        loads: splitting.Numbers,
        speeds: splitting.Numbers,
        bounds: MoveBounds,
    ) -> None:
        self._flow = splitting.Flow(holders, loads, speeds)
        self._flow.assign_greedily()
        self._bounds = bounds
        self._loaded_counts = [0] * len(speeds)
        self._min_gain = sum(loads) * MIN_GAIN

    def run(self, limit: float) -> layouts.Layout | None:
        """Moves replicas until the step time is at most ``limit`` or no move helps."""
        full = self._flow.drain_surplus(limit)
        left = self._bounds.max_moves
        while full and left > 0:
            exchange = self._find_best(full, limit, left)
            if exchange is None:
                break
            self._flow = self._flow.change(exchange.added, exchange.dropped)
            full = self._flow.drain_surplus(limit)
            left -= len(exchange.added)
            for _, rank in exchange.added:
                self._loaded_counts[rank] += 1
        if left == self._bounds.max_moves:
            return None
        holders = tuple(tuple(sorted(ranks)) for ranks in self._flow.holders)
        split = splitting.find_split(holders, self._flow.loads, self._flow.speeds)
        return layouts.Layout(holders, split.fractions)

    def _find_best(
        self, full: frozenset[int], limit: float, left: int
    ) -> Exchange | None:
        """Finds the exchange with the largest reduction of the surplus per move."""
        best, most = None, self._min_gain
        surplus = self._flow.compute_surplus(limit)
        for exchange in (
            *self._list_replacements(full, limit),
            *self._list_pair_swaps(full, limit),
        ):
            if len(exchange.added) > left:
                continue
            tried = self._flow.change(exchange.added, exchange.dropped)
            tried.drain_surplus(limit)
            gain = (surplus - tried.compute_surplus(limit)) / len(exchange.added)
            if gain > most:
                best, most = exchange, gain
        return best

    def _list_candidate_ranks(self, full: frozenset[int], limit: float) -> list[int]:
        """Lists the ranks that are not full and may load more, least loaded first."""
        flow = self._flow
        found = [
            rank
            for rank in range(len(flow.speeds))
            if rank not in full
            and self._loaded_counts[rank] < self._bounds.moves_per_rank
        ]
        return sorted(found, key=lambda r: flow.work[r] - limit * flow.speeds[r])

    def _list_replacements(self, full: frozenset[int], limit: float) -> list[Exchange]:
        """Lists one-move exchanges: a full rank's expert replaces a spare outside."""
        flow = self._flow
        confined = [
            expert
            for expert, ranks in enumerate(flow.holders)
            if flow.loads[expert] > 0.0 and full.issuperset(ranks)
        ]
        confined.sort(key=self._get_priority, reverse=True)
        candidates = self._bounds.candidates
        open_ranks = self._list_candidate_ranks(full, limit)[:candidates]
        return [
            Exchange(((expert, rank),), ((replaced, rank),))
            for expert, rank in itertools.product(confined[:candidates], open_ranks)
            for replaced in self._list_droppable_experts(rank)[:candidates]
        ]

    def _list_pair_swaps(self, full: frozenset[int], limit: float) -> list[Exchange]:
        """Lists two-move exchanges: the slowest rank and one outside swap experts.

        They are needed when no rank outside has a redundant replica to drop.
        """
        flow = self._flow
        slow = max(full, key=lambda r: flow.work[r] / flow.speeds[r])
        if self._loaded_counts[slow] >= self._bounds.moves_per_rank:
            return []
        surplus = flow.work[slow] - limit * flow.speeds[slow]
        found = []
        for rank in self._list_candidate_ranks(full, limit):
            wanted = min(surplus, limit * flow.speeds[rank] - flow.work[rank])
            pairs = itertools.product(flow.experts_of[slow], flow.experts_of[rank])
            for given, taken in pairs:
                if rank in flow.holders[given] or slow in flow.holders[taken]:
                    continue
                moved = flow.tokens[given][slow] - flow.tokens[taken][rank]
                exchange = Exchange(
                    ((given, rank), (taken, slow)), ((given, slow), (taken, rank))
                )
                found.append((abs(moved - wanted), exchange))
        found.sort(key=lambda pair: pair[0])
        return [exchange for _, exchange in found[: self._bounds.candidates**2]]

    def _get_priority(self, expert: int) -> tuple[float, float]:
        """Returns the slowest time among its ranks and its load per replica."""
        flow = self._flow
        ranks = flow.holders[expert]
        slowest = max(flow.work[rank] / flow.speeds[rank] for rank in ranks)
        return slowest, flow.loads[expert] / len(ranks)

    def _list_droppable_experts(self, rank: int) -> list[int]:
        """Lists the replicas that ``rank`` may drop, fewest tokens first."""
        holders = self._flow.holders
        spare = [e for e in self._flow.experts_of[rank] if len(holders[e]) > 1]
        overlapping = [e for e in spare if len(holders[e]) > self._bounds.overlap]
        return sorted(overlapping or spare, key=lambda e: self._flow.tokens[e][rank])

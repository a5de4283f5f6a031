"""Converts between expert maps and the layer layouts that planning uses."""

import collections.abc
import dataclasses
import heapq

from lycheegauge.internal.coordination.groups import splitting
from lycheegauge.internal.protocol import expertmaps


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The ranks that hold each expert of a layer, and their token fractions."""

    holders: tuple[tuple[int, ...], ...]
    fractions: tuple[tuple[float, ...], ...]

    def compute_times(
        self, loads: splitting.Numbers, speeds: splitting.Numbers
    ) -> list[float]:
        """Computes each rank's time with these fractions."""
        return splitting.compute_times(self.holders, self.fractions, loads, speeds)


def extract_layouts(expert_map: expertmaps.ExpertMap, layers: int) -> list[Layout]:
    """Returns the layout of each layer of a map, in the order of expert numbers."""
    ordered = sorted(expert_map.placements, key=lambda placed: placed.expert)
    layouts = []
    for layer in range(layers):
        placed = [item.shares for item in ordered if item.layer == layer]
        holders = tuple(tuple(share.rank for share in shares) for shares in placed)
        fractions = tuple(
            tuple(share.fraction for share in shares) for shares in placed
        )
        layouts.append(Layout(holders, fractions))
    return layouts


def build_map(
    group: str, version: int, layouts: collections.abc.Sequence[Layout]
) -> expertmaps.ExpertMap:
    """Builds a map from the layouts of its layers."""
    placements = tuple(
        expertmaps.ExpertPlacement(
            layer,
            expert,
            tuple(
                expertmaps.Share(rank, part)
                for rank, part in zip(ranks, parts, strict=True)
            ),
        )
        for layer, layout in enumerate(layouts)
        for expert, (ranks, parts) in enumerate(
            zip(layout.holders, layout.fractions, strict=True)
        )
    )
    return expertmaps.ExpertMap(group, version, placements)


def list_moves(before: Layout, after: Layout) -> list[tuple[int, int]]:
    """Lists the (expert, rank) pairs whose weights must be loaded."""
    return [
        (expert, rank)
        for expert, (old, new) in enumerate(
            zip(before.holders, after.holders, strict=True)
        )
        for rank in new
        if rank not in old
    ]


def place_greedily(
    loads: splitting.Numbers, speeds: splitting.Numbers, slots: int
) -> Layout:
    """Places all replicas from scratch, the most loaded ones first.

    Each spare slot goes to the expert with the highest load per replica. Replicas are
    then placed, largest first, on the rank with the least time and a free slot.

    Raises:
        ValueError: There are fewer slots than experts.
    """
    ranks = len(speeds)
    copies = count_replicas(loads, ranks, slots)
    holders: list[list[int]] = [[] for _ in loads]
    free = [slots] * ranks
    times = [0.0] * ranks
    order = sorted(range(len(loads)), key=lambda e: -loads[e] / copies[e])
    for expert in order:
        part = loads[expert] / copies[expert]
        for _ in range(copies[expert]):
            open_ranks = [
                rank
                for rank in range(ranks)
                if free[rank] and rank not in holders[expert]
            ]
            if not open_ranks:
                break
            rank = min(open_ranks, key=lambda r: times[r] + part / speeds[r])
            holders[expert].append(rank)
            free[rank] -= 1
            times[rank] += part / speeds[rank]
    held = tuple(tuple(sorted(chosen)) for chosen in holders)
    split = splitting.find_split(held, loads, speeds)
    return Layout(held, split.fractions)


def count_replicas(loads: splitting.Numbers, ranks: int, slots: int) -> list[int]:
    """Computes how many replicas each expert gets."""
    spare = ranks * slots - len(loads)
    if spare < 0:
        raise ValueError(f"{ranks * slots} slots cannot hold {len(loads)} experts")
    copies = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads) if ranks > 1]
    heapq.heapify(heap)
    while spare and heap:
        _, expert = heapq.heappop(heap)
        copies[expert] += 1
        spare -= 1
        if copies[expert] < ranks:
            heapq.heappush(heap, (-loads[expert] / copies[expert], expert))
    return copies

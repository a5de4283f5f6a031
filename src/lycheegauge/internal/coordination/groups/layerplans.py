"""Plans the layers of a map one by one, and joins the plans to a map.

Each layer is planned without regard to the others, on any host, as the times of the
layers add up. But a switch takes as long as the rank that copies the most experts in
all layers together. So there are several plans for each layer, from few copies to many,
and the joined map takes those that pay.
"""

import collections.abc
import dataclasses
import itertools

from lycheegauge.internal.coordination.groups import (
    evensplit,
    mapplanning,
    splitting,
)
from lycheegauge.internal.protocol import maporders

SWITCH_OVERHEAD_S = 0.3
"""Time that a switch of a relayed group takes beside its copies, in seconds."""

HORIZON_S = 2.5
"""Time for which a plan counts, in seconds. The next switch follows at once, so a map
that removes most of the unevenness early is better than the best one late."""

SNAPSHOT_SKEWS = (1.7, 1.5, 1.3)
"""The slowest rank's time over the mean at which a search returns a placement.
Measured with 72 ranks after a shift of demand: the best map has a skew of 1.28 and
copies up to 9 experts to a rank, maps with 1.5 and 1.7 copy up to 5 and 3."""


@dataclasses.dataclass(frozen=True, slots=True)
class LayerLimits:
    """Limits on the plans of a layer.

    Attributes:
        slots: Experts of the layer that fit on a rank.
        copies: Experts that a rank may copy, for each plan; increasing.
        gain_per_copy: Fraction by which each copied expert must shorten the slowest
            rank's time.
        time_s: Time after which the search ends, in seconds.
    """

    slots: int
    copies: tuple[int, ...]
    gain_per_copy: float
    time_s: float


def make_question(
    placement: evensplit.Placement,
    loads: splitting.Numbers,
    paces: splitting.Numbers,
    limits: LayerLimits,
) -> maporders.LayerQuestion:
    """Makes the request for plans of a layer."""
    return maporders.LayerQuestion(
        tuple(map(len, placement)),
        tuple(itertools.chain.from_iterable(placement)),
        tuple(loads),
        tuple(paces),
        limits.slots,
        limits.copies,
        limits.gain_per_copy,
        limits.time_s,
    )


def iterate_proposals(
    question: maporders.LayerQuestion,
) -> collections.abc.Iterator[maporders.LayerProposal | None]:
    """Yields placements of a layer, and ``None`` after each step of the search.

    Each placement makes the slowest rank faster than the one before, with more copies.
    """
    before = _split(question.sizes, question.experts)
    budget = evensplit.CopyBudget(len(question.paces))
    most = max(question.copies, default=0)
    search = evensplit.LayerSearch(
        before,
        question.loads,
        question.paces,
        evensplit.PlacementBounds(question.slots, most, question.gain_per_copy),
        budget,
    )
    mean = search.slowest - search.excess
    skews = [skew for skew in SNAPSHOT_SKEWS if skew * mean < search.slowest]
    returned = search.slowest
    for copies_max in question.copies:
        budget.copies_max = copies_max
        while search.improve():
            if skews and search.slowest <= skews[0] * mean:
                while skews and search.slowest <= skews[0] * mean:
                    del skews[0]
                returned = search.slowest
                yield _make_proposal(before, search)
            else:
                yield None
        if search.slowest < returned:
            returned = search.slowest
            yield _make_proposal(before, search)


def _make_proposal(
    before: evensplit.Placement, search: evensplit.LayerSearch
) -> maporders.LayerProposal:
    placement = search.get_placement()
    changed = [
        rank
        for rank, (old, new) in enumerate(zip(before, placement, strict=True))
        if set(old) != set(new)
    ]
    return maporders.LayerProposal(
        tuple(changed),
        tuple(len(placement[rank]) for rank in changed),
        tuple(itertools.chain.from_iterable(placement[rank] for rank in changed)),
        search.slowest,
    )


def _split(
    sizes: collections.abc.Iterable[int], experts: collections.abc.Iterable[int]
) -> evensplit.Placement:
    """Divides a list of experts among ranks."""
    remaining = iter(experts)
    return tuple(tuple(itertools.islice(remaining, size)) for size in sizes)


def join_plans(
    placements: collections.abc.Sequence[evensplit.Placement],
    slowest: collections.abc.Sequence[float],
    proposals: collections.abc.Sequence[
        collections.abc.Sequence[maporders.LayerProposal]
    ],
    copy_s: float,
    gain_per_copy: float,
) -> mapplanning.MapPlan | None:
    """Chooses a placement for each layer; ``None`` if no change pays.

    Args:
        placements: The experts on each rank now, by layer.
        slowest: The slowest rank's time now, by layer.
        proposals: Better placements by layer, with increasing copies; empty for a layer
            that was not planned.
        copy_s: Time that a rank takes to copy one expert, in seconds; 0 if unknown.
        gain_per_copy: Gain that each copied expert must bring.
    """
    joiner = _Joiner(placements, slowest, proposals, copy_s, gain_per_copy)
    best: list[int] = [0] * len(placements)
    most = 0.0
    for level in range(1, max(map(len, proposals), default=0) + 1):
        levels = [min(level, len(layer)) for layer in proposals]
        value = joiner.weigh(levels).value
        if value > most:
            best, most = levels, value
    for layer, layer_proposals in enumerate(proposals):
        for level in range(len(layer_proposals) + 1):
            levels = [*best]
            levels[layer] = level
            value = joiner.weigh(levels).value
            if value > most:
                best, most = levels, value
    return joiner.make_plan(best) if most > 0.0 else None


class _Joiner:
    """Weighs the choices of all layers together; level 0 is the present placement."""

    def __init__(
        self,
        placements: collections.abc.Sequence[evensplit.Placement],
        slowest: splitting.Numbers,
        proposals: collections.abc.Sequence[
            collections.abc.Sequence[maporders.LayerProposal]
        ],
        copy_s: float,
        gain_per_copy: float,
    ) -> None:
        self._placements = placements
        self._proposals = proposals
        self._before = sum(slowest)
        self._slowest = [
            [now, *(proposal.slowest for proposal in layer)]
            for now, layer in zip(slowest, proposals, strict=True)
        ]
        self._copied = [
            [{}, *(_count_copies(placement, proposal) for proposal in layer)]
            for placement, layer in zip(placements, proposals, strict=True)
        ]
        self._copy_s = copy_s or mapplanning.DEFAULT_COPY_S
        self._gain_per_copy = gain_per_copy

    def weigh(self, levels: collections.abc.Sequence[int]) -> mapplanning.MapPlan:
        """Weighs the map with these levels of the layers; without placements."""
        copied = [0] * len(self._placements[0])
        for layer, level in zip(self._copied, levels, strict=True):
            for rank, count in layer[level].items():
                copied[rank] += count
        work = mapplanning.CopyWork(
            max(copied) * self._copy_s, sum(copied), len(self._placements)
        )
        slowest = sum(
            layer[level] for layer, level in zip(self._slowest, levels, strict=True)
        )
        return mapplanning.weigh_plan(
            self._before,
            slowest,
            work,
            self._gain_per_copy,
            mapplanning.Timing(SWITCH_OVERHEAD_S, HORIZON_S),
        )

    def make_plan(self, levels: collections.abc.Sequence[int]) -> mapplanning.MapPlan:
        """Returns the map with these levels of the layers."""
        placements = [
            _apply(placement, layer[level - 1]) if level else placement
            for placement, layer, level in zip(
                self._placements, self._proposals, levels, strict=True
            )
        ]
        return dataclasses.replace(self.weigh(levels), placements=placements)


def _list_changes(
    proposal: maporders.LayerProposal,
) -> collections.abc.Iterator[tuple[int, tuple[int, ...]]]:
    """Yields the changed ranks and their experts."""
    held = _split(proposal.sizes, proposal.experts)
    return zip(proposal.ranks, held, strict=True)


def _count_copies(
    placement: evensplit.Placement, proposal: maporders.LayerProposal
) -> dict[int, int]:
    """Counts what each rank must copy for a proposal."""
    return {
        rank: len(set(held).difference(placement[rank]))
        for rank, held in _list_changes(proposal)
    }


def _apply(
    placement: evensplit.Placement, proposal: maporders.LayerProposal
) -> evensplit.Placement:
    changed = list(placement)
    for rank, held in _list_changes(proposal):
        changed[rank] = held
    return tuple(changed)

"""Placement policies: which ranks hold each expert, and how its tokens are split.

A new split moves no weights, whereas a moved replica must be fetched from the
rate-limited store. The ``bounded`` policy therefore splits first, and moves replicas
only when the best split of the present placement is still too skewed.
"""

import collections.abc
import dataclasses
import typing

from lycheegauge.internal.coordination.groups import layouts, moves, splitting
from lycheegauge.internal.protocol import expertmaps, groups


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """The limits and thresholds of a policy.

    Attributes:
        slots: Replicas of a layer that fit on a rank.
        spare_slots: Replicas of a layer that a rank can load in addition to those it
            runs; any more must wait for a drop, which stalls the step.
        expert_bytes: Weights of one expert of one layer, in bytes.
        store_bytes_s: The weight store's rate for one rank, in bytes/s.
        step_s: Usual duration of a step, in seconds.
        split_gain: Minimum fraction by which a new split must shorten the step.
        move_skew: Replicas are moved when the best split's step is longer than an even
            one by this fraction.
        moved_skew: Replicas are then moved until the step is longer by only this
            fraction, which leaves a margin for further drift.
        max_moves: Replicas moved in one layer in one change.
        overlap: Ranks that keep a replica of each expert, if slots allow.
    """

    slots: int
    spare_slots: int = 1
    expert_bytes: int = 88_000_000
    store_bytes_s: float = 1.0e9
    step_s: float = 0.038
    split_gain: float = 0.03
    move_skew: float = 0.03
    moved_skew: float = 0.02
    max_moves: int = 8
    overlap: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MapChange:
    """A proposed map and its report for ``explain``."""

    expert_map: expertmaps.ExpertMap
    report: groups.MapChangeReport


class Policy(typing.Protocol):
    """Plans the next layout of a layer; ``None`` keeps the present one."""

    def plan_layer(
        self,
        current: layouts.Layout,
        loads: splitting.Numbers,
        speeds: splitting.Numbers,
    ) -> layouts.Layout | None:
        """Plans one layer."""


PolicyClass = typing.TypeVar("PolicyClass", bound=type)

_policies: dict[str, typing.Callable[[PlacementSettings], Policy]] = {}


def register_policy(
    name: str,
) -> collections.abc.Callable[[PolicyClass], PolicyClass]:
    """Returns a decorator that registers a policy under its name in settings."""

    def register(policy_class: PolicyClass) -> PolicyClass:
        _policies[name] = policy_class
        return policy_class

    return register


def list_policies() -> tuple[str, ...]:
    """Lists the names of all policies."""
    return tuple(sorted(_policies))


class Planner:
    """Plans whole maps with one policy."""

    def __init__(self, policy: str, settings: PlacementSettings) -> None:
        self.name = policy
        self._settings = settings
        self._policy = _policies[policy](settings)

    def plan(
        self,
        current: expertmaps.ExpertMap,
        loads: collections.abc.Sequence[splitting.Numbers],
        speeds: splitting.Numbers,
    ) -> MapChange | None:
        """Plans the next map.

        Args:
            current: The map in force.
            loads: Tokens per second of each expert, by layer.
            speeds: Relative speed of each rank.

        Returns:
            The change, or ``None`` to keep the present map.
        """
        before = layouts.extract_layouts(current, len(loads))
        after = [
            self._policy.plan_layer(layout, layer_loads, speeds)
            for layout, layer_loads in zip(before, loads, strict=True)
        ]
        if all(layout is None for layout in after):
            return None
        chosen = [new or old for new, old in zip(after, before, strict=True)]
        expert_map = layouts.build_map(current.group, current.version + 1, chosen)
        report = self._report(current, before, chosen, loads, speeds)
        return MapChange(expert_map, report)

    def _report(
        self,
        current: expertmaps.ExpertMap,
        before: list[layouts.Layout],
        after: list[layouts.Layout],
        loads: collections.abc.Sequence[splitting.Numbers],
        speeds: splitting.Numbers,
    ) -> groups.MapChangeReport:
        moved = [
            layouts.list_moves(old, new) for old, new in zip(before, after, strict=True)
        ]
        count = sum(len(layer) for layer in moved)
        reason = "best split still too skewed" if count else "better split"
        return groups.MapChangeReport(
            group=current.group,
            from_version=current.version,
            to_version=current.version + 1,
            policy=self.name,
            reason=reason,
            skew_before=compute_skew(before, loads, speeds),
            skew_after=compute_skew(after, loads, speeds),
            bytes_to_move=count * self._settings.expert_bytes,
            moves=count,
            stalled_steps=self._estimate_stalled_steps(moved),
        )

    def _estimate_stalled_steps(self, moved: list[list[tuple[int, int]]]) -> float:
        """Estimates the steps lost while ranks load more replicas than spare slots."""
        waiting: collections.Counter[int] = collections.Counter()
        for layer in moved:
            arriving = collections.Counter(rank for _, rank in layer)
            for rank, count in arriving.items():
                waiting[rank] += max(count - self._settings.spare_slots, 0)
        slowest = max(waiting.values(), default=0) * self._settings.expert_bytes
        return slowest / self._settings.store_bytes_s / self._settings.step_s


def compute_skew(
    planned: collections.abc.Sequence[layouts.Layout],
    loads: collections.abc.Sequence[splitting.Numbers],
    speeds: splitting.Numbers,
) -> float:
    """Computes the slowest rank's step time over the mean, over all layers.

    Each layer waits for its slowest rank, so the slowest times add up.
    """
    slowest = mean = 0.0
    for layout, layer_loads in zip(planned, loads, strict=True):
        times = layout.compute_times(layer_loads, speeds)
        slowest += max(times)
        mean += sum(times) / len(times)
    return slowest / mean if mean > 0.0 else 1.0


@register_policy("static")
class StaticPolicy:
    """Never changes the map."""

    def __init__(self, settings: PlacementSettings) -> None:
        pass

    def plan_layer(
        self,
        current: layouts.Layout,
        loads: splitting.Numbers,
        speeds: splitting.Numbers,
    ) -> layouts.Layout | None:
        """Keeps the present layout."""
        return None


@register_policy("greedy")
class GreedyPolicy:
    """Places all replicas from scratch at each planning, with the best split."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def plan_layer(
        self,
        current: layouts.Layout,
        loads: splitting.Numbers,
        speeds: splitting.Numbers,
    ) -> layouts.Layout | None:
        """Ignores the present layout."""
        return layouts.place_greedily(loads, speeds, self._settings.slots)


@register_policy("split")
class SplitPolicy:
    """Solves the static allocation problem on a placement that never changes."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def plan_layer(
        self,
        current: layouts.Layout,
        loads: splitting.Numbers,
        speeds: splitting.Numbers,
    ) -> layouts.Layout | None:
        """Computes a new split if it shortens the step enough."""
        now = max(current.compute_times(loads, speeds))
        split = splitting.find_split(current.holders, loads, speeds)
        if split.slowest * (1.0 + self._settings.split_gain) >= now:
            return None
        return layouts.Layout(current.holders, split.fractions)


@register_policy("bounded")
class BoundedPolicy:
    """Splits first; moves a few replicas when the best split is too skewed."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._split = SplitPolicy(settings)

    def plan_layer(
        self,
        current: layouts.Layout,
        loads: splitting.Numbers,
        speeds: splitting.Numbers,
    ) -> layouts.Layout | None:
        """Plans a new split, with moves if the split is not enough."""
        even = sum(loads) / sum(speeds)
        now = max(current.compute_times(loads, speeds))
        limit = even * (1.0 + self._settings.move_skew)
        if now <= limit:
            return None
        split = splitting.find_split(current.holders, loads, speeds)
        if split.slowest <= limit:
            return self._split.plan_layer(current, loads, speeds)
        bounds = moves.MoveBounds(
            self._settings.max_moves, self._settings.spare_slots, self._settings.overlap
        )
        search = moves.MoveSearch(current.holders, loads, speeds, bounds)
        improved = search.run(even * (1.0 + self._settings.moved_skew))
        if improved is not None:
            return improved
        return self._split.plan_layer(current, loads, speeds)

"""Records how long the phases of a map switch take and what it changes."""

import collections
import dataclasses

from lycheegauge.internal.coordination.groups import mapswitch


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchSummary:
    """A finished switch.

    Attributes:
        phases_s: Seconds by phase: ``plan``, ``prepare``, ``arm`` and ``release``.
        skew_before: The slowest ranks' time over the mean, with the earlier map.
        skew_after: The same with the new map, as planned.
        copies: Experts copied, on all ranks.
    """

    phases_s: dict[str, float]
    skew_before: float
    skew_after: float
    copies: int


PHASE_NAMES = {
    mapswitch.Phase.PREPARING: "prepare",
    mapswitch.Phase.ARMING: "arm",
    mapswitch.Phase.UNDOING: "undo",
    mapswitch.Phase.RELEASED: "release",
}


class SwitchRecord:
    """Records one switch from its plan until the map is in force.

    Args:
        plan_s: How long planning took, in seconds.
        skew_before: The slowest ranks' time over the mean, with the map in force.
        skew_after: The same with the planned map.
        copies: Experts to copy, on all ranks.
        now: Seconds.
    """

    def __init__(
        self,
        plan_s: float,
        skew_before: float,
        skew_after: float,
        copies: int,
        now: float,
    ) -> None:
        self._seconds: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        self._seconds["plan"] = plan_s
        self._skew_before, self._skew_after = skew_before, skew_after
        self._copies = copies
        self._phase = mapswitch.Phase.PREPARING
        self._since = now

    def enter(self, phase: mapswitch.Phase, now: float) -> None:
        """Records the phase that the switch is in."""
        if phase is self._phase:
            return
        name = PHASE_NAMES.get(self._phase)
        if name is not None:
            self._seconds[name] += now - self._since
        self._phase, self._since = phase, now

    def summarise(self) -> SwitchSummary:
        """Summarises the switch after its last phase."""
        return SwitchSummary(
            {name: round(seconds, 3) for name, seconds in self._seconds.items()},
            round(self._skew_before, 3),
            round(self._skew_after, 3),
            self._copies,
        )

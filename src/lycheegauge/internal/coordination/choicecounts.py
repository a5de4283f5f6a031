"""Counts how servers were chosen, for logs and metrics of limited volume."""

import collections
import typing

from lycheegauge.internal.coordination import serverselection

OWN_ZONE = "own"
OTHER_ZONE = "other"


class ChoiceCounts:
    """Counts choices since the last report."""

    def __init__(self) -> None:
        self._zones: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._slow = 0

    def note(self, selection: serverselection.Selection) -> str:
        """Counts a choice; returns the zone of its server, empty for none."""
        for exclusion in selection.excluded:
            self._left_out[exclusion.rule] += 1
        chosen = selection.chosen
        if chosen is None:
            return ""
        zone = OWN_ZONE if chosen.is_in_zone else OTHER_ZONE
        self._zones[zone] += 1
        self._slow += serverselection.is_slow(chosen)
        return zone

    def pop(self) -> dict[str, typing.Any]:
        """Returns and resets the counts; empty if nothing was chosen.

        ``left_out`` counts servers that were left out of a choice, by the rule that
        they broke.
        """
        if not self._zones and not self._left_out:
            return {}
        counts = {
            "own_zone": self._zones[OWN_ZONE],
            "other_zone": self._zones[OTHER_ZONE],
            "slow": self._slow,
            "left_out": dict(self._left_out),
        }
        self._zones.clear()
        self._left_out.clear()
        self._slow = 0
        return counts

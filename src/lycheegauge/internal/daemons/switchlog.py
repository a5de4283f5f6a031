"""Logs the switches of a large group's expert maps, and why its events are late."""

import collections.abc
import math

import loguru

from lycheegauge.internal.coordination.groups import (
    groupstate,
    mapswitch,
    switchrecord,
)
from lycheegauge.internal.transport import clock

SLOW_PACE = 1.5
"""Pace from which a rank is reported as slow."""

SLOW_LOGGED_MAX = 8
"""Slow ranks that a log line names."""

LATE_LOG_INTERVAL_S = 1.0


class SwitchLog:
    """Owns the record of the switch under way; ``record`` is set when one begins.

    Args:
        name: The group's name.
        state: The group's state.
        record_switch: Takes the seconds of each phase of a finished switch.
    """

    def __init__(
        self,
        name: str,
        state: groupstate.GroupState,
        record_switch: collections.abc.Callable[[str, float], None],
    ) -> None:
        self._name = name
        self._state = state
        self._record_switch = record_switch
        self._late_logged_at = -math.inf
        self.record: switchrecord.SwitchRecord | None = None

    def log_phase(self, round_s: float) -> None:
        """Logs a change of the switch's phase.

        Args:
            round_s: The usual duration of a round of calls, in seconds.
        """
        state = self._state
        now = clock.read_clock()
        if self.record is not None:
            self.record.enter(state.switch.phase, now)
        if state.switch.phase is state.logged_phase:
            return
        loguru.logger.info(
            "phase of an expert map switch",
            group=self._name,
            phase=state.switch.phase.value,
            previous=state.logged_phase.value,
            previous_s=round(now - state.logged_phase_at, 3),
            round_s=round(round_s, 3),
            step=state.step,
        )
        state.logged_phase, state.logged_phase_at = state.switch.phase, now

    def log_late_events(
        self, reports: groupstate.Reports, layers: int, longest_gap_s: float
    ) -> None:
        """Logs why passes are long, at most once a second."""
        now = clock.read_clock()
        loads = self._state.demand.get_layer_loads(layers)
        if now < self._late_logged_at + LATE_LOG_INTERVAL_S or not loads:
            return
        self._late_logged_at = now
        paces = groupstate.list_paces(reports)
        skew = None
        if self._state.placements and len(paces) == len(self._state.placements[0]):
            # With equal paces the skew shows the map alone.
            slowest = groupstate.sum_slowest_times(
                self._state.placements, loads, [1.0] * len(paces)
            )
            skew = round(slowest * len(paces) / max(1.0, self._state.demand.total), 3)
        slow = sorted(r for r, item in reports.items() if item.pace > SLOW_PACE)
        loguru.logger.info(
            "events are late",
            group=self._name,
            longest_gap_ms=round(longest_gap_s * 1000, 1),
            pass_ms=round(self._state.pass_s * 1000, 1),
            version=self._state.version,
            skew=skew,
            slow_ranks=len(slow),
            slowest_pace=max(paces, default=1.0),
            first_slow=slow[:SLOW_LOGGED_MAX],
            phase=self._state.switch.phase.value,
        )

    def log_map_in_force(self, now: float) -> None:
        """Logs a map that all ranks use, and what the switch to it took."""
        version = self._state.version
        is_own = version == self._state.switch.target_version
        record, self.record = self.record, None
        if record is None or not is_own:
            loguru.logger.info("expert map in force", group=self._name, version=version)
            return
        record.enter(mapswitch.Phase.IDLE, now)
        summary = record.summarise()
        loguru.logger.info(
            "expert map in force",
            group=self._name,
            version=version,
            skew_before=summary.skew_before,
            skew_after=summary.skew_after,
            copies=summary.copies,
            **{f"{name}_s": seconds for name, seconds in summary.phases_s.items()},
        )
        for name, seconds in summary.phases_s.items():
            self._record_switch(name, seconds)

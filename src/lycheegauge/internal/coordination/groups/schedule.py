"""The schedule of expert maps by step, as stored in the log."""

import dataclasses

from lycheegauge.internal.protocol import codec, expertmaps, groups


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledMap:
    """A committed map and the first step that runs with it."""

    first_step: int
    expert_map: expertmaps.ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Committed maps in the order of their first steps."""

    items: tuple[ScheduledMap, ...]

    @property
    def newest(self) -> expertmaps.ExpertMap | None:
        """The most recently committed map."""
        return self.items[-1].expert_map if self.items else None

    @property
    def newest_first_step(self) -> int:
        """The first step of the newest map; 0 when there is none."""
        return self.items[-1].first_step if self.items else 0

    @property
    def maps(self) -> tuple[expertmaps.ExpertMap, ...]:
        """All maps that a step may still run with."""
        return tuple(item.expert_map for item in self.items)

    def append(self, first_step: int, expert_map: expertmaps.ExpertMap) -> "Schedule":
        """Returns the schedule with one more committed map."""
        return Schedule((*self.items, ScheduledMap(first_step, expert_map)))

    def drop_before(self, step: int) -> "Schedule":
        """Drops maps that are not used from ``step`` on.

        Otherwise a new coordinator would make ranks load the weights of the previous
        map again.
        """
        begun = [item for item in self.items if item.first_step <= step]
        later = [item for item in self.items if item.first_step > step]
        return Schedule((*begun[-1:], *later))

    def list_permits(
        self, group: str, epoch: int, first: int, last: int
    ) -> tuple[expertmaps.StepPermit, ...]:
        """Lists permits for steps ``first`` to ``last``."""
        ends = [item.first_step - 1 for item in self.items[1:]]
        permits = []
        for item, end in zip(self.items, [*ends, last][: len(self.items)], strict=True):
            begin, until = max(item.first_step, first), min(end, last)
            if begin <= until:
                version = item.expert_map.version
                permits.append(
                    expertmaps.StepPermit(group, epoch, version, begin, until)
                )
        return tuple(permits)


def read_schedule(record: groups.GroupRecord) -> Schedule:
    """Returns the schedule stored in a group's record."""
    return Schedule(
        tuple(
            ScheduledMap(stored.first_step, codec.unpack(stored.expert_map))
            for stored in record.maps
        )
    )

"""The replicated state of expert groups, and reports on map changes."""

import dataclasses

from lycheegauge.internal.protocol import changes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredMap:
    """A committed expert map; ``expert_map`` is packed."""

    version: int
    first_step: int
    epoch: int
    expert_map: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """A ``TakeEpoch`` request id and its first outcome."""

    request_id: str
    outcome: changes.EpochOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRecord:
    """The replicated state of one group; the newest map is last."""

    group: str
    epoch: int = 0
    holder: str = ""
    maps: tuple[StoredMap, ...] = ()
    answered: tuple[AnsweredRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EpochsSnapshot:
    """Snapshot of the ``epochs`` part of the replicated state."""

    records: tuple[GroupRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MapChangeReport:
    """The reason for and the cost of a map change, for ``explain``.

    A skew is the slowest rank's step time divided by the mean. ``bytes_to_move``
    is in bytes; ``stalled_steps`` is the time that the group waits, in steps.
    """

    group: str
    from_version: int
    to_version: int
    policy: str
    reason: str
    skew_before: float
    skew_after: float
    bytes_to_move: int
    moves: int
    stalled_steps: float

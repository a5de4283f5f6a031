"""The records of the journal's log file."""

import dataclasses

from lycheegauge.internal.protocol import agreement


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRecord:
    """One synced write.

    Entries from ``truncate_from`` on are removed, then ``entries`` are appended.
    A ``truncate_from`` of 0 removes none.
    """

    hard_state: agreement.HardState | None
    truncate_from: int
    entries: tuple[agreement.LogEntry, ...]

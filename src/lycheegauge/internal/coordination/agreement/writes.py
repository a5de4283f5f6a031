"""Batches data to be synced into one write at a time.

While a write is in progress, new data is collected for the next one, so that many
proposals share one sync. Messages that depend on a write are held until it is
synced.
"""

import dataclasses

from lycheegauge.internal.protocol import agreement


@dataclasses.dataclass(slots=True)
class _Write:
    """One write; ``last_index`` is the last log index after it is synced."""

    hard_state: agreement.HardState | None = None
    truncate_from: int = 0
    entries: list[agreement.LogEntry] = dataclasses.field(default_factory=list)
    snapshot: agreement.Snapshot | None = None
    restored: agreement.Snapshot | None = None
    held: list[agreement.Send] = dataclasses.field(default_factory=list)
    last_index: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (
            self.hard_state or self.truncate_from or self.entries or self.snapshot
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedWrite:
    """The actions that a finished write makes possible.

    Attributes:
        restored: A snapshot from the leader that is now synced, if any.
        held: The messages that waited for this write.
    """

    restored: agreement.Snapshot | None
    held: tuple[agreement.Send, ...]


class WriteQueue:
    """At most one write in progress, and the next one being collected.

    Attributes:
        synced_index: Entries of the current log up to this index are on disk.
    """

    def __init__(self, synced_index: int) -> None:
        self.synced_index = synced_index
        self._submitted_index = synced_index
        self._next = _Write()
        self._current: _Write | None = None

    @property
    def is_hard_state_synced(self) -> bool:
        """Whether the current term and vote are on disk."""
        current = self._current and self._current.hard_state
        return self._next.hard_state is None and current is None

    @property
    def is_idle(self) -> bool:
        """Whether no write is pending or in progress."""
        return self._current is None and self._next.is_empty

    def write_hard_state(self, hard_state: agreement.HardState) -> None:
        """Queues a write of the term and the vote."""
        self._next.hard_state = hard_state

    def append(self, entry: agreement.LogEntry) -> None:
        """Queues a write of an entry."""
        self._next.entries.append(entry)

    def truncate(self, first: int) -> None:
        """Queues the removal of all entries starting at ``first``."""
        kept = [entry for entry in self._next.entries if entry.index < first]
        self._next.entries = kept
        if first <= self._submitted_index:
            previous = self._next.truncate_from or first
            self._next.truncate_from = min(previous, first)
        self._limit_synced(first - 1)

    def store_snapshot(self, snapshot: agreement.Snapshot) -> None:
        """Queues a write of a snapshot of this replica's own state."""
        self._next.snapshot = snapshot

    def install_snapshot(self, snapshot: agreement.Snapshot, safe_index: int) -> None:
        """Queues a write of the leader's snapshot, which replaces the whole log."""
        self._next.snapshot = snapshot
        self._next.restored = snapshot
        self._next.entries = []
        self._next.truncate_from = 1
        self._limit_synced(safe_index)

    def hold(self, effect: agreement.Send) -> agreement.Send | None:
        """Holds a message until all data queued so far is synced.

        Returns:
            The message itself if no write is pending, otherwise ``None``.
        """
        if not self._next.is_empty:
            self._next.held.append(effect)
        elif self._current is not None:
            self._current.held.append(effect)
        else:
            return effect
        return None

    def start(self, last_index: int) -> agreement.Persist | None:
        """Starts the next write if one is queued and none is in progress."""
        if self._current is not None or self._next.is_empty:
            return None
        write, self._next = self._next, _Write()
        write.last_index = last_index
        self._submitted_index = last_index
        self._current = write
        return agreement.Persist(
            write.hard_state, write.truncate_from, tuple(write.entries), write.snapshot
        )

    def finish(self) -> FinishedWrite:
        """Completes the write in progress after it was synced."""
        write, self._current = self._current, None
        if write is None:
            return FinishedWrite(None, ())
        self.synced_index = max(self.synced_index, write.last_index)
        return FinishedWrite(write.restored, tuple(write.held))

    def _limit_synced(self, index: int) -> None:
        self.synced_index = min(self.synced_index, index)
        if self._current is not None:
            self._current.last_index = min(self._current.last_index, index)

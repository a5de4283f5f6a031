"""The in-memory log of a replica: entries after a base index, and memberships."""

import dataclasses

from lycheegauge.internal.protocol import agreement, codec

MAX_BATCH_ENTRIES = 512
MAX_BATCH_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _IndexedMembership:
    """A membership and the index of the log entry that introduced it."""

    index: int
    membership: agreement.Membership


class Log:
    """Holds the entries ``base_index + 1`` to ``last_index``.

    Of the entries up to ``base_index``, only the term and the membership at the
    base are kept. A membership takes effect when its entry is appended, not when it
    is committed (Ongaro 2014, section 4.1), so truncation reverts it.
    """

    def __init__(
        self, membership: agreement.Membership, stored: agreement.StoredState
    ) -> None:
        self.snapshot = stored.snapshot
        self.base_index = 0
        self.base_term = 0
        self._entries: list[agreement.LogEntry] = []
        self._memberships = [_IndexedMembership(0, membership)]
        if stored.snapshot is not None:
            self.reset(stored.snapshot)
        for entry in stored.entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> agreement.Membership:
        """The membership in effect."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """The index of the entry that introduced the membership in effect."""
        return self._memberships[-1].index

    @property
    def snapshot_index(self) -> int:
        """The last index covered by the snapshot, or 0 without a snapshot."""
        return self.snapshot.last_index if self.snapshot else 0

    def find_membership(self, index: int) -> agreement.Membership:
        """Returns the membership that was in effect at ``index``."""
        return next(
            item.membership
            for item in reversed(self._memberships)
            if item.index <= index or item is self._memberships[0]
        )

    def find_term(self, index: int) -> int | None:
        """Returns the term of the entry at ``index``, or ``None`` if it is absent."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def find_term_start(self, index: int) -> int:
        """Returns the first index in the log with the same term as ``index``."""
        term = self.find_term(index)
        while self.find_term(index - 1) == term and index - 1 > self.base_index:
            index -= 1
        return index

    def read_entries(self, first: int, last: int) -> tuple[agreement.LogEntry, ...]:
        """Returns the entries from ``first`` to ``last``, inclusive."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def read_batch(self, first: int) -> tuple[agreement.LogEntry, ...]:
        """Returns entries starting at ``first`` that fit into one message."""
        batch = self.read_entries(first, first + MAX_BATCH_ENTRIES - 1)
        size = 0
        for count, entry in enumerate(batch):
            size += len(entry.payload)
            if size > MAX_BATCH_BYTES and count:
                return batch[:count]
        return batch

    def append(self, entry: agreement.LogEntry) -> None:
        """Appends an entry, whose index must follow the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow last entry {self.last_index}"
            )
        self._entries.append(entry)
        if entry.kind is agreement.EntryKind.MEMBERSHIP:
            membership = codec.unpack(entry.payload)
            self._memberships.append(_IndexedMembership(entry.index, membership))

    def truncate(self, first: int) -> None:
        """Removes all entries starting at ``first``."""
        del self._entries[first - self.base_index - 1 :]
        while self._memberships[-1].index >= first and len(self._memberships) > 1:
            self._memberships.pop()

    def compact(self, snapshot: agreement.Snapshot, trailing: int) -> None:
        """Drops entries covered by a snapshot, except for the last ``trailing`` ones.

        A replica that is slightly behind can catch up from the trailing entries
        and does not need the whole snapshot.
        """
        self.snapshot = snapshot
        base = snapshot.last_index - trailing
        if base <= self.base_index:
            return
        base_term = self.find_term(base)
        assert base_term is not None
        base_membership = _IndexedMembership(base, self.find_membership(base))
        later = [item for item in self._memberships if item.index > base]
        del self._entries[: base - self.base_index]
        self.base_index, self.base_term = base, base_term
        self._memberships = [base_membership, *later]

    def reset(self, snapshot: agreement.Snapshot) -> None:
        """Replaces the whole log with a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.last_index
        self.base_term = snapshot.last_term
        self._entries = []
        self._memberships = [
            _IndexedMembership(snapshot.last_index, snapshot.membership)
        ]

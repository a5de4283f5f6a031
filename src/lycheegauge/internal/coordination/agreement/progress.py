"""The leader's record of one other replica's replication progress."""

import dataclasses

from lycheegauge.internal.protocol import agreement

MAX_UNACKNOWLEDGED_ENTRIES = 4096


@dataclasses.dataclass(slots=True)
class Progress:
    """The last synced entry of a replica, and when it last answered.

    Attributes:
        next_index: The index of the next entry to send.
        synced_index: The index of the last entry known to be on the replica's disk.
        last_contact: When the replica last answered, in seconds.
        round_id: The highest heartbeat round that the replica answered.
        is_probing: Whether the leader is searching for the last entry that both logs
            share. Messages are then sent one at a time.
        snapshot_index: The last index of a snapshot that was sent and is not yet
            acknowledged, or 0 if there is none.
        snapshot_sent_at: When that snapshot was sent, in seconds.
    """

    next_index: int
    last_contact: float
    synced_index: int = 0
    round_id: int = 0
    is_probing: bool = False
    snapshot_index: int = 0
    snapshot_sent_at: float = 0.0

    @property
    def is_blocked(self) -> bool:
        """Whether no more entries may be sent until the replica answers."""
        unacknowledged = self.next_index - 1 - self.synced_index
        is_full = unacknowledged >= MAX_UNACKNOWLEDGED_ENTRIES
        return self.is_probing or is_full or self.snapshot_index > 0

    def record_snapshot(self, snapshot_index: int, now: float) -> None:
        """Records that a snapshot was sent."""
        self.snapshot_index = snapshot_index
        self.snapshot_sent_at = now
        self.next_index = snapshot_index + 1
        self.is_probing = False

    def record_accepted(self, reply: agreement.AppendReply) -> None:
        """Records an accepted reply: its entries are on the replica's disk."""
        self.synced_index = max(self.synced_index, reply.synced_index)
        if self.synced_index >= self.snapshot_index:
            self.snapshot_index = 0
        if self.snapshot_index:
            return
        if self.is_probing or self.next_index <= self.synced_index:
            self.next_index = self.synced_index + 1
        self.is_probing = False

    def record_rejected(self, reply: agreement.AppendReply) -> bool:
        """Records a rejected reply: the replica's log did not match.

        Returns:
            Whether to send again from the lower ``next_index``.
        """
        if self.snapshot_index:
            return False
        retry_index = max(reply.synced_index, self.synced_index) + 1
        moved = retry_index < self.next_index
        self.next_index = min(retry_index, self.next_index)
        self.is_probing = self.is_probing or moved
        return moved

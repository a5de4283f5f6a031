"""The follower role: accepts entries and snapshots from the leader."""

from lycheegauge.internal.coordination.agreement import core as shared
from lycheegauge.internal.protocol import agreement


class Follower:
    """Stores the leader's entries and acknowledges them after they are synced."""

    def __init__(self, core: shared.Core) -> None:
        self._core = core

    def receive_entries(self, request: agreement.AppendRequest) -> None:
        """Appends the leader's entries if this log matches the entry before them."""
        if not self._matches_log(request):
            self._reject(request)
            return
        is_written = False
        for entry in request.entries:
            if self._is_new(entry):
                self._core.store(entry)
                is_written = True
        matched = request.previous_index + len(request.entries)
        self._acknowledge(request.sender, matched, request.round_id, is_written)
        self._core.advance_commit(min(request.commit_index, matched))

    def receive_snapshot(self, request: agreement.SnapshotRequest) -> None:
        """Replaces this log with the leader's snapshot, unless it is up to date.

        A delayed snapshot may arrive when this log already extends beyond it.
        Replacing the log in that case dropped entries that this replica had
        acknowledged.
        """
        core = self._core
        snapshot = request.snapshot
        covered = snapshot.last_index
        if core.log.find_term(covered) == snapshot.last_term:
            core.advance_commit(covered)
        elif covered > max(core.commit_index, core.log.snapshot_index):
            core.log.reset(snapshot)
            core.writes.install_snapshot(snapshot, core.commit_index)
        self._acknowledge(request.sender, covered, request.round_id, True)

    def reject_stale_leader(
        self, request: agreement.AppendRequest | agreement.SnapshotRequest
    ) -> None:
        """Rejects a request from a leader of an older term with the current term."""
        core = self._core
        reply = agreement.AppendReply(core.identity, core.term, False, 0, 0)
        core.send_after_sync(request.sender, reply)

    def _matches_log(self, request: agreement.AppendRequest) -> bool:
        if request.previous_index <= self._core.commit_index:
            return True
        term = self._core.log.find_term(request.previous_index)
        return term == request.previous_term

    def _is_new(self, entry: agreement.LogEntry) -> bool:
        core = self._core
        covered = max(core.commit_index, core.log.base_index)
        return entry.index > covered and core.log.find_term(entry.index) != entry.term

    def _acknowledge(
        self, leader: agreement.Voter, matched: int, round_id: int, is_written: bool
    ) -> None:
        """Acknowledges synced entries immediately and the others after their sync.

        The heartbeat is answered while entries still wait for their sync, so that
        the leader does not take a slow disk for a failed host.
        """
        core = self._core
        synced = min(matched, core.writes.synced_index)
        if core.writes.is_hard_state_synced and synced < matched:
            early = agreement.AppendReply(
                core.identity, core.term, True, synced, round_id
            )
            core.send(leader, early)
            if not is_written:
                return
        reply = agreement.AppendReply(core.identity, core.term, True, matched, round_id)
        core.send_after_sync(leader, reply)

    def _reject(self, request: agreement.AppendRequest) -> None:
        """Rejects entries that do not match this log and returns where to retry.

        All entries of the conflicting term are skipped in one step (Ongaro 2014,
        section 3.5).
        """
        core = self._core
        retry_index = min(request.previous_index - 1, core.log.last_index)
        if core.log.find_term(request.previous_index) is not None:
            retry_index = core.log.find_term_start(request.previous_index) - 1
        retry_index = max(retry_index, core.commit_index)
        reply = agreement.AppendReply(
            core.identity, core.term, False, retry_index, request.round_id
        )
        core.send_after_sync(request.sender, reply)

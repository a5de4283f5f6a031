"""The leader role: replication, commits, reads and membership changes."""

from lycheegauge.internal.coordination.agreement import core as shared
from lycheegauge.internal.coordination.agreement import (
    memberships,
    progress,
    quorum,
    reads,
    refusals,
)
from lycheegauge.internal.protocol import agreement, codec

SNAPSHOT_RESEND_S = 3.0


class Leadership:
    """The leader state of one replica for one term."""

    def __init__(self, core: shared.Core, now: float) -> None:
        self._core = core
        self._progress: dict[agreement.Voter, progress.Progress] = {}
        self._proposals: dict[int, str] = {}
        self._reads = reads.ReadQueue()
        self._round_id = 0
        self._round_sent_at = now
        self._announced_commit = 0
        self._sent_at = now
        core.leader = core.identity
        self._term_start = core.append(agreement.EntryKind.TERM_START, b"")
        self._track_members(now)
        self._send_round(now)

    @property
    def peers(self) -> dict[agreement.Voter, progress.Progress]:
        """The replication progress of each other member."""
        return self._progress

    @property
    def is_first(self) -> bool:
        """Whether no leader before this one has committed anything.

        What is committed is in the log of every later leader, and a leader's first
        commit is the entry that starts its term. If that is the first entry of this
        log, there is none of an earlier leader.
        """
        return self._term_start == 1

    @property
    def is_term_started(self) -> bool:
        """Whether an entry of the leader's own term is committed."""
        return self._core.commit_index >= self._term_start

    def tick(self, now: float) -> bool:
        """Sends heartbeats and commit notices that are due.

        Returns:
            Whether a quorum still answers. If not, the leader must step down.
        """
        if not self.has_quorum(self._core.membership, now):
            return False
        since_round = now - self._round_sent_at
        read_due = since_round >= self._core.timing.read_interval_s
        read_due = read_due and self._reads.needs_round(self._round_id)
        if read_due or since_round >= self._core.timing.heartbeat_s:
            self._send_round(now)
        elif self._announced_commit < self._core.commit_index:
            if now - self._sent_at >= self._core.timing.commit_notice_s:
                self._send_entries(now, with_empty=True)
        return True

    def has_quorum(self, membership: agreement.Membership, now: float) -> bool:
        """Tells whether a quorum answered within the minimum election timeout."""
        since = now - self._core.timing.election_min_s
        responsive = [
            voter for voter in membership.voters if self._is_responsive(voter, since)
        ]
        return len(responsive) >= quorum.count_quorum(len(membership.voters))

    def propose(self, proposals: list[tuple[str, bytes]], now: float) -> None:
        """Appends changes to the log and replicates them."""
        for proposal_id, payload in proposals:
            index = self._core.append(agreement.EntryKind.CHANGE, payload)
            self._proposals[index] = proposal_id
        self._send_entries(now)

    def propose_membership(
        self, proposal_id: str, membership: agreement.Membership, now: float
    ) -> refusals.Refusal | None:
        """Appends a membership, which takes effect immediately, or refuses it."""
        refusal = self._find_refusal(membership, now)
        if refusal is not None:
            return refusal
        payload = codec.pack(membership)
        index = self._core.append(agreement.EntryKind.MEMBERSHIP, payload)
        self._proposals[index] = proposal_id
        self._track_members(now)
        self._send_entries(now)
        return None

    def read(self, read_id: str, now: float) -> None:
        """Starts a read; a heartbeat round sent after this call must confirm it."""
        self._reads.add(read_id, self._round_id + 1)
        if now - self._round_sent_at >= self._core.timing.read_interval_s:
            self._send_round(now)
        self._finish_reads()

    def handle_reply(self, reply: agreement.AppendReply, now: float) -> None:
        """Updates the sender's replication progress and commits what it allows."""
        peer = self._progress[reply.sender]
        peer.last_contact = now
        peer.round_id = max(peer.round_id, reply.round_id)
        if reply.accepted:
            peer.record_accepted(reply)
            self.advance()
            if peer.next_index <= self._core.log.last_index:
                self._send_to(reply.sender, now, with_empty=False)
        elif peer.record_rejected(reply):
            self._probe(reply.sender, now)
        self._finish_reads()

    def advance(self) -> None:
        """Commits entries that a quorum has synced and reports finished proposals.

        Only entries of the leader's own term are committed by counting replicas;
        this also commits all entries before them (Ongaro 2014, section 3.6.2).
        """
        core = self._core
        reached = quorum.find_quorum_value(
            self._find_synced(voter) for voter in core.membership.voters
        )
        if core.log.find_term(reached) == core.term:
            core.advance_commit(reached)
        while self._proposals and next(iter(self._proposals)) <= core.commit_index:
            index = next(iter(self._proposals))
            core.emit(agreement.ProposalDone(self._proposals.pop(index), index))
        self._finish_reads()

    def step_down(self) -> None:
        """Fails all pending proposals and reads because leadership was lost."""
        lost = refusals.Refusal.LEADERSHIP_LOST
        for proposal_id in self._proposals.values():
            self._core.emit(agreement.ProposalDone(proposal_id, 0, lost))
        for read_id in self._reads.pop_all():
            self._core.emit(agreement.ReadDone(read_id, 0, lost))
        self._proposals.clear()

    def is_removed(self) -> bool:
        """Tells whether a committed membership excludes this leader."""
        core = self._core
        committed = core.log.membership_index <= core.commit_index
        return committed and not core.is_voter

    def announce_commit(self, now: float) -> None:
        """Sends the commit index to all members immediately."""
        self._send_entries(now, with_empty=True)

    def list_responsive(self, since: float) -> frozenset[agreement.Voter]:
        """Lists the members, this leader included, that answered after ``since``."""
        members = [self._core.identity, *self._progress]
        return frozenset(
            member for member in members if self._is_responsive(member, since)
        )

    def list_caught_up(self) -> frozenset[agreement.Voter]:
        """Lists the learners that have synced the log up to the commit index."""
        return frozenset(
            learner
            for learner in self._core.membership.learners
            if self._find_synced(learner) >= self._core.commit_index
        )

    def _find_refusal(
        self, membership: agreement.Membership, now: float
    ) -> refusals.Refusal | None:
        if not self.is_term_started:
            return refusals.Refusal.TERM_NOT_STARTED
        if self._core.log.membership_index > self._core.commit_index:
            return refusals.Refusal.CHANGE_PENDING
        refusal = memberships.find_refusal(
            self._core.membership, membership, self.list_caught_up()
        )
        if refusal is None and not self.has_quorum(membership, now):
            return refusals.Refusal.QUORUM_SILENT
        return refusal

    def _is_responsive(self, voter: agreement.Voter, since: float) -> bool:
        if voter == self._core.identity:
            return True
        peer = self._progress.get(voter)
        return peer is not None and peer.last_contact > since

    def _find_synced(self, voter: agreement.Voter) -> int:
        if voter == self._core.identity:
            return self._core.writes.synced_index
        peer = self._progress.get(voter)
        return peer.synced_index if peer else 0

    def _find_round(self, voter: agreement.Voter) -> int:
        if voter == self._core.identity:
            return self._round_id
        peer = self._progress.get(voter)
        return peer.round_id if peer else 0

    def _finish_reads(self) -> None:
        if not self.is_term_started:
            return
        voters = self._core.membership.voters
        confirmed = quorum.find_quorum_value(map(self._find_round, voters))
        for read_id in self._reads.pop_confirmed(confirmed):
            self._core.emit(agreement.ReadDone(read_id, self._core.commit_index))

    def _track_members(self, now: float) -> None:
        membership = self._core.membership
        members = {*membership.voters, *membership.learners} - {self._core.identity}
        log_end = self._core.log.last_index
        for member in sorted(members - self._progress.keys(), key=str):
            self._progress[member] = progress.Progress(log_end, now)
        for member in self._progress.keys() - members:
            del self._progress[member]

    def _send_round(self, now: float) -> None:
        self._round_id += 1
        self._round_sent_at = now
        self._send_entries(now, with_empty=True)

    def _send_entries(self, now: float, with_empty: bool = False) -> None:
        self._announced_commit = self._core.commit_index
        self._sent_at = now
        for member in self._progress:
            self._send_to(member, now, with_empty)

    def _send_to(self, member: agreement.Voter, now: float, with_empty: bool) -> None:
        peer = self._progress[member]
        if self._needs_snapshot(peer, now):
            self._send_snapshot(member, now)
            return
        has_entries = peer.next_index <= self._core.log.last_index
        has_entries = has_entries and not peer.is_blocked
        if not has_entries and not with_empty:
            return
        entries = self._core.log.read_batch(peer.next_index) if has_entries else ()
        self._send_append(member, entries)
        peer.next_index += len(entries)

    def _probe(self, member: agreement.Voter, now: float) -> None:
        """Sends entries from the next index to try; the reply shows if they match."""
        peer = self._progress[member]
        if self._needs_snapshot(peer, now):
            self._send_snapshot(member, now)
            return
        self._send_append(member, self._core.log.read_batch(peer.next_index))

    def _needs_snapshot(self, peer: progress.Progress, now: float) -> bool:
        if peer.next_index <= self._core.log.base_index:
            return True
        is_late = now - peer.snapshot_sent_at >= SNAPSHOT_RESEND_S
        return peer.snapshot_index > 0 and is_late

    def _send_append(
        self, member: agreement.Voter, entries: tuple[agreement.LogEntry, ...]
    ) -> None:
        core = self._core
        previous = self._progress[member].next_index - 1
        previous_term = core.log.find_term(previous)
        assert previous_term is not None
        request = agreement.AppendRequest(
            core.identity,
            core.term,
            previous,
            previous_term,
            entries,
            core.known_commit_index,
            self._round_id,
        )
        core.send(member, request)

    def _send_snapshot(self, member: agreement.Voter, now: float) -> None:
        core = self._core
        snapshot = core.log.snapshot
        assert snapshot is not None
        self._progress[member].record_snapshot(snapshot.last_index, now)
        request = agreement.SnapshotRequest(
            core.identity, core.term, snapshot, self._round_id
        )
        core.send(member, request)

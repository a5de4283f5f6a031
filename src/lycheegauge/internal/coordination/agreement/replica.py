"""One replica of the replicated log, without I/O.

Implements Raft (Ongaro and Ousterhout 2014; Ongaro's dissertation 2014) with
pre-vote, a quorum check by the leader, reads confirmed by a quorum, learners and
single-voter membership changes. The input is messages and the current time; the
output is effects that the caller performs.
"""

import random

from lycheegauge.internal.coordination.agreement import (
    core,
    election,
    following,
    leadership,
    refusals,
    repair,
    timing,
)
from lycheegauge.internal.protocol import agreement

TRAILING_ENTRIES = 256


class Replica:
    """One replica of the log.

    Args:
        stored: The state read from the data folder.
        membership: The initial membership; a stored membership takes precedence.
        timing: Timeouts and intervals.
        random: The random generator for election timeouts.
        now: Seconds on a monotonic clock.
    """

    def __init__(
        self,
        stored: agreement.StoredState,
        membership: agreement.Membership,
        timing: timing.Timing,
        random: random.Random,
        now: float,
    ) -> None:
        self._core = core.Core(stored, membership, timing, random)
        self._election = election.Election(self._core, now)
        self._follower = following.Follower(self._core)
        self._leadership: leadership.Leadership | None = None
        self._nonmembers: dict[str, agreement.Voter] = {}

    @property
    def identity(self) -> agreement.Voter:
        """This replica's identity."""
        return self._core.identity

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self._leadership is not None

    @property
    def is_first_leader(self) -> bool:
        """Whether this replica leads, and no leader before has committed anything."""
        return self._leadership is not None and self._leadership.is_first

    @property
    def leader(self) -> agreement.Voter | None:
        """The known leader, which may be this replica itself."""
        return self._core.leader

    @property
    def term(self) -> int:
        """The current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """The last index that is committed, synced and applied on this replica."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """The index of the last entry in the log."""
        return self._core.log.last_index

    @property
    def snapshot_index(self) -> int:
        """The last index covered by the snapshot."""
        return self._core.log.snapshot_index

    @property
    def membership(self) -> agreement.Membership:
        """The membership in effect."""
        return self._core.membership

    def describe_contacts(self, now: float) -> repair.Contacts | None:
        """Returns the leader's input for repair decisions; ``None`` on a follower."""
        if self._leadership is None:
            return None
        peers = self._leadership.peers
        recent = self._leadership.list_responsive(
            now - self._core.timing.election_min_s
        )
        kept = self._leadership.list_responsive(now - self._core.timing.replace_after_s)
        nonmembers = [item for item in self._nonmembers.values() if item not in peers]
        return repair.Contacts(
            self.membership,
            recent,
            (frozenset(peers) - kept) | self._list_wiped(nonmembers),
            self._leadership.list_caught_up(),
            tuple(nonmembers),
        )

    def _list_wiped(
        self, nonmembers: list[agreement.Voter]
    ) -> frozenset[agreement.Voter]:
        """Lists the voters whose host now runs with another disk.

        A host has exactly one data folder, so the old identity cannot return and
        is replaced without waiting for ``replace_after_s``.
        """
        successors = {item.host: item for item in self.membership.learners}
        successors.update({item.host: item for item in nonmembers})
        return frozenset(
            voter
            for voter in self.membership.voters
            if voter.host in successors and voter != self.identity
        )

    def set_announce_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sets hosts, besides the voters, to which a non-member announces itself."""
        self._core.announce_hosts = hosts

    def receive(self, message: agreement.Message, now: float) -> list[agreement.Effect]:
        """Processes a message from another replica."""
        match message:
            case agreement.VoteRequest():
                self._record_nonmember(message.sender)
                self._election.answer_request(message, now)
            case agreement.VoteReply():
                self._handle_vote(message, now)
            case agreement.AppendReply():
                self._handle_reply(message, now)
            case agreement.AppendRequest() | agreement.SnapshotRequest():
                self._handle_request(message, now)
        return self._finish(now)

    def tick(self, now: float) -> list[agreement.Effect]:
        """Performs the time-driven work that is due."""
        if self._leadership is None:
            self._election.tick(now)
        elif not self._leadership.tick(now):
            self._step_down(now)
        return self._finish(now)

    def propose(
        self, proposal_id: str, payload: bytes, now: float
    ) -> list[agreement.Effect]:
        """Proposes one change; see ``propose_batch``."""
        return self.propose_batch([(proposal_id, payload)], now)

    def propose_batch(
        self, proposals: list[tuple[str, bytes]], now: float
    ) -> list[agreement.Effect]:
        """Proposes changes that share one write and one message to each member.

        Each proposal ends with a ``ProposalDone`` when it is committed or fails.
        """
        if self._leadership is None:
            for proposal_id, _ in proposals:
                self._refuse(proposal_id, refusals.Refusal.NOT_LEADER)
        else:
            self._leadership.propose(proposals, now)
        return self._finish(now)

    def propose_membership(
        self, proposal_id: str, membership: agreement.Membership, now: float
    ) -> list[agreement.Effect]:
        """Proposes a membership that differs by at most one voter."""
        refusal: refusals.Refusal | None = refusals.Refusal.NOT_LEADER
        if self._leadership is not None:
            refusal = self._leadership.propose_membership(proposal_id, membership, now)
        if refusal is not None:
            self._refuse(proposal_id, refusal)
        return self._finish(now)

    def read(self, read_id: str, now: float) -> list[agreement.Effect]:
        """Requests a commit index that a quorum confirms to be current."""
        if self._leadership is None:
            refusal = refusals.Refusal.NOT_LEADER
            self._core.emit(agreement.ReadDone(read_id, 0, refusal))
        else:
            self._leadership.read(read_id, now)
        return self._finish(now)

    def report_synced(self, now: float) -> list[agreement.Effect]:
        """Reports that the last returned ``Persist`` is synced to disk."""
        self._core.finish_write()
        if self._election.count_own_vote():
            self._become_leader(now)
        return self._finish(now)

    def store_snapshot(
        self, state: bytes, now: float, trailing: int = TRAILING_ENTRIES
    ) -> list[agreement.Effect]:
        """Stores a snapshot at the commit index and drops old entries.

        Args:
            state: The serialized state after the last returned ``Apply``.
            now: Seconds on a monotonic clock.
            trailing: How many entries covered by the snapshot stay in memory for
                replicas that are slightly behind.
        """
        log = self._core.log
        index = self._core.commit_index
        term = log.find_term(index)
        if term is not None and index > log.snapshot_index:
            membership = log.find_membership(index)
            snapshot = agreement.Snapshot(index, term, membership, state)
            log.compact(snapshot, trailing)
            self._core.writes.store_snapshot(snapshot)
        return self._finish(now)

    def _handle_request(
        self,
        request: agreement.AppendRequest | agreement.SnapshotRequest,
        now: float,
    ) -> None:
        if request.term < self._core.term:
            self._follower.reject_stale_leader(request)
            return
        self._follow(request.sender, request.term, now)
        if isinstance(request, agreement.AppendRequest):
            self._follower.receive_entries(request)
        else:
            self._follower.receive_snapshot(request)

    def _follow(self, leader: agreement.Voter, term: int, now: float) -> None:
        if term > self._core.term:
            self._core.adopt_term(term)
            self._end_old_leadership()
        self._core.leader = leader
        self._core.last_leader_contact = now
        self._election.restart_timeout(now)

    def _handle_vote(self, reply: agreement.VoteReply, now: float) -> None:
        if not reply.granted and reply.term > self._core.term:
            self._adopt_higher_term(reply.term, now)
        elif self._leadership is None and self._election.count_vote(reply):
            self._become_leader(now)

    def _handle_reply(self, reply: agreement.AppendReply, now: float) -> None:
        if self._leadership is None:
            return
        if reply.sender not in self._leadership.peers:
            self._record_nonmember(reply.sender)
        elif reply.term > self._core.term:
            self._adopt_higher_term(reply.term, now)
        elif reply.term == self._core.term:
            self._leadership.handle_reply(reply, now)

    def _record_nonmember(self, sender: agreement.Voter) -> None:
        """Records a replica that contacted this leader and is not a member."""
        if self._leadership is not None and sender not in self._leadership.peers:
            self._nonmembers[sender.host] = sender

    def _adopt_higher_term(self, term: int, now: float) -> None:
        self._core.adopt_term(term)
        self._end_old_leadership()
        self._election.restart_timeout(now)

    def _become_leader(self, now: float) -> None:
        self._election.restart_timeout(now)
        self._nonmembers.clear()
        self._leadership = leadership.Leadership(self._core, now)

    def _end_old_leadership(self) -> None:
        """Ends leadership unless this replica is still the current leader."""
        if self._leadership is not None and self._core.leader != self._core.identity:
            self._leadership.step_down()
            self._leadership = None

    def _step_down(self, now: float) -> None:
        self._core.leader = None
        self._end_old_leadership()
        self._election.restart_timeout(now)

    def _refuse(self, proposal_id: str, refusal: refusals.Refusal) -> None:
        self._core.emit(agreement.ProposalDone(proposal_id, 0, refusal))

    def _finish(self, now: float) -> list[agreement.Effect]:
        if self._leadership is not None:
            self._leadership.advance()
            if self._leadership.is_removed():
                self._leadership.announce_commit(now)
                self._step_down(now)
        return self._core.drain_effects()

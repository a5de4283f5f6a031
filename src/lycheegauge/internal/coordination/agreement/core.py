"""State shared by all roles of a replica: term, vote, log, commit index, effects."""

import random

from lycheegauge.internal.coordination.agreement import log, timing, writes
from lycheegauge.internal.protocol import agreement


class Core:
    """The state of one replica, independent of its current role.

    A replica applies an entry only when the entry is committed and also synced to
    its own disk. After a restart, every entry that it had applied is still on disk.

    Attributes:
        known_commit_index: The highest index known to be committed by the quorum.
        commit_index: The highest index that is committed, synced and applied on
            this replica.
        last_leader_contact: When the last request from the leader arrived, in seconds.
        announce_hosts: Hosts, besides the known voters, to which a replica that is not
            a member announces itself.
    """

    def __init__(
        self,
        stored: agreement.StoredState,
        membership: agreement.Membership,
        limits: timing.Timing,
        generator: random.Random,
    ) -> None:
        self.identity = stored.identity
        self.timing = limits
        self.random = generator
        self.log = log.Log(membership, stored)
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        if self.term < self.log.last_term:
            # A crash after the snapshot and before the log was replaced leaves the
            # older term on disk. No vote was cast in the newer term before that.
            self.term, self.voted_for = self.log.last_term, None
        self.writes = writes.WriteQueue(self.log.last_index)
        self.known_commit_index = self.log.snapshot_index
        self.commit_index = self.log.snapshot_index
        self.leader: agreement.Voter | None = None
        self.last_leader_contact = float("-inf")
        self.announce_hosts: tuple[str, ...] = ()
        self._effects: list[agreement.Effect] = []

    @property
    def membership(self) -> agreement.Membership:
        """The membership in effect."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.identity in self.membership.voters

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may become a candidate.

        This includes a replica whose removal is not known to be committed. Its log
        may be the only one that is complete enough to win the election (Ongaro
        2014, section 4.2.2). Its own vote does not count in that case.
        """
        known = self.log.find_membership(self.commit_index)
        return self.is_voter or self.identity in known.voters

    def emit(self, effect: agreement.Effect) -> None:
        """Queues an effect."""
        self._effects.append(effect)

    def send(self, receiver: agreement.Voter, message: agreement.Message) -> None:
        """Sends a message without waiting for pending writes."""
        self.emit(agreement.Send(receiver, message))

    def send_after_sync(
        self, receiver: agreement.Voter, message: agreement.Message
    ) -> None:
        """Sends a message after all writes queued so far are synced."""
        effect = self.writes.hold(agreement.Send(receiver, message))
        if effect is not None:
            self.emit(effect)

    def append(self, kind: agreement.EntryKind, payload: bytes) -> int:
        """Appends an entry of the current term and returns its index."""
        index = self.log.last_index + 1
        self.store(agreement.LogEntry(index, self.term, kind, payload))
        return index

    def store(self, entry: agreement.LogEntry) -> None:
        """Appends an entry and first truncates entries that conflict with it."""
        if entry.index <= self.log.last_index:
            if entry.index <= self.commit_index:
                raise ValueError(
                    f"entry {entry.index} is committed and cannot be replaced"
                )
            self.log.truncate(entry.index)
            self.writes.truncate(entry.index)
        self.log.append(entry)
        self.writes.append(entry)

    def adopt_term(self, term: int, voted_for: agreement.Voter | None = None) -> None:
        """Enters a higher term, or records a vote in the current term."""
        if term > self.term:
            self.leader = None
        self.term = term
        self.voted_for = voted_for
        self.writes.write_hard_state(agreement.HardState(term, voted_for))

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Tells whether a candidate's log is at least as up to date as this one."""
        own = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own

    def advance_commit(self, index: int) -> None:
        """Applies entries committed by the quorum and synced on this replica."""
        self.known_commit_index = max(self.known_commit_index, index)
        reached = min(self.known_commit_index, self.writes.synced_index)
        if reached <= self.commit_index:
            return
        entries = self.log.read_entries(self.commit_index + 1, reached)
        self.commit_index = reached
        self.emit(agreement.Apply(entries))

    def finish_write(self) -> None:
        """Completes the write that is now synced and releases its held messages."""
        finished = self.writes.finish()
        if finished.restored is not None:
            self.commit_index = finished.restored.last_index
            self.known_commit_index = max(self.known_commit_index, self.commit_index)
            self.emit(agreement.Restore(finished.restored))
        for effect in finished.held:
            if effect.message.term == self.term or self._is_refusal(effect):
                self.emit(effect)
        self.advance_commit(self.known_commit_index)

    def drain_effects(self) -> list[agreement.Effect]:
        """Returns and clears the queued effects; the next write, if any, is last."""
        persist = self.writes.start(self.log.last_index)
        if persist is not None:
            self.emit(persist)
        effects, self._effects = self._effects, []
        return effects

    @staticmethod
    def _is_refusal(effect: agreement.Send) -> bool:
        message = effect.message
        return isinstance(message, agreement.AppendReply) and not message.accepted

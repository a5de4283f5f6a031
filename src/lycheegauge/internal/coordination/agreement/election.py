"""Leader election: election timeout, pre-vote and votes."""

from lycheegauge.internal.coordination.agreement import core as shared
from lycheegauge.internal.coordination.agreement import quorum
from lycheegauge.internal.protocol import agreement


class Election:
    """Starts elections, answers vote requests and counts votes.

    A candidate first runs a pre-vote (Ongaro 2014, section 9.6), which does not
    raise its term. This keeps a replica that was partitioned from deposing a
    working leader when it returns. A replica that heard from a leader within the
    minimum election timeout grants no vote (section 4.2.3).
    """

    def __init__(self, core: shared.Core, now: float) -> None:
        self._core = core
        self._votes: set[agreement.Voter] = set()
        self._requested_pre_vote = False
        self._requested_term = 0
        self._deadline = now
        self.is_campaigning = False
        # A live leader is heard from within one heartbeat interval, so a replica
        # that has just started may use a shorter election timeout. Pre-votes protect
        # the live leader.
        limits = core.timing
        self._deadline = now + core.random.uniform(
            limits.first_election_min_s, limits.first_election_max_s
        )
        if not core.may_campaign:
            self._deadline = now

    def restart_timeout(self, now: float) -> None:
        """Restarts the election timeout and abandons an election in progress."""
        limits = self._core.timing
        wait = self._core.random.uniform(limits.election_min_s, limits.election_max_s)
        self._deadline = now + wait
        self.is_campaigning = False
        self._votes.clear()

    def tick(self, now: float) -> None:
        """Starts an election if the election timeout has expired."""
        if now < self._deadline:
            return
        self.restart_timeout(now)
        self._core.leader = None
        if self._core.may_campaign:
            self._campaign(pre_vote=True)
        else:
            self._announce()
            self._deadline = now + self._core.timing.heartbeat_s

    def answer_request(self, request: agreement.VoteRequest, now: float) -> None:
        """Answers a vote or pre-vote request."""
        core = self._core
        if self._has_live_leader(now):
            if request.pre_vote:
                self._reply(request, granted=False)
            return
        up_to_date = core.is_up_to_date(request.last_term, request.last_index)
        if request.pre_vote:
            self._reply(request, granted=up_to_date and request.term > core.term)
            return
        if request.term > core.term:
            self.restart_timeout(now)
            core.adopt_term(request.term)
        free = core.voted_for in (None, request.sender)
        granted = request.term == core.term and free and up_to_date
        if granted:
            self.restart_timeout(now)
            core.adopt_term(request.term, request.sender)
        self._reply(request, granted)

    def count_vote(self, reply: agreement.VoteReply) -> bool:
        """Counts a vote reply.

        Returns:
            Whether this vote elected the replica as leader.
        """
        if not self.is_campaigning or reply.pre_vote is not self._requested_pre_vote:
            return False
        if not reply.granted or reply.term != self._requested_term:
            return False
        return self._add_vote(reply.sender)

    def count_own_vote(self) -> bool:
        """Counts this replica's vote for itself after that vote is synced."""
        if not self.is_campaigning or self._requested_pre_vote:
            return False
        if not self._core.writes.is_hard_state_synced:
            return False
        return self._add_vote(self._core.identity)

    def _add_vote(self, voter: agreement.Voter) -> bool:
        voters = self._core.membership.voters
        if voter in voters:
            self._votes.add(voter)
        if len(self._votes) < quorum.count_quorum(len(voters)):
            return False
        if not self._requested_pre_vote:
            return True
        self._campaign(pre_vote=False)
        return False

    def _campaign(self, pre_vote: bool) -> None:
        core = self._core
        self._votes.clear()
        self.is_campaigning = True
        self._requested_pre_vote = pre_vote
        self._requested_term = core.term + 1
        if not pre_vote:
            core.adopt_term(self._requested_term, core.identity)
        request = agreement.VoteRequest(
            core.identity,
            self._requested_term,
            core.log.last_index,
            core.log.last_term,
            pre_vote,
        )
        send = core.send if pre_vote else core.send_after_sync
        for voter in core.membership.voters:
            if voter != core.identity:
                send(voter, request)
        if pre_vote:
            self._add_vote(core.identity)

    def _announce(self) -> None:
        """Announces this replica, which is not a voter, to the known voters.

        This is how the leader learns the new identity of a host whose disk was
        wiped.
        """
        core = self._core
        notice = agreement.AppendReply(
            core.identity, core.term, False, core.writes.synced_index, 0
        )
        known = {voter.host: voter for voter in core.membership.voters}
        for host in core.announce_hosts:
            known.setdefault(host, agreement.Voter(host, ""))
        known.pop(core.identity.host, None)
        for voter in known.values():
            core.send(voter, notice)

    def _has_live_leader(self, now: float) -> bool:
        core = self._core
        if core.leader == core.identity:
            return True
        recent = now - core.last_leader_contact < core.timing.election_min_s
        return core.leader is not None and recent

    def _reply(self, request: agreement.VoteRequest, granted: bool) -> None:
        core = self._core
        term = request.term if granted else core.term
        reply = agreement.VoteReply(core.identity, term, granted, request.pre_vote)
        if request.pre_vote:
            core.send(request.sender, reply)
        else:
            core.send_after_sync(request.sender, reply)

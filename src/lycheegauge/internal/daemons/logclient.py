"""The client with which an entry host finds and calls the log's leader."""

import asyncio
import typing
import uuid

from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import changes, codec, freshness, proposals
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

PROPOSAL_TIMEOUT_S = 5.0
ATTEMPT_TIMEOUT_S = 2.0
PULL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
REPLACEMENT_TIMEOUT_S = 9.0


class LogClient:
    """Calls the last known leader and tries the other replicas when it fails."""

    def __init__(self, pool: peers.ChannelPool, hosts: typing.Sequence[str]) -> None:
        self._pool = pool
        self._hosts = list(hosts)
        self._current = 0

    @property
    def address(self) -> str:
        """The replica that the next call goes to."""
        return self._hosts[self._current % len(self._hosts)]

    def follow_hint(self, leader_address: str) -> None:
        """Switches to the leader that a replica named, or else to the next replica."""
        if not leader_address:
            self._current += 1
            return
        if leader_address not in self._hosts:
            self._hosts.append(leader_address)
        self._current = self._hosts.index(leader_address)

    async def propose(
        self, change: changes.Change
    ) -> result.Result[changes.Outcome, errors.LycheegaugeError]:
        """Commits a change, trying replicas until one commits it or time runs out.

        A change whose answer was lost is resent with the same proposal id. Each
        kind of change carries the data that makes applying it twice harmless.
        """
        proposal = proposals.Proposal(uuid.uuid4().hex, codec.pack(change))
        deadline = clock.read_clock() + PROPOSAL_TIMEOUT_S
        last_error = "no replica was called"
        while clock.read_clock() < deadline:
            reply = await self._try_propose(proposal)
            if not reply.error:
                return result.Success(codec.unpack(reply.outcome))
            last_error = reply.error
            self.follow_hint(reply.leader_address)
            await asyncio.sleep(RETRY_DELAY_S)
        message = f"the change may or may not be committed: {last_error}"
        return result.Failure(
            errors.LogUnavailableError(message, "propose", self.address)
        )

    async def _try_propose(
        self, proposal: proposals.Proposal
    ) -> proposals.ProposalReply:
        try:
            reply: proposals.ProposalReply = await self._pool.call(
                self.address,
                "propose",
                lambda channel: services_grpc.ReplicaStub(channel).Propose,
                proposal,
                ATTEMPT_TIMEOUT_S,
            )
        except errors.PeerUnreachableError as error:
            return proposals.ProposalReply(error=str(error))
        return reply

    async def pull(self, request: freshness.EntryPull) -> freshness.EntryPullReply:
        """Pulls a freshness proof and updates from the leader.

        Raises:
            errors.PeerUnreachableError: The replica did not answer in time.
        """
        try:
            reply: freshness.EntryPullReply = await self._pool.call(
                self.address,
                "pull",
                lambda channel: services_grpc.ReplicaStub(channel).Pull,
                request,
                PULL_TIMEOUT_S,
            )
        except errors.PeerUnreachableError:
            self._current += 1
            raise
        return reply

    async def replace_voter(
        self, old_host: str, new_host: str
    ) -> result.Result[None, errors.LycheegaugeError]:
        """Has the leader replace a voter; may be called again after a failure."""
        message = proposals.VoterReplacement(old_host, new_host)
        last_error = ""
        for _ in range(2 * len(self._hosts)):
            try:
                reply: proposals.ProposalReply = await self._pool.call(
                    self.address,
                    "replace voter",
                    lambda channel: services_grpc.ReplicaStub(channel).ReplaceVoter,
                    message,
                    REPLACEMENT_TIMEOUT_S,
                )
            except errors.PeerUnreachableError as error:
                reply = proposals.ProposalReply(error=str(error))
            if not reply.error:
                return result.Success(None)
            last_error = reply.error
            if reply.leader_address == self.address:
                break
            self.follow_hint(reply.leader_address)
        return result.Failure(
            errors.LogUnavailableError(last_error, "replace voter", self.address)
        )

    async def describe(self) -> str:
        """Requests the status of the whole system from the leader.

        Raises:
            errors.LogUnavailableError: No replica answered as the leader.
        """
        for _ in range(2 * len(self._hosts)):
            try:
                reply: proposals.StatusReply = await self._pool.call(
                    self.address,
                    "describe",
                    lambda channel: services_grpc.ReplicaStub(channel).Describe,
                    proposals.StatusRequest(),
                )
            except errors.PeerUnreachableError:
                reply = proposals.StatusReply()
            if reply.document:
                return reply.document
            self._current += 1
        message = "no leader among the log replicas could be reached; retry"
        raise errors.LogUnavailableError(message, "describe", self.address)

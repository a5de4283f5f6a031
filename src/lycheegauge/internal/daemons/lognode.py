"""One replica of the log with what it offers to entry hosts.

It joins the replication task with the proofs of freshness and the directory of
members, both soft state that is rebuilt from the entry hosts' questions.
"""

import collections.abc
import dataclasses
import random
import typing
import uuid

from returns import result

from lycheegauge import settings
from lycheegauge.internal.coordination import (
    deltas,
    directory,
    enforcement,
    followers,
)
from lycheegauge.internal.daemons import (
    leaderproofs,
    logclock,
    replicasender,
    replication,
    voterreplacement,
)
from lycheegauge.internal.protocol import (
    agreement,
    codec,
    freshness,
    intents,
    operations,
    proposals,
)
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.state import claims, configurations, journal, machine
from lycheegauge.internal.state import quarantine as quarantines
from lycheegauge.internal.transport import clock, peers

PROOF_WAIT_S = 0.8


class LogNode:
    """Owns one replica and answers for it."""

    def __init__(
        self, part: settings.LogSettings, pool: peers.ChannelPool, host: str
    ) -> None:
        self.host = host
        self.machine = machine.StateMachine()
        self.directory = directory.Directory(uuid.uuid4().hex[:12])
        self._proofs = leaderproofs.LeaderProofs(lambda: self.task, PROOF_WAIT_S)
        self._sender = replicasender.ReplicaSender(
            pool, lambda channel: services_grpc.ReplicaStub(channel).Deliver
        )
        self._log_clock = logclock.LogClock()
        self._deltas = deltas.DeltaLog()
        self._offered = intents.Configuration()
        self._applied_at = clock.read_clock()
        self.task = replication.ReplicationTask(
            journal.Journal(part.data_folder, host),
            make_membership(part.voters),
            self.machine,
            self._sender.send,
            clock.read_clock,
            random.Random(),
            snapshot_every=part.snapshot_entries,
            standby_hosts=frozenset(part.standby_hosts),
        )

    async def start(self) -> None:
        """Opens the journal and takes part in the log.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
        """
        await self.task.start()

    async def close(self) -> None:
        """Ends the replica and everything it sends."""
        await self.task.close()
        self._sender.close()
        self._proofs.close()

    # Parts of the replicated state.

    @property
    def configuration(self) -> intents.Configuration:
        """The configuration that this replica applied."""
        part = typing.cast(
            configurations.Configurations, self.machine.parts["configurations"]
        )
        return part.current

    @property
    def quarantine(self) -> freshness.Quarantine:
        """The quarantine that this replica applied."""
        part = typing.cast(quarantines.QuarantineList, self.machine.parts["quarantine"])
        return part.current

    def read_log_time(self) -> float:
        """Returns the log time now, in log seconds; only a leader's counts."""
        ledger = typing.cast(claims.ClaimLedger, self.machine.parts["claims"])
        return self._log_clock.read(ledger.log_time_s, clock.read_clock())

    # Messages between replicas.

    async def deliver(self, message: agreement.Message) -> None:
        """Takes a message of another replica."""
        self.task.deliver(message)

    # What entry hosts ask.

    async def propose(self, proposal: proposals.Proposal) -> proposals.ProposalReply:
        """Commits a change, stamped with the log time."""
        change = codec.unpack(proposal.change)
        if hasattr(change, "log_time_s"):
            change = dataclasses.replace(change, log_time_s=self.read_log_time())
        outcome = await self.task.propose(change)
        if isinstance(outcome, result.Success):
            return proposals.ProposalReply(codec.pack(outcome.unwrap()))
        error = outcome.failure()
        return proposals.ProposalReply(error=str(error), leader_address=self.leader)

    async def replace_voter(
        self, replacement: proposals.VoterReplacement
    ) -> proposals.ProposalReply:
        """Replaces a voter, if this replica leads."""
        outcome = await voterreplacement.replace_voter(
            self.task, replacement.old_host, replacement.new_host
        )
        if isinstance(outcome, result.Success):
            return proposals.ProposalReply()
        error = str(outcome.failure())
        return proposals.ProposalReply(error=error, leader_address=self.leader)

    @property
    def leader(self) -> str:
        """The address of the leader that this replica follows, or empty."""
        leader = self.task.leader
        return leader.host if leader else ""

    async def pull(self, question: freshness.EntryPull) -> freshness.EntryPullReply:
        """Takes announcements, gives a proof and what the asker has not seen."""
        now = clock.read_clock()
        update = self.directory.handle_pull(question, now)
        proof = await self._make_proof(now)
        configuration = None
        delta = None
        if proof is not None:
            configuration, delta = followers.choose_configuration_update(
                question.revision, self._follow_configuration(), self._deltas
            )
        quarantine = None
        if question.quarantine_version != self.quarantine.version:
            quarantine = self.quarantine
        return freshness.EntryPullReply(
            proof,
            configuration,
            self.directory.source,
            update,
            quarantine,
            tuple(voter.host for voter in self.task.membership.voters),
            self.leader,
            delta,
        )

    def _follow_configuration(self) -> intents.Configuration:
        """Returns the configuration, after noting how it differs from the last."""
        current = self.configuration
        if current.revision != self._offered.revision:
            self._deltas.add(self._offered, current)
            self._offered = current
            self._applied_at = clock.read_clock()
        return current

    async def _make_proof(self, asked_at: float) -> freshness.Proof | None:
        if not self.task.is_leader:
            return None
        await self._proofs.confirm(asked_at)
        return self._proofs.make(self.configuration.revision, self.read_log_time())

    async def describe(self, _: proposals.StatusRequest) -> proposals.StatusReply:
        """Describes the whole system, if this replica leads."""
        if not self.task.is_leader:
            return proposals.StatusReply()
        document = self.make_status(clock.read_clock())
        return proposals.StatusReply(operations.encode_document(document).decode())

    def make_status(self, now: float) -> operations.StatusDocument:
        """Makes the status from the directory and the replicated state."""
        configuration = self._follow_configuration()
        intent = configuration.intent
        revision = configuration.revision
        members = make_member_statuses(self.directory, intent)
        enforced = enforcement.check_enforcement(
            revision, self._applied_at, self.directory.list_applied(), now
        )
        missing = tuple(item.process for item in enforced.missing if item.reachable)
        membership = self.task.membership
        return operations.StatusDocument(
            revision=revision,
            in_force=enforced.in_force,
            missing=missing,
            leader=self.leader,
            voters=tuple(voter.host for voter in membership.voters),
            learners=tuple(voter.host for voter in membership.learners),
            availability_zones_out=intent.availability_zones_out,
            backend_servers_out=intent.backend_servers_out,
            entry_hosts=members.entry_hosts,
            backend_servers=members.backend_servers,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatuses:
    """All members as ``status`` shows them."""

    entry_hosts: tuple[operations.MemberStatus, ...]
    backend_servers: tuple[operations.MemberStatus, ...]


def make_member_statuses(
    members: directory.Directory, intent: intents.Intent
) -> MemberStatuses:
    """Makes the status of each member of the directory."""
    applied = {
        item.applied.process: item.applied.revision for item in members.list_applied()
    }
    entry_hosts = tuple(
        operations.MemberStatus(
            host.name,
            host.availability_zone,
            f"entry host {host.caller_address}",
            applied.get(f"entry_host/{host.name}", 0),
            host.leaving,
        )
        for host in members.list_entry_hosts()
    )
    backend_servers = tuple(
        operations.MemberStatus(
            server.name,
            server.availability_zone,
            f"backend server for {server.service}",
            applied.get(f"backend_server/{server.name}", 0),
            server.leaving,
            server.name in intent.backend_servers_out
            or server.availability_zone in intent.availability_zones_out,
        )
        for server in members.list_backend_servers()
    )
    return MemberStatuses(entry_hosts, backend_servers)


def make_membership(
    voters: collections.abc.Sequence[settings.LogVoter],
) -> agreement.Membership:
    """Makes the first membership from the settings."""
    return agreement.Membership(
        tuple(agreement.Voter(voter.host, voter.disk_id) for voter in voters)
    )

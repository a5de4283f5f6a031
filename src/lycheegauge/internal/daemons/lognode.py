"""A log replica of an entry host and the calls it serves to all entry hosts.

It combines the replication task with freshness proofs and the member directory.
Both of these are soft state that is rebuilt from the entry hosts' pulls.
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

PROOF_TIMEOUT_S = 0.8


class LogNode:
    """Runs one log replica and serves the calls to it."""

    def __init__(
        self, part: settings.LogSettings, pool: peers.ChannelPool, host: str
    ) -> None:
        self.host = host
        self.machine = machine.StateMachine()
        self.directory = directory.Directory(uuid.uuid4().hex[:12])
        self._proofs = leaderproofs.LeaderProofs(lambda: self.task, PROOF_TIMEOUT_S)
        self._sender = replicasender.ReplicaSender(
            pool, lambda channel: services_grpc.ReplicaStub(channel).Deliver
        )
        self._log_clock = logclock.LogClock()
        self._deltas = deltas.DeltaLog()
        self._last_configuration = intents.Configuration()
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
        """Opens the journal and starts the replica.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
        """
        await self.task.start()

    async def close(self) -> None:
        """Stops the replica and the messages it is sending."""
        await self.task.close()
        self._sender.close()
        self._proofs.close()

    # Parts of the replicated state.

    @property
    def configuration(self) -> intents.Configuration:
        """The configuration that this replica has applied."""
        part = typing.cast(
            configurations.Configurations, self.machine.parts["configurations"]
        )
        return part.current

    @property
    def quarantine(self) -> freshness.Quarantine:
        """The quarantine that this replica has applied."""
        part = typing.cast(quarantines.QuarantineList, self.machine.parts["quarantine"])
        return part.current

    def read_log_time(self) -> float:
        """Returns the log time in log seconds; authoritative only on the leader."""
        ledger = typing.cast(claims.ClaimLedger, self.machine.parts["claims"])
        return self._log_clock.read(ledger.log_time_s, clock.read_clock())

    # Messages between replicas.

    async def deliver(self, message: agreement.Message) -> None:
        """Receives a message from another replica."""
        self.task.deliver(message)

    # Calls from entry hosts.

    async def propose(self, proposal: proposals.Proposal) -> proposals.ProposalReply:
        """Commits a change, timestamped with the log time."""
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
        """Replaces a voter, if this replica is the leader."""
        outcome = await voterreplacement.replace_voter(
            self.task, replacement.old_host, replacement.new_host
        )
        if isinstance(outcome, result.Success):
            return proposals.ProposalReply()
        error = str(outcome.failure())
        return proposals.ProposalReply(error=error, leader_address=self.leader)

    @property
    def leader(self) -> str:
        """The address of the leader that this replica follows, or an empty string."""
        leader = self.task.leader
        return leader.host if leader else ""

    async def pull(self, request: freshness.EntryPull) -> freshness.EntryPullReply:
        """Handles an entry host's pull.

        Records its announcements; replies with a proof and the updates that the
        host has not seen.
        """
        now = clock.read_clock()
        update = self.directory.handle_pull(request, now)
        proof = await self._make_proof(now)
        configuration = None
        delta = None
        if proof is not None:
            configuration, delta = followers.choose_configuration_update(
                request.revision, self._track_configuration(), self._deltas
            )
        quarantine = None
        if request.quarantine_version != self.quarantine.version:
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

    def _track_configuration(self) -> intents.Configuration:
        """Returns the configuration, after recording its delta to the previous one."""
        current = self.configuration
        if current.revision != self._last_configuration.revision:
            self._deltas.add(self._last_configuration, current)
            self._last_configuration = current
            self._applied_at = clock.read_clock()
        return current

    async def _make_proof(self, requested_at: float) -> freshness.Proof | None:
        if not self.task.is_leader:
            return None
        await self._proofs.confirm_leadership(requested_at)
        return self._proofs.issue_proof(
            self.configuration.revision, self.read_log_time()
        )

    async def describe(self, _: proposals.StatusRequest) -> proposals.StatusReply:
        """Returns the status of the whole system, if this replica is the leader."""
        if not self.task.is_leader:
            return proposals.StatusReply()
        document = self.make_status(clock.read_clock())
        return proposals.StatusReply(operations.encode_document(document).decode())

    def make_status(self, now: float) -> operations.StatusDocument:
        """Builds the status from the directory and the replicated state."""
        configuration = self._track_configuration()
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
    """All members, as the ``status`` command shows them."""

    entry_hosts: tuple[operations.MemberStatus, ...]
    backend_servers: tuple[operations.MemberStatus, ...]


def make_member_statuses(
    members: directory.Directory, intent: intents.Intent
) -> MemberStatuses:
    """Builds the status of each member of the directory."""
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
    """Builds the initial membership from the settings."""
    return agreement.Membership(
        tuple(agreement.Voter(voter.host, voter.disk_id) for voter in voters)
    )

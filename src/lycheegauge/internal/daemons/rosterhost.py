"""A log host of a forwarding deployment: one replica, the book, the proofs."""

import asyncio
import dataclasses
import importlib
import random
import typing
import uuid

import loguru
from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal.coordination import rosterregistry, rosterview
from lycheegauge.internal.coordination.agreement import timing
from lycheegauge.internal.daemons import (
    leaderproofs,
    lifecycle,
    logclock,
    replicasender,
    replication,
    rosterclient,
)
from lycheegauge.internal.protocol import (
    agreement,
    changes,
    controlcalls,
    freshness,
    roster,
)
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.state import journal, machine, quarantine, routing
from lycheegauge.internal.transport import clock, peers

FIRST_DISK_ID = "first"
"""Disk id of the first voters. A host that lost its disk draws another one, so
it can't be taken for the voter whose memory is gone."""

TIMING = timing.Timing(
    heartbeat_s=0.2,
    election_min_s=0.6,
    election_max_s=1.2,
    first_election_min_s=0.12,
    first_election_max_s=0.35,
    read_interval_s=0.05,
    replace_after_s=2.5,
)
"""Durations of the log. A lost leader is replaced and a lost disk's successor
votes within the four seconds after which another loss must be borne."""

REPAIR_INTERVAL_S = 0.2
PROOF_WAIT_S = 0.5
PROOF_INTERVAL_S = 0.05
"""Like the log's read rounds, which pulls within the interval share."""

LIFETIME_INTERVALS = 3.5
"""Announcement intervals without a sign of life until a server is taken out."""
HOST_LIFETIME_S = 2.0
HOUSEKEEPING_INTERVAL_S = 0.25
MAPS_DELAY_S = 1.0
"""So long after its start a host begins to look after expert maps, in seconds."""

REOPEN_PAUSE_S = 1.0
"""A replica whose disk failed tries its journal again this often."""
RELAY_TIMEOUT_S = 2.0


class RosterHost:
    """Owns one replica and what the hosts and backend servers tell it."""

    def __init__(
        self,
        part: settings.ControlSettings,
        pool: peers.ChannelPool,
        dialect: controlcalls.Dialect,
    ) -> None:
        self.part = part
        self._dialect = dialect
        self.address = part.peer_address
        self._pool = pool
        self._log_clock = logclock.LogClock()
        self.machine = machine.StateMachine()
        self._sender = replicasender.ReplicaSender(
            pool, lambda channel: services_grpc.RosterHostStub(channel).Deliver
        )
        self._proofs = leaderproofs.LeaderProofs(
            lambda: self.task, PROOF_WAIT_S, PROOF_INTERVAL_S
        )
        self._seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._lifetimes = rosterregistry.EntryLifetimes(
            LIFETIME_INTERVALS * part.announce_interval_s, HOST_LIFETIME_S
        )
        self._book = rosterregistry.RosterRegistry("", self._lifetimes)
        self._book_term = 0
        self.view = rosterview.RosterView(part.roster.lease_s)
        self._client = rosterclient.RosterClient(pool, self._seeds, self.address)
        self._tasks: list[asyncio.Task[None]] = []
        self.task = self._make_task()

    def _make_task(self) -> replication.ReplicationTask:
        is_first = self.part.bootstrap and self.address in self._seeds
        voters = tuple(agreement.Voter(host, FIRST_DISK_ID) for host in self._seeds)
        return replication.ReplicationTask(
            journal.Journal(
                self.part.data_folder,
                self.address,
                first_disk_id=FIRST_DISK_ID if is_first else "",
            ),
            agreement.Membership(voters),
            self.machine,
            self._sender.send,
            clock.read_clock,
            random.Random(),
            limits=TIMING,
            snapshot_every=self.part.snapshot_entries,
            standby_hosts=None,
            repair_interval_s=REPAIR_INTERVAL_S,
        )

    def set_seeds(self, part: settings.ControlSettings) -> None:
        """Takes other seeds, by which the log is found from now on.

        The first voters stay those of the first seeds.
        """
        seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._client.set_seeds(seeds)

    async def start(self) -> None:
        """Opens the journal and takes part in the log.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
        """
        await self.task.start()
        for loop in (self._keep_house, self._keep_following, self._keep_maps):
            self._tasks.append(lifecycle.start_task(loop))

    async def close(self) -> None:
        """Ends the replica and everything it sends."""
        self._proofs.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.task.close()
        self._sender.close()

    # What this host knows.

    @property
    def routing(self) -> routing.RoutingPart:
        """The routing state that this replica applied."""
        return typing.cast(routing.RoutingPart, self.machine.parts["routing"])

    @property
    def quarantine(self) -> quarantine.QuarantineList:
        """The requests that ended backend servers, as this replica applied them."""
        part = self.machine.parts["quarantine"]
        return typing.cast(quarantine.QuarantineList, part)

    @property
    def leader_address(self) -> str:
        """The address of the leader that this replica follows, or empty."""
        leader = self.task.leader
        return leader.host if leader else ""

    def get_book(self) -> rosterregistry.RosterRegistry:
        """Returns the book of this leadership; a new one begins with the mirror."""
        if self._book_term != self.task.term:
            now = clock.read_clock()
            self._book_term = self.task.term
            self._book = rosterregistry.RosterRegistry(
                uuid.uuid4().hex[:12], self._lifetimes
            )
            self._book.restore_entries(
                self.view.servers.values(), self.view.hosts.values(), now
            )
            loguru.logger.info(
                "leads the log", term=self.task.term, index=self.task.commit_index
            )
        return self._book

    def list_hosts(self) -> tuple[roster.HostListing, ...]:
        """Lists the entry hosts that are alive, as far as this host can know."""
        if self.task.is_leader:
            return self.get_book().list_hosts()
        age_s = clock.read_clock() - self.view.refreshed_at
        if age_s > self.part.roster.lease_s:
            return ()
        return tuple(self.view.hosts.values())

    def list_log_hosts(self) -> tuple[str, ...]:
        """Lists the addresses of the log's members."""
        membership = self.task.membership
        return tuple(
            member.host for member in (*membership.voters, *membership.learners)
        )

    # Questions of other hosts.

    async def deliver(self, message: agreement.Message) -> None:
        """Takes a message of another replica."""
        self.task.deliver(message)

    async def tell_log_hosts(
        self, _: roster.MembershipQuestion
    ) -> roster.MembershipAnswer:
        """Tells who the log hosts are."""
        return roster.MembershipAnswer(self.leader_address, self.list_log_hosts())

    async def pull(self, question: roster.RosterPull) -> roster.RosterReply:
        """Takes a host's sign of life; gives a proof and what it has not seen."""
        hints = (self.leader_address, self.list_log_hosts())
        if not self.task.is_leader:
            return roster.RosterReply(None, *hints)
        now = clock.read_clock()
        if question.host is not None:
            self.get_book().record_host(question.host, now)
            self.get_book().record_open_requests(
                question.host.name, question.open_requests
            )
            self.get_book().record_gaps(question.gaps, now)
        has_recorded = await self._record_crashes(question)
        await self._proofs.confirm(now)
        proof = self._proofs.make(self.routing.revision, log_time_s=0.0)
        if proof is None or not self.task.is_leader:
            return roster.RosterReply(None, *hints)
        reply = self._make_reply(question, proof, hints)
        return dataclasses.replace(reply, has_recorded=has_recorded)

    async def _record_crashes(self, question: roster.RosterPull) -> bool:
        """Commits what a host saw of crashes; returns whether all of it is."""
        now = clock.read_clock()
        log_time_s = self._log_clock.read(self.quarantine.log_time_s, now)
        reported: list[changes.Change] = [
            *(dataclasses.replace(c, log_time_s=log_time_s) for c in question.crashes),
            *(changes.ClearSuspect(name, log_time_s) for name in question.cleared),
        ]
        for change in reported:
            outcome = await self.task.propose(change)
            if isinstance(outcome, result.Failure):
                loguru.logger.warning(
                    "change not committed",
                    change=type(change).__name__,
                    reason=str(outcome.failure()),
                )
                return False
            loguru.logger.info(
                "quarantine changed",
                change=type(change).__name__,
                version=self.quarantine.current.version,
                refused=len(self.quarantine.current.refused),
                suspects=len(self.quarantine.current.suspects),
            )
        return True

    def _make_reply(
        self,
        question: roster.RosterPull,
        proof: freshness.Proof,
        hints: tuple[str, tuple[str, ...]],
    ) -> roster.RosterReply:
        state = self.routing
        news = self.get_book().list_changes(question.source, question.cursor)
        table = state.table
        if table is not None and table.version <= question.table_version:
            table = None
        restrictions: roster.Restrictions | None = state.restrictions
        if state.restrictions.revision <= question.restrictions_revision:
            restrictions = None
        elsewhere: tuple[roster.OpenRequests, ...] = ()
        if question.host is not None:
            elsewhere = self._book.list_open_elsewhere(question.host.name)
        refused: freshness.Quarantine | None = self.quarantine.current
        if question.quarantine_version == self.quarantine.current.version:
            refused = None
        return roster.RosterReply(
            proof,
            *hints,
            table,
            restrictions,
            self._book.source,
            news.cursor,
            news.whole,
            news.servers,
            news.servers_gone,
            news.hosts,
            news.hosts_gone,
            elsewhere,
            refused,
        )

    async def relay(self, call: roster.RelayedCall) -> roster.RelayedAnswer:
        """Hands a control call to the leader; status 0 if there is none.

        Raises:
            errors.PeerUnreachableError: The leader gave no answer in time; it
                may have carried the call out.
        """
        leader = self.leader_address
        if not leader or leader == self.address:
            return roster.RelayedAnswer(0)
        answer: roster.RelayedAnswer = await self._pool.call(
            leader,
            "relay",
            lambda channel: services_grpc.RosterHostStub(channel).Relay,
            call,
            RELAY_TIMEOUT_S,
            drop_on_failure=True,
        )
        return answer

    # Own tasks.

    async def _keep_house(self) -> None:
        while True:
            if self.task.is_leader:
                for name in self.get_book().expire(clock.read_clock()):
                    loguru.logger.info("gave no sign of life", member=name)
            if isinstance(self.task.failure, errors.StorageFailedError):
                await self._reopen()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    async def _reopen(self) -> None:
        """Starts the replica anew from its disk, as a restart would.

        After a failed sync only the disk itself tells what it holds.
        """
        await self.task.close()
        await asyncio.sleep(REOPEN_PAUSE_S)
        self.machine = machine.StateMachine()
        self.task = self._make_task()
        try:
            await self.task.start()
        except errors.LycheegaugeError as error:
            loguru.logger.warning("the journal can't be opened yet: {}", error)

    async def _keep_maps(self) -> None:
        """Has expert maps follow demand while this host leads."""
        # Planning takes a good part of the time to load; elections go first.
        await asyncio.sleep(MAPS_DELAY_S)
        module = await asyncio.to_thread(
            importlib.import_module, "lycheegauge.internal.daemons.mapkeeping"
        )
        await module.MapCoordinationRunner(self, self._pool, self._dialect).run()

    async def _keep_following(self) -> None:
        """Mirrors the leader's book, and looks for a leader while there is none."""
        while True:
            try:
                await self._follow()
            except errors.LycheegaugeError as error:
                loguru.logger.debug(str(error), step="follow", peer=error.peer)
            await asyncio.sleep(self.part.roster.pull_interval_s)

    async def _follow(self) -> None:
        if self.task.is_leader:
            return
        leader = self.leader_address
        if not leader:
            answer = await self._client.find_log_hosts()
            self.task.set_announce_hosts(
                (*self._client.hosts, *answer.log_hosts, answer.leader_address)
                if answer.leader_address
                else (*self._client.hosts, *answer.log_hosts)
            )
            return
        pull = self.view.begin_pull(None, clock.read_clock())
        reply = await self._client.pull_from(leader, pull.message)
        self.view.apply_reply(pull, reply, clock.read_clock())

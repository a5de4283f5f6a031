"""A log host of a forwarding deployment: log replica, roster and proofs."""

import asyncio
import collections.abc
import dataclasses
import importlib
import random
import typing
import uuid

import loguru
from returns import result

from lycheegauge import errors, metrics, settings
from lycheegauge.internal.coordination import (
    enginememory,
    mapappointments,
    members,
    outcomeregistry,
    rosterregistry,
    rosterview,
    sharegrants,
    suspectgrants,
)
from lycheegauge.internal.coordination.agreement import quorum, timing
from lycheegauge.internal.daemons import (
    leaderproofs,
    lifecycle,
    logclock,
    replicasender,
    replication,
    rosterclient,
    workmeter,
)
from lycheegauge.internal.protocol import (
    agreement,
    changes,
    controlcalls,
    freshness,
    roster,
)
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.state import (
    crashingparts,
    journal,
    machine,
    quarantine,
    routing,
)
from lycheegauge.internal.transport import clock, peers

FIRST_DISK_ID = "first"
"""Disk id of the initial voters. A host that lost its disk draws another one, so
it can't be mistaken for the voter whose stored state is lost."""

TIMING = timing.Timing(
    heartbeat_s=0.2,
    election_min_s=0.6,
    election_max_s=1.2,
    first_election_min_s=0.12,
    first_election_max_s=0.35,
    read_interval_s=0.05,
    replace_after_s=2.5,
)
"""Timing parameters of the log. A lost leader is replaced, and the successor of a
lost disk is a voter, within the four seconds after which the log must tolerate
another loss."""

REPAIR_INTERVAL_S = 0.2
PROOF_TIMEOUT_S = 0.5
PROOF_INTERVAL_S = 0.05
"""Equal to the interval of the log's read rounds; pulls within it share a round."""

SERVER_LIFETIME_INTERVALS = 3.5
"""Announcement intervals without an announcement until a server is removed."""
HOST_LIFETIME_S = 2.0
HOUSEKEEPING_INTERVAL_S = 0.25
MAP_COORDINATION_DELAY_S = 1.0
"""Seconds from a host's start until it begins to manage expert maps."""

REOPEN_DELAY_S = 1.0
"""Seconds between attempts of a replica whose disk failed to reopen its journal."""
RELAY_TIMEOUT_S = 2.0
"""Term of the first leader that a log can have."""
GAP_AGE_MAX_PULLS = 2.0
"""Age up to which reported pauses count as current, in pull intervals."""


class RosterHost:
    """Runs one log replica and the roster of hosts and backend servers."""

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
        self.meter = workmeter.WorkMeter()
        self.machine = machine.StateMachine()
        self._sender = replicasender.ReplicaSender(
            pool, lambda channel: services_grpc.RosterHostStub(channel).Deliver
        )
        self._proofs = leaderproofs.LeaderProofs(
            lambda: self.task, PROOF_TIMEOUT_S, PROOF_INTERVAL_S
        )
        self._seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._lifetimes = rosterregistry.EntryLifetimes(
            SERVER_LIFETIME_INTERVALS * part.announce_interval_s, HOST_LIFETIME_S
        )
        self._registry = rosterregistry.RosterRegistry("", self._lifetimes)
        self._registry_term = 0
        self._shares = sharegrants.ShareGranter(part.roster.lease_s, 0.0)
        self._outcomes = outcomeregistry.OutcomeRegistry()
        self._suspects = suspectgrants.SuspectGranter()
        self._incarnation = clock.create_incarnation(members.format_incarnation)
        self._appointments = mapappointments.MapAppointments(0, self.address, 0.0)
        self._appointment: roster.MapAppointment | None = None
        self._appointment_ends_at = 0.0
        self.silent_servers: tuple[str, ...] = ()
        self.slow_servers: tuple[roster.ServerPace, ...] = ()
        self.metrics: metrics.Metrics | None = None
        self._memories = enginememory.ReportedMemories()
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
            log_timing=TIMING,
            snapshot_every=self.part.snapshot_entries,
            standby_hosts=None,
            repair_interval_s=REPAIR_INTERVAL_S,
            voters=max(
                len(voters), quorum.count_voters(self.part.tolerated_host_losses)
            ),
        )

    def set_seeds(self, part: settings.ControlSettings) -> None:
        """Replaces the seeds through which the log hosts are found.

        The initial voters remain those of the first seeds.
        """
        seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._client.set_seeds(seeds)

    async def start(self) -> None:
        """Opens the journal and starts the replica.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
        """
        await self.task.start()
        for loop in (
            self._run_housekeeping,
            self._keep_mirroring,
            self._run_map_coordination,
        ):
            self._tasks.append(lifecycle.start_task(loop))

    async def close(self) -> None:
        """Stops the replica and the messages it is sending."""
        self._proofs.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.task.close()
        self._sender.close()

    # The state of this host.

    @property
    def routing(self) -> routing.RoutingPart:
        """The routing state that this replica has applied."""
        return typing.cast(routing.RoutingPart, self.machine.parts["routing"])

    @property
    def quarantine(self) -> quarantine.QuarantineList:
        """The requests that crashed backend servers, as applied by this replica."""
        part = self.machine.parts["quarantine"]
        return typing.cast(quarantine.QuarantineList, part)

    @property
    def crashing_parts(self) -> crashingparts.CrashingParts:
        """The parts of prompts that crashed backend servers, as applied here."""
        part = self.machine.parts["crashingparts"]
        return typing.cast(crashingparts.CrashingParts, part)

    @property
    def leader_address(self) -> str:
        """The address of the leader that this replica follows, or an empty string."""
        leader = self.task.leader
        return leader.host if leader else ""

    def get_registry(self) -> rosterregistry.RosterRegistry:
        """Returns the registry of the current term.

        A new leader's registry starts with the entries it mirrored as a follower.
        """
        if self._registry_term != self.task.term:
            now = clock.read_clock()
            self._registry_term = self.task.term
            self._registry = rosterregistry.RosterRegistry(
                uuid.uuid4().hex[:12], self._lifetimes
            )
            self._registry.restore_entries(
                self.view.servers.values(), self.view.hosts.values(), now
            )
            self._appointments = mapappointments.MapAppointments(
                self.task.term, self.address, now
            )
            self._shares = sharegrants.ShareGranter(
                self.part.roster.lease_s, now, is_first=self.task.is_first_leader
            )
            self._outcomes = outcomeregistry.OutcomeRegistry()
            self._suspects = suspectgrants.SuspectGranter()
            loguru.logger.info(
                "became the log's leader",
                term=self.task.term,
                index=self.task.commit_index,
            )
        return self._registry

    def list_hosts(self) -> tuple[roster.HostListing, ...]:
        """Lists the live entry hosts; empty if this host's information is outdated."""
        if self.task.is_leader:
            return self.get_registry().list_hosts()
        age_s = clock.read_clock() - self.view.refreshed_at
        if age_s > self.part.roster.lease_s:
            return ()
        return tuple(self.view.hosts.values())

    def count_open_by_host(self) -> dict[str, int]:
        """Counts the entry hosts' open requests; empty if they don't count here."""
        if not self.part.directory_by_load or not self.task.is_leader:
            return {}
        return self.get_registry().count_open_by_host()

    def list_log_hosts(self) -> tuple[str, ...]:
        """Lists the addresses of the log's members."""
        membership = self.task.membership
        return tuple(
            member.host for member in (*membership.voters, *membership.learners)
        )

    # Calls from other hosts.

    async def deliver(self, message: agreement.Message) -> None:
        """Receives a message from another replica."""
        self.task.deliver(message)

    async def handle_membership_question(
        self, _: roster.MembershipQuestion
    ) -> roster.MembershipAnswer:
        """Returns the addresses of the leader and of all log hosts."""
        return roster.MembershipAnswer(self.leader_address, self.list_log_hosts())

    async def pull(self, request: roster.RosterPull) -> roster.RosterReply:
        """Handles a host's pull.

        Records that the host is alive; replies with a proof and the changes that
        the host has not seen.
        """
        hints = (self.leader_address, self.list_log_hosts())
        if not self.task.is_leader:
            return roster.RosterReply(None, *hints)
        now = clock.read_clock()
        if request.host is not None:
            self.get_registry().record_host(request.host, now)
            self.get_registry().record_open_requests(
                request.host.name, request.open_requests
            )
            self.get_registry().record_gaps(request.gaps, now)
            self.get_registry().record_passes(request.host.name, request.passes, now)
            self._outcomes.record_outcomes(request.host.name, request.outcomes, now)
        if request.log_host:
            # Begins the appointments of a new term, if there is one.
            self.get_registry()
            self._appointments.record_pull(
                request.log_host, request.log_host_incarnation, now
            )
        has_recorded = await self._record_crashes(request)
        has_recorded = await self._record_departures(request) and has_recorded
        await self._proofs.confirm_leadership(now)
        proof = self._proofs.issue_proof(self.routing.revision, log_time_s=0.0)
        if proof is None or not self.task.is_leader:
            return roster.RosterReply(None, *hints)
        with self.meter.measure("make_pull_replies"):
            reply = self._make_reply(request, proof, hints)
        return dataclasses.replace(
            reply,
            has_recorded=has_recorded,
            appointment=self._make_appointment(request, now),
            share=self._grant_share(request, proof),
            suspect_slots=self._grant_suspect_slots(request, has_recorded),
        )

    def _grant_suspect_slots(
        self, request: roster.RosterPull, has_recorded: bool
    ) -> tuple[str, ...]:
        """Grants an entry host the slots in which it may run suspected requests.

        Not before the log has recorded the crashes that the host knows of, or another
        host would get the slot without knowing them.
        """
        if request.host is None or not has_recorded:
            return ()
        return self._suspects.grant(
            request.host.incarnation, request.suspect_slots, clock.read_clock()
        )

    def _grant_share(
        self, request: roster.RosterPull, proof: freshness.Proof
    ) -> roster.HostShare | None:
        """Grants an entry host its fraction of the limits of all hosts."""
        if request.host is None or request.demand is None:
            return None
        # Begins the grants of a new term, if there is one.
        registry = self.get_registry()
        return self._shares.grant(
            request.host.incarnation,
            request.demand,
            request.source == registry.source,
            proof.age_s,
            clock.read_clock(),
        )

    def _make_appointment(
        self, request: roster.RosterPull, now: float
    ) -> roster.MapAppointment | None:
        """Renews the appointment of the log host that coordinates the maps."""
        # Begins the appointments of a new term, if there is one.
        registry = self.get_registry()
        if not request.log_host or self._appointments.appoint(now) != request.log_host:
            return None
        registry.update_silent(request.silent_servers)
        registry.update_paces(request.paces)
        registry.memories.record(request.memories, now)
        return roster.MapAppointment(
            self._appointments.number, self.list_longest_gaps(now)
        )

    # Coordination of the expert maps.

    def find_map_appointment(self) -> int | None:
        """Returns the number of this host's appointment; ``None`` if it has none."""
        now = clock.read_clock()
        if self.task.is_leader:
            self.get_registry()
            if self._appointments.appoint(now) == self.address:
                return self._appointments.number
            return None
        if self._appointment is None or now >= self._appointment_ends_at:
            return None
        return self._appointment.number

    def list_longest_gaps(self, now: float) -> tuple[roster.ServiceGap, ...]:
        """Lists the longest recent pause of each service, over all entry hosts."""
        if not self.task.is_leader:
            return self._appointment.gaps if self._appointment else ()
        since = now - GAP_AGE_MAX_PULLS * self.get_pull_interval()
        return self.get_registry().list_longest_gaps(since)

    def list_servers(self) -> tuple[roster.ServerListing, ...]:
        """Lists the backend servers, as the leader or as its follower knows them."""
        if self.task.is_leader:
            return self.get_registry().list_servers()
        return tuple(self.view.servers.values())

    def set_silent_servers(self, names: tuple[str, ...]) -> None:
        """Reports the servers that can't be reached, so that no host uses them."""
        for name in set(names) ^ set(self.silent_servers):
            loguru.logger.info(
                "a backend server does not answer"
                if name in names
                else "a backend server answers again",
                server=name,
            )
        self.silent_servers = names
        if self.task.is_leader:
            self.get_registry().update_silent(names)

    def set_slow_servers(self, paces: tuple[roster.ServerPace, ...]) -> None:
        """Reports the ranks that take longer than usual for their part of a pass."""
        self.slow_servers = paces
        if self.task.is_leader:
            self.get_registry().update_paces(paces)

    def record_map_switch(self, phase: str, seconds: float) -> None:
        """Records how long a phase of a switch of an expert map took."""
        if self.metrics is not None:
            self.metrics.record_map_switch(phase, seconds)

    def set_server_memories(self, memories: tuple[roster.ServerMemory, ...]) -> None:
        """Reports the servers whose memory is mostly used, by their engines."""
        now = clock.read_clock()
        self._memories.record(memories, now)
        if self.task.is_leader:
            self.get_registry().memories.record(memories, now)

    async def _record_crashes(self, request: roster.RosterPull) -> bool:
        """Commits a host's crash reports; returns whether all are committed."""
        now = clock.read_clock()
        known_s = max(self.quarantine.log_time_s, self.crashing_parts.log_time_s)
        log_time_s = self._log_clock.read(known_s, now)
        reported: list[changes.Change] = [
            *(dataclasses.replace(c, log_time_s=log_time_s) for c in request.crashes),
            *(changes.ClearSuspect(name, log_time_s) for name in request.cleared),
            *(
                dataclasses.replace(item, log_time_s=log_time_s)
                for item in request.clearances
            ),
            *(
                dataclasses.replace(report, log_time_s=log_time_s)
                for report in request.part_crashes
            ),
            *(
                dataclasses.replace(item, log_time_s=log_time_s)
                for item in request.cleared_parts
            ),
        ]
        for change in reported:
            if not await self._commit(change):
                return False
            self._log_quarantine(change)
        return True

    def _log_quarantine(self, change: changes.Change) -> None:
        """Logs what a change brought to the quarantine."""
        content = dataclasses.asdict(change)
        content.pop("log_time_s", None)
        loguru.logger.info(
            "quarantine changed",
            change=type(change).__name__,
            **content,
            version=self.quarantine.current.version,
            refused=len(self.quarantine.current.refused),
            suspects=len(self.quarantine.current.suspects),
            parts_refused=[
                item.part
                for item in self.crashing_parts.current.parts
                if item.is_refused
            ],
        )

    async def _commit(self, change: changes.Change) -> bool:
        """Commits a change; returns whether it is committed."""
        outcome = await self.task.propose(change)
        if isinstance(outcome, result.Failure):
            loguru.logger.warning(
                "change not committed",
                change=type(change).__name__,
                reason=str(outcome.failure()),
            )
            return False
        return True

    async def _record_departures(self, request: roster.RosterPull) -> bool:
        """Commits that servers leave; returns whether all of them are committed."""
        for departure in request.departures:
            if self.routing.has_departed(departure):
                continue
            change = changes.NoteDeparture(departure.server, departure.born_ms)
            if not await self._commit(change):
                return False
            loguru.logger.info(
                "a backend server leaves, as its answers say",
                server=departure.server,
                born_ms=departure.born_ms,
            )
        return True

    def _make_reply(
        self,
        request: roster.RosterPull,
        proof: freshness.Proof,
        hints: tuple[str, tuple[str, ...]],
    ) -> roster.RosterReply:
        state = self.routing
        delta = self.get_registry().list_changes(request.source, request.cursor)
        table = state.table
        if table is not None and table.version <= request.table_version:
            table = None
        restrictions: roster.Restrictions | None = state.restrictions
        if state.restrictions.revision <= request.restrictions_revision:
            restrictions = None
        elsewhere: tuple[roster.OpenRequests, ...] = ()
        suspects: tuple[roster.SuspectServer, ...] = ()
        if request.host is not None:
            elsewhere = self._registry.list_open_elsewhere(request.host.name)
            suspects = self._outcomes.list_suspects(
                self._registry.list_servers, clock.read_clock()
            )
        refused: freshness.Quarantine | None = self.quarantine.current
        if request.quarantine_version == self.quarantine.current.version:
            refused = None
        part_list: freshness.CrashingPartList | None = self.crashing_parts.current
        if request.part_list_version == self.crashing_parts.current.version:
            part_list = None
        return roster.RosterReply(
            proof,
            *hints,
            table,
            restrictions,
            self._registry.source,
            delta.cursor,
            delta.whole,
            delta.servers,
            delta.servers_gone,
            delta.hosts,
            delta.hosts_gone,
            elsewhere,
            refused,
            pull_interval_s=self.get_pull_interval(),
            part_list=part_list,
            passes=self._registry.list_median_passes(clock.read_clock()),
            memories=self._registry.list_memories(clock.read_clock()),
            suspect_servers=suspects,
        )

    def get_pull_interval(self) -> float:
        """Returns how long entry hosts wait between two pulls, in seconds."""
        settings = self.part.roster
        return rosterregistry.compute_pull_interval(
            len(self.get_registry().list_hosts()),
            settings.pull_interval_s,
            settings.lease_s,
        )

    async def call_leader(
        self,
        step: str,
        method: collections.abc.Callable[[typing.Any], typing.Any],
        message: typing.Any,
    ) -> typing.Any | None:
        """Calls the leader; returns ``None`` if this host knows no other as leader.

        Args:
            step: The purpose of the call, included in errors.
            method: Returns the method of a stub.
            message: The data class to send.

        Raises:
            errors.PeerUnreachableError: The leader did not answer in time; it
                may have carried out the call.
        """
        leader = self.leader_address
        if not leader or leader == self.address:
            return None
        return await self._pool.call(
            leader,
            step,
            lambda channel: method(services_grpc.RosterHostStub(channel)),
            message,
            RELAY_TIMEOUT_S,
            drop_on_failure=True,
        )

    # Background tasks.

    async def _run_housekeeping(self) -> None:
        while True:
            if self.task.is_leader:
                for name in self.get_registry().expire(clock.read_clock()):
                    loguru.logger.info(
                        "member removed: no sign of life within its lifetime",
                        member=name,
                    )
            if isinstance(self.task.failure, errors.StorageFailedError):
                await self._reopen()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    async def _reopen(self) -> None:
        """Restarts the replica from its disk, as a restart of the process would.

        After a failed sync, what is stored is known only by reading the disk again.
        """
        await self.task.close()
        await asyncio.sleep(REOPEN_DELAY_S)
        self.machine = machine.StateMachine()
        self.task = self._make_task()
        try:
            await self.task.start()
        except errors.LycheegaugeError as error:
            loguru.logger.warning("the journal still can't be opened: {}", error)

    async def _run_map_coordination(self) -> None:
        """Adapts expert maps to demand while this host is appointed to do so."""
        # Importing the planning code takes a good part of the loading time; elections
        # go first.
        await asyncio.sleep(MAP_COORDINATION_DELAY_S)
        module = await asyncio.to_thread(
            importlib.import_module, "lycheegauge.internal.daemons.mapkeeping"
        )
        await module.MapCoordinationRunner(self, self._pool, self._dialect).run()

    async def _keep_mirroring(self) -> None:
        """Mirrors the leader's registry; searches for a leader while there is none."""
        while True:
            try:
                await self._mirror_leader()
            except errors.LycheegaugeError as error:
                loguru.logger.debug(str(error), step="follow", peer=error.peer)
            await asyncio.sleep(self.part.roster.pull_interval_s)

    async def _mirror_leader(self) -> None:
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
        started_at = clock.read_clock()
        pull = self.view.begin_pull(None, started_at)
        message = dataclasses.replace(
            pull.message,
            log_host=self.address,
            log_host_incarnation=self._incarnation,
            silent_servers=self.silent_servers,
            paces=self.slow_servers,
            memories=self._memories.list_recent(started_at),
        )
        reply = await self._client.pull_from(leader, message)
        self.view.apply_reply(pull, reply, clock.read_clock())
        if reply.proof is not None:
            self._appointment = reply.appointment
            self._appointment_ends_at = started_at + mapappointments.APPOINTMENT_S

"""The entry host daemon, which connects callers, operators, agents and the log."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import random

import loguru

from lycheegauge import errors, metrics, settings
from lycheegauge.internal.coordination import (
    crashes,
    discovery,
    followers,
    limits,
    members,
)
from lycheegauge.internal.daemons import (
    agentreports,
    crashnotifier,
    dispatch,
    explanations,
    groupcoordination,
    limitsharing,
    logclient,
    lognode,
    operatorgate,
    sessions,
)
from lycheegauge.internal.protocol import (
    calls,
    freshness,
    intents,
    keys,
    work,
)
from lycheegauge.internal.transport import (
    callers,
    clock,
    operators,
    peers,
    services,
    web,
)

PULL_INTERVAL_S = 0.5
QUEUE_INTERVAL_S = 0.02
DRAIN_POLL_S = 0.05
REFUSED_RETRY_AFTER_S = 1.0


class EntryDaemon:
    """Owns an entry host's listeners, its view of the system and its sessions."""

    def __init__(self, part: settings.EntrySettings) -> None:
        self.part = part
        self.incarnation = clock.create_incarnation(members.format_incarnation)
        self.quarantine = crashes.QuarantineView()
        self._quarantine_message: freshness.Quarantine | None = None
        self.metrics = metrics.Metrics()
        self.stopping = False
        self._refuses_sessions = False
        self.sessions: set[asyncio.Task[None]] = set()
        self.caller_address = part.caller_address
        self.operator_address = part.operator_address
        self.peer_address = part.peer_address
        self.follower = followers.EntryFollower(self.describe_self())
        self._pool = peers.ChannelPool()
        self.node: lognode.LogNode | None = None
        if part.log is not None:
            self.node = lognode.LogNode(part.log, self._pool, part.peer_address)
        self._log = logclient.LogClient(self._pool, part.log_hosts)
        self._news = agentreports.AgentReportRecorder(self._log)
        holder = limits.ShareHolder(f"{part.name}/{self.incarnation}")
        self.dispatcher = dispatch.Dispatcher(
            part, self.quarantine, self.metrics, holder
        )
        self._limit_sharing = limitsharing.LimitSharing(
            part.peer_address,
            part.log is not None,
            self.follower,
            holder,
            self._pool,
            part.log_hosts,
        )
        self._crash_notifier = crashnotifier.CrashNotifier(
            part.name,
            self._pool,
            self.quarantine,
            self.follower.members.list_entry_hosts,
        )
        self._explanations = explanations.ExplanationStore()
        self._random = random.SystemRandom()
        self._tasks: list[asyncio.Task[None]] = []
        self._peer_server = peers.PeerServer(part.peer_address, self._make_services())
        self._callers = web.Listener(
            part.caller_address,
            callers.make_application(self, part.limits),
            part.limits,
        )
        self._operators = web.Listener(
            part.operator_address,
            operators.make_application(self._make_operator_gate(), part.limits),
            part.limits,
        )

    def _make_services(self) -> list[services.EntryService | services.ReplicaService]:
        made: list[services.EntryService | services.ReplicaService]
        made = [services.EntryService(self.answer_agent, self._crash_notifier.receive)]
        if self.node is not None:
            made.append(
                services.ReplicaService(
                    self.node.deliver,
                    self.node.propose,
                    self.node.pull,
                    self.node.describe,
                    self._limit_sharing.grant,
                    self.node.replace_voter,
                )
            )
        return made

    def _make_operator_gate(self) -> operatorgate.OperatorGate:
        return operatorgate.OperatorGate(
            self.follower, self._log, self.refresh, self.metrics, self._explanations
        )

    # Startup and shutdown.

    async def start(self) -> None:
        """Opens the log, starts the listeners and begins to pull the configuration.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
            OSError: An address can't be listened on.
        """
        if self.node is not None:
            await self.node.start()
        self.peer_address = await self._peer_server.start()
        self.caller_address = await self._callers.start()
        self.operator_address = await self._operators.start()
        for loop in (self._keep_pulling, self._keep_dispatching):
            self._tasks.append(asyncio.create_task(loop()))
        self._limit_sharing.start()
        if self.node is not None:
            groups = groupcoordination.GroupCoordination(
                self.node,
                self.part.name,
                self.follower.members.list_backend_servers,
            )
            self._tasks.append(asyncio.create_task(groups.run()))
        loguru.logger.info(
            "started",
            step="start",
            caller_address=self.caller_address,
            operator_address=self.operator_address,
            peer_address=self.peer_address,
        )

    async def drain(self) -> None:
        """Leaves discovery, serves until older answers expire, then finishes.

        A discovery answer given just before the other hosts learn of the stop is
        valid for another ``answer_valid_s``, so this host accepts new calls until
        then.
        """
        self.stopping = True
        with contextlib.suppress(errors.LycheegaugeError):
            await self.refresh()
        await asyncio.sleep(2 * PULL_INTERVAL_S + self.part.answer_valid_s)
        # Callers keep their connections open, and would go on to send requests that may
        # be cut off at the end of the grace.
        self._refuses_sessions = True
        self._callers.stop_accepting()
        while self.sessions:
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self) -> None:
        """Cancels all tasks and closes everything without waiting."""
        self._news.close()
        self._limit_sharing.close()
        self._crash_notifier.close()
        for task in [*self._tasks, *self.sessions]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self.sessions, return_exceptions=True)
        await self._callers.close()
        await self._operators.close()
        if self.node is not None:
            await self.node.close()
        await self._peer_server.close()
        self._pool.close()
        self.metrics.close()

    # The log.

    async def _keep_pulling(self) -> None:
        while True:
            try:
                await self.refresh()
            except errors.LycheegaugeError as error:
                loguru.logger.debug(str(error), step="pull", peer=error.peer)
            await asyncio.sleep(PULL_INTERVAL_S)

    async def refresh(self) -> None:
        """Pulls a lease proof and updates from the log's leader.

        Raises:
            errors.PeerUnreachableError: The replica did not answer in time.
        """
        self.follower.entry_host = self.describe_self()
        pull = self.follower.begin_pull(self._log.address, clock.read_clock())
        reply = await self._log.pull(
            dataclasses.replace(
                pull.message, quarantine_version=self.quarantine.version
            )
        )
        if self.follower.apply_reply(pull, reply, clock.read_clock()):
            self._apply_configuration(self.follower.configuration)
        if reply.quarantine is not None:
            self.quarantine.update(reply.quarantine)
            self._quarantine_message = reply.quarantine
        self.quarantine.expire_notifications(clock.read_clock())
        self._limit_sharing.set_log_hosts(reply.log_hosts)
        if reply.proof is None:
            self._log.follow_hint(reply.leader_address)
        self.update_backend_servers()

    def describe_self(self) -> freshness.EntryHost:
        """Returns this entry host's listing for other hosts."""
        return freshness.EntryHost(
            self.part.name,
            self.part.availability_zone,
            self.caller_address,
            self.operator_address,
            self.peer_address,
            self.incarnation,
            self.stopping,
        )

    def _apply_configuration(self, configuration: intents.Configuration) -> None:
        self.dispatcher.set_configuration(configuration)
        self._limit_sharing.set_configuration(configuration)
        loguru.logger.info(
            "applied", step="apply configuration", revision=configuration.revision
        )

    def update_backend_servers(self) -> None:
        """Passes the currently known backend servers to the router."""
        self.dispatcher.set_backend_servers(
            self.follower.members.list_backend_servers()
        )

    async def _keep_dispatching(self) -> None:
        while True:
            self.dispatcher.dispatch_queued(clock.read_clock())
            await asyncio.sleep(QUEUE_INTERVAL_S)

    # Agents.

    async def answer_agent(self, pull: freshness.AgentPull) -> freshness.AgentPullReply:
        """Applies an agent's announcement and returns the state that it needs."""
        now = clock.read_clock()
        reply = self.follower.handle_agent_pull(pull, now)
        self.dispatcher.router.apply_load_report(pull.load, now)
        for event in pull.cache_events:
            self.dispatcher.router.apply_cache_event(event, now)
        recorded = self._news.record(pull)
        quarantine = None
        if pull.quarantine_version < self.quarantine.version:
            quarantine = self._quarantine_message
        return dataclasses.replace(
            reply,
            quarantine=quarantine,
            recorded_boots=recorded.boots,
            recorded_clearances=recorded.clearances,
        )

    # Callers.

    def describe_entries(self, availability_zone: str) -> calls.Discovery:
        """Returns the entry addresses to use, those in the caller's zone first."""
        known = {host.name: host for host in self.follower.members.list_entry_hosts()}
        own = self.describe_self()
        known[own.name] = own
        chosen = discovery.choose_entries(
            known.values(),
            self.follower.configuration.intent.availability_zones_out,
            availability_zone,
            self._random,
        )
        addresses = tuple(
            calls.EntryAddress(
                host=host.name,
                availability_zone=host.availability_zone,
                address=host.caller_address,
            )
            for host in chosen
        )
        return calls.Discovery(entries=addresses, valid_for_s=self.part.answer_valid_s)

    def list_services(self) -> calls.ServiceList:
        """Returns the services in the configuration."""
        servers = self.follower.members.list_backend_servers()
        return calls.ServiceList(
            services=tuple(
                calls.ServiceDescription(
                    name=service.name,
                    kind=service.kind.value,
                    backend_servers=sum(
                        1 for server in servers if server.service == service.name
                    ),
                )
                for service in self.follower.configuration.intent.services
            )
        )

    def find_service_kind(self, service: str) -> str | None:
        """Returns a service's kind, or ``None`` for an unknown service."""
        for known in self.follower.configuration.intent.services:
            if known.name == service:
                return known.kind.value
        return None

    def count_refusal(self, reason: work.RefusalReason) -> None:
        """Counts a refusal that the listener itself made."""
        self.metrics.count_refusal(reason)

    def open_session(self, request: work.Request) -> callers.Session:
        """Starts a request, unless this host ends or the lease has expired."""
        if self._refuses_sessions:
            return self._refuse_session(
                request,
                work.RefusalReason.STOPPING,
                "this entry host ends; use another",
            )
        if not self.follower.lease.allows_start(clock.read_clock()):
            return self._refuse_session(
                request,
                work.RefusalReason.LEASE_EXPIRED,
                "this entry host is cut off from the log; use another",
            )
        is_new_key = not request.repeatable and not request.idempotency_key
        issued_at_s = self.follower.lease.log_time_s
        if is_new_key:
            key = keys.issue_key(self.follower.lease.log_time_s, self._random)
            scoped = keys.scope_key(request.organisation, key)
            request = dataclasses.replace(request, idempotency_key=scoped)
        else:
            issued_at_s = keys.read_issue_time(request.idempotency_key) or issued_at_s
        session = sessions.Session(
            request, self._make_session_context(), issued_at_s, is_new_key
        )
        task = session.start()
        self.sessions.add(task)
        task.add_done_callback(self.sessions.discard)
        return session

    def _refuse_session(
        self, request: work.Request, reason: work.RefusalReason, detail: str
    ) -> callers.Session:
        refusal = work.Refusal(
            request.request_id,
            0,
            reason,
            work.RunState.NOT_RUN,
            REFUSED_RETRY_AFTER_S,
            "accept",
            self.part.name,
            detail,
        )
        self.metrics.count_refusal(refusal.reason)
        return RefusedSession(request, refusal)

    def _make_session_context(self) -> sessions.SessionContext:
        return sessions.SessionContext(
            self.part.name,
            self._pool,
            self._log,
            self.dispatcher,
            self.quarantine,
            self.metrics,
            self.refresh,
            sessions.make_agent_lookup(self.follower.members.list_backend_servers),
            self._explanations.store,
            self._crash_notifier.notify,
            self.follower.lease.log_time_s,
        )


class RefusedSession:
    """A request that was refused before it started."""

    def __init__(self, request: work.Request, refusal: work.Refusal) -> None:
        self.request = request
        self._refusal = refusal

    async def replies(self) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Yields the refusal."""
        yield work.AgentReply(refusal=self._refusal)

    def cancel(self) -> None:
        """Does nothing, since no work was started."""

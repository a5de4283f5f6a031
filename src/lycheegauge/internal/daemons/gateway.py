"""The entry host daemon that forwards requests to backend servers unchanged."""

import asyncio
import dataclasses

import loguru

from lycheegauge import errors, metrics, settings
from lycheegauge.internal import logs
from lycheegauge.internal.coordination import members, rosterview
from lycheegauge.internal.daemons import (
    callerdrain,
    discoveryresponder,
    forwarder,
    lifecycle,
    loadsharing,
    metricslistener,
    reloading,
    requestintake,
    rosterclient,
    routeexplainer,
)
from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import clock, controlapi, ingress, peers, web

RETRY_INTERVAL_S = 0.1
"""Delay after the first search that found no leader, in seconds. It doubles with each
further one."""

RETRY_INTERVAL_MAX_S = 0.4
"""Many entry hosts that search for a leader must not overload the log hosts."""
SWEEP_INTERVAL_S = 1.0
ACCEPT_AFTER_STOP_S = 3.0
"""How long a stopping host still accepts callers that hold an older discovery answer,
in seconds."""

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class GatewayDaemon:
    """Owns an entry host's listeners and its view of the system."""

    def __init__(self, part: settings.GatewaySettings) -> None:
        self.part = part
        self.incarnation = clock.create_incarnation(members.format_incarnation)
        self.metrics = metrics.Metrics()
        self.view = rosterview.RosterView(part.roster.lease_s)
        self._dialect = controlcalls.get_dialect(part.dialect)
        self.forwarder = forwarder.Forwarder(
            part, self.view, self._dialect, self.metrics
        )
        self._pool = peers.ChannelPool()
        seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._client = rosterclient.RosterClient(self._pool, seeds, part.peer_address)
        intake = requestintake.RequestIntake(self.forwarder)
        budget = self.forwarder.budget
        self._ingress = ingress.Ingress(intake.handle, part.limits.body_bytes, budget)
        self._callers = web.Listener(
            part.caller_address, self._ingress, part.limits, budget
        )
        self._readiness = web.Listener(
            part.readiness_address,
            controlapi.make_application(self._answer_readiness, part.limits),
            part.limits,
        )
        self._discovery = discoveryresponder.DiscoveryResponder(
            self._dialect, part.answer_valid_s
        )
        self._directory: web.Listener | None = None
        if part.directory_address is not None:
            application = controlapi.make_application(
                self._answer_discovery, part.limits
            )
            self._directory = web.Listener(
                part.directory_address, application, part.limits
            )
        explainer = routeexplainer.RouteExplainer(self.forwarder)
        self._metrics_listener = metricslistener.MetricsListener(
            part.metrics_address,
            self.metrics,
            part.limits,
            {routeexplainer.PATH: explainer.answer},
        )
        self._load_sharing = loadsharing.LoadSharing(
            part.name,
            part.peer_address,
            self.forwarder.choice,
            lambda: self.view.hosts.values(),
            self.forwarder.load.is_high,
        )
        self.forwarder.records.on_load_changed = self._load_sharing.note_change
        self._load_sharing.on_news = self.forwarder.admission.note_news
        self._register_gauges()
        self.caller_address = part.caller_address
        self._tasks: list[asyncio.Task[None]] = []
        self._has_leader_contact = False
        self._has_share = False
        self._pull_interval_s = part.roster.pull_interval_s

    def _register_gauges(self) -> None:
        """Exports the current state of this host as metrics."""
        self.metrics.register_gauge(
            "lycheegauge_requests_running",
            "Requests under way",
            lambda: len(self.forwarder.running),
        )
        self.metrics.register_gauge(
            "lycheegauge_lease_left",
            "Seconds until this host stops serving without news",
            lambda: self.view.get_lease_left(clock.read_clock()),
        )
        self.metrics.register_gauge(
            "lycheegauge_usable_backend_servers",
            "Backend servers that may get new work",
            lambda: len(self.view.list_usable(clock.read_clock())),
        )
        self.metrics.register_gauge(
            "lycheegauge_entry_hosts",
            "Entry hosts that are listed as running",
            lambda: len(self.view.hosts),
        )
        self.metrics.register_gauge(
            "lycheegauge_limits_fraction",
            "Fraction of each limit of all entry hosts that this host may use",
            lambda: self.forwarder.share.get_fraction(clock.read_clock()),
        )

        self.metrics.register_gauge(
            "lycheegauge_memory_filled",
            "Filled fraction of the fullest backend server's memory, as estimated here",
            lambda: self.forwarder.load.get_most_filled(clock.read_clock()),
        )
        self.metrics.register_gauge(
            "lycheegauge_leaving_backend_servers",
            "Backend servers whose answers said that they leave",
            self.forwarder.statements.count_leaving,
        )
        self.metrics.register_gauge(
            "lycheegauge_waiting_backend_servers",
            "Backend servers that asked for a time without requests",
            lambda: self.forwarder.statements.count_waiting(clock.read_clock()),
        )

        budget = self.forwarder.budget
        if budget is not None:
            self.metrics.register_gauge(
                "lycheegauge_held_bytes",
                "Bytes held for callers and servers",
                lambda: budget.held_bytes,
            )
            self.metrics.register_gauge(
                "lycheegauge_stalled_requests",
                "Requests that wait for a caller or a server to take or send bytes",
                lambda: budget.waiting_count,
            )
            self.metrics.register_gauge(
                "lycheegauge_unread_connections",
                "Accepted connections that are not read yet, as memory is full",
                self._callers.count_unread,
            )
        self.metrics.register_gauge(
            "lycheegauge_suspected_backend_servers",
            "Backend servers that fail requests by the evidence of all hosts",
            self.forwarder.evidence.count_out,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this host can serve callers now."""
        has_lease = self.view.lease.allows_start(clock.read_clock())
        has_table = self.forwarder.services.index is not None
        return has_lease and has_table and not self.forwarder.stopping

    async def start(self) -> None:
        """Starts the listeners and begins to pull from the log hosts.

        Raises:
            OSError: An address can't be listened on.
        """
        self.caller_address = await self._callers.start()
        await self._readiness.start()
        await self._metrics_listener.start()
        if self._directory is not None:
            await self._directory.start()
        await self._load_sharing.start()
        for loop in (self._keep_pulling, self._keep_sweeping):
            self._tasks.append(lifecycle.start_task(loop))
        loguru.logger.info("started", step="start", caller_address=self.caller_address)

    async def drain(self) -> None:
        """Leaves discovery, serves for a while longer and finishes running requests."""
        drain = callerdrain.CallerDrain(self.forwarder, self._ingress, self._callers)
        drain.start()
        # Counted from the signal, however long the pull takes: what is taken later may
        # be cut off at the end of the grace.
        await asyncio.gather(
            self._pull_once(),
            asyncio.sleep(ACCEPT_AFTER_STOP_S),
            return_exceptions=True,
        )
        await drain.finish()

    async def close(self) -> None:
        """Cancels all tasks and closes everything without waiting."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.forwarder.close()
        await self._callers.close()
        await self._readiness.close()
        await self._metrics_listener.close()
        if self._directory is not None:
            await self._directory.close()
        await self._load_sharing.close()
        self._pool.close()
        self.metrics.close()

    def reload(self, part: settings.GatewaySettings) -> None:
        """Applies new seed hosts and a new limit on hedging.

        All other changes need a restart.
        """
        self.forwarder.hedging.extra_fraction = part.hedging.extra_fraction
        seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._client.set_seeds(seeds)

    def describe_self(self) -> roster.HostListing:
        """Returns this host's listing for other hosts."""
        return roster.HostListing(
            self.part.name,
            self.incarnation,
            self.part.availability_zone,
            self.caller_address,
            self.forwarder.services.index is not None,
            self.forwarder.stopping,
        )

    async def _answer_readiness(
        self, method: str, target: str, _body: bytes, _sender: controlapi.Sender
    ) -> controlapi.Response:
        call = self._dialect.parse_call(method, target)
        if not isinstance(call, controlcalls.CheckReadiness):
            return controlapi.Response(NOT_FOUND)
        return controlapi.Response(OK if self.is_ready else UNAVAILABLE)

    async def _answer_discovery(
        self, method: str, target: str, _body: bytes, _sender: controlapi.Sender
    ) -> controlapi.Response:
        """Tells a caller where to connect, as long as this host's view is fresh."""
        call = self._dialect.parse_call(method, target)
        if not isinstance(call, controlcalls.ListEntryHosts):
            return controlapi.Response(NOT_FOUND)
        age_s = clock.read_clock() - self.view.refreshed_at
        is_fresh = age_s <= self.part.roster.lease_s
        hosts = self.view.hosts.values() if is_fresh else ()
        return self._discovery.answer(hosts, self.forwarder.load.count_open_by_host())

    async def _keep_pulling(self) -> None:
        while True:
            asked = self._client.address
            if await self._pull_once():
                await asyncio.sleep(self._pull_interval_s)
            else:
                await self._find_leader(asked)

    async def _find_leader(self, asked: str) -> None:
        """Waits for a leader; returns at once if it is another one than ``asked``."""
        retry_s = RETRY_INTERVAL_S
        while not (self._client.is_leader_known or await self._client.find_leader()):
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, RETRY_INTERVAL_MAX_S)
        if self._client.address == asked:
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _pull_once(self) -> bool:
        """Pulls updates once; returns whether a leader answered."""
        pull = self.view.begin_pull(
            self.describe_self(),
            clock.read_clock(),
            self.forwarder.choice.list_own_requests(),
        )
        asked, sent_at = self._client.address, clock.read_clock()
        suspect_runs = self.forwarder.suspect_runs
        message = dataclasses.replace(
            self.forwarder.crashdetector.attach_reports(pull.message),
            gaps=self.forwarder.pop_gaps(),
            demand=self.forwarder.share.make_demand(clock.read_clock()),
            departures=self.forwarder.statements.list_unreported(),
            passes=self.forwarder.admission.list_passes(clock.read_clock()),
            outcomes=self.forwarder.evidence.list_outcomes(clock.read_clock()),
            suspect_slots=suspect_runs.slots.list_requests(sent_at),
        )
        try:
            reply = await self._client.pull(message)
        except errors.PeerUnreachableError as error:
            self._update_leader_contact(False, asked, str(error))
            return False
        now = clock.read_clock()
        changed = self.view.apply_reply(pull, reply, now)
        if reply.proof is not None:
            own_interval_s = self.part.roster.pull_interval_s
            self._pull_interval_s = reply.pull_interval_s or own_interval_s
            self.forwarder.crashdetector.apply_reply(message, reply, now)
            suspect_runs.slots.apply_grants(reply.suspect_slots, sent_at)
            suspect_runs.note_change()
            if reply.has_recorded:
                self.forwarder.statements.note_reported(message.departures)
            self.forwarder.share.apply_share(reply.share, now)
            self._log_share()
        self.forwarder.apply_changes(changed)
        self.forwarder.records.note_memories(reply.memories)
        if reply.proof is not None:
            self.forwarder.records.apply_suspects(reply)
            others = [name for name in self.view.hosts if name != self.part.name]
            self.forwarder.choice.update_hosts(others, now)
            self.forwarder.choice.set_other_requests(
                reply.open_elsewhere, clock.read_clock()
            )
            self.forwarder.admission.note_pull(reply.passes, self._pull_interval_s, now)
        is_from_leader = reply.proof is not None
        self._update_leader_contact(
            is_from_leader, asked, "the host asked is not the leader"
        )
        return is_from_leader

    def _log_share(self) -> None:
        fraction = self.forwarder.share.get_fraction(clock.read_clock())
        if (fraction > 0.0) == self._has_share:
            return
        self._has_share = fraction > 0.0
        loguru.logger.info(
            "share of the limits of all entry hosts",
            fraction=round(fraction, 4),
            window_s=self.part.repeats.window_s,
        )

    def _update_leader_contact(self, has_contact: bool, peer: str, detail: str) -> None:
        if has_contact == self._has_leader_contact:
            return
        self._has_leader_contact = has_contact
        if has_contact:
            loguru.logger.info("connected to the log's leader", peer=peer)
        else:
            loguru.logger.warning(
                "lost contact with the log's leader", peer=peer, detail=detail
            )

    async def _keep_sweeping(self) -> None:
        while True:
            self.forwarder.sweep()
            self.forwarder.log_outcomes()
            await asyncio.sleep(SWEEP_INTERVAL_S)


async def run_gateway(source: settings.SettingsSource) -> int:
    """Runs a forwarding entry host until SIGTERM or SIGINT."""
    part: settings.GatewaySettings = source.read()
    writer = logs.configure_logs(part.name, part.log_level)
    daemon = GatewayDaemon(part)
    reloader = reloading.Reloader(source, part, daemon.reload)
    reloader.start()
    code = await lifecycle.run_daemon(daemon, part.stop_timeout_s, reloader.reload)
    reloader.close()
    writer.close()
    return code

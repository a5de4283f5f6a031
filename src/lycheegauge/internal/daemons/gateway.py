"""The entry host that forwards requests to backend servers as they are."""

import asyncio
import dataclasses

import loguru

from lycheegauge import errors, metrics, settings
from lycheegauge.internal import logs
from lycheegauge.internal.coordination import members, rosterview
from lycheegauge.internal.daemons import (
    entrylists,
    forwarder,
    lifecycle,
    loadsharing,
    metricslistener,
    reloading,
    rosterclient,
)
from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import clock, controlapi, ingress, peers, web

RETRY_INTERVAL_S = 0.1
"""After a failed pull the next host is asked so soon, in seconds."""
SWEEP_INTERVAL_S = 1.0
ACCEPT_AFTER_STOP_S = 3.0
"""A stopping host still takes callers that hold an older answer, in seconds."""
DRAIN_POLL_S = 0.05

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class GatewayDaemon:
    """Owns an entry host's sockets and its view of the system."""

    def __init__(self, part: settings.GatewaySettings) -> None:
        self.part = part
        self.incarnation = clock.name_start(members.format_incarnation)
        self.metrics = metrics.Metrics()
        self.view = rosterview.RosterView(part.roster.lease_s)
        self._dialect = controlcalls.get_dialect(part.dialect)
        self.forwarder = forwarder.Forwarder(
            part, self.view, self._dialect, self.metrics
        )
        self._pool = peers.ChannelPool()
        seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._client = rosterclient.RosterClient(self._pool, seeds, part.peer_address)
        self._ingress = ingress.Ingress(self.forwarder.handle, part.limits.body_bytes)
        self._callers = web.Listener(part.caller_address, self._ingress, part.limits)
        self._readiness = web.Listener(
            part.readiness_address,
            controlapi.make_application(self._answer_readiness, part.limits),
            part.limits,
        )
        self._entries = entrylists.EntryLists(self._dialect, part.answer_valid_s)
        self._directory: web.Listener | None = None
        if part.directory_address is not None:
            application = controlapi.make_application(self._answer_caller, part.limits)
            self._directory = web.Listener(
                part.directory_address, application, part.limits
            )
        self._metrics_listener = metricslistener.MetricsListener(
            part.metrics_address, self.metrics, part.limits
        )
        self._sharing = loadsharing.LoadSharing(
            part.name,
            part.peer_address,
            self.forwarder.choice,
            lambda: self.view.hosts.values(),
            self.forwarder.is_crowded,
        )
        self.forwarder.on_load_changed = self._sharing.note_change
        self._observe()
        self.caller_address = part.caller_address
        self._tasks: list[asyncio.Task[None]] = []
        self._is_in_touch = False

    def _observe(self) -> None:
        """Exports what this host holds and believes now."""
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
            "Entry hosts that share what is limited over all",
            lambda: self.forwarder.host_count,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this host can serve callers now."""
        has_lease = self.view.lease.allows_start(clock.read_clock())
        has_table = self.forwarder.index is not None
        return has_lease and has_table and not self.forwarder.stopping

    async def start(self) -> None:
        """Starts listening and follows the log hosts.

        Raises:
            OSError: An address can't be listened on.
        """
        self.caller_address = await self._callers.start()
        await self._readiness.start()
        await self._metrics_listener.start()
        if self._directory is not None:
            await self._directory.start()
        await self._sharing.start()
        for loop in (self._keep_pulling, self._keep_sweeping):
            self._tasks.append(lifecycle.start_task(loop))
        loguru.logger.info("started", step="start", caller_address=self.caller_address)

    async def drain(self) -> None:
        """Leaves discovery, serves on for a while and finishes what runs."""
        self.forwarder.stopping = True
        await self._pull_once()
        await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        self._callers.stop_accepting()
        self._ingress.close_idle()
        while self.forwarder.running:
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self) -> None:
        """Closes everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.forwarder.close()
        await self._callers.close()
        await self._readiness.close()
        await self._metrics_listener.close()
        if self._directory is not None:
            await self._directory.close()
        await self._sharing.close()
        self._pool.close()
        self.metrics.close()

    def reload(self, part: settings.GatewaySettings) -> None:
        """Takes new seeds; the rest needs a restart."""
        seeds = rosterclient.list_seed_peers(part.roster, part.peer_address)
        self._client.set_seeds(seeds)

    def describe_self(self) -> roster.HostListing:
        """Returns this host as others see it."""
        return roster.HostListing(
            self.part.name,
            self.incarnation,
            self.part.availability_zone,
            self.caller_address,
            self.forwarder.index is not None,
            self.forwarder.stopping,
        )

    async def _answer_readiness(
        self, method: str, target: str, _: bytes
    ) -> controlapi.Answer:
        call = self._dialect.read_call(method, target)
        if not isinstance(call, controlcalls.CheckReady):
            return controlapi.Answer(NOT_FOUND)
        return controlapi.Answer(OK if self.is_ready else UNAVAILABLE)

    async def _answer_caller(
        self, method: str, target: str, _: bytes
    ) -> controlapi.Answer:
        """Tells a caller where to connect, while the news of it are fresh."""
        call = self._dialect.read_call(method, target)
        if not isinstance(call, controlcalls.ListEntries):
            return controlapi.Answer(NOT_FOUND)
        age_s = clock.read_clock() - self.view.refreshed_at
        is_fresh = age_s <= self.part.roster.lease_s
        return self._entries.answer(self.view.hosts.values() if is_fresh else ())

    async def _keep_pulling(self) -> None:
        while True:
            asked = self._client.address
            is_answered = await self._pull_once()
            if is_answered:
                await asyncio.sleep(self.part.roster.pull_interval_s)
            elif self._client.is_leader_told and self._client.address != asked:
                # Callers may be waiting for what the leader just named tells.
                continue
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _pull_once(self) -> bool:
        """Asks for news once; returns whether a leader answered."""
        pull = self.view.begin_pull(
            self.describe_self(),
            clock.read_clock(),
            self.forwarder.choice.list_own_requests(),
        )
        asked = self._client.address
        message = dataclasses.replace(
            self.forwarder.crashdetector.attach_reports(pull.message),
            gaps=self.forwarder.take_gaps(),
        )
        try:
            reply = await self._client.pull(message)
        except errors.PeerUnreachableError as error:
            self._note_contact(False, asked, str(error))
            return False
        now = clock.read_clock()
        changed = self.view.apply_reply(pull, reply, now)
        if reply.proof is not None:
            self.forwarder.crashdetector.apply_reply(message, reply, now)
        self.forwarder.take_changes(changed)
        if reply.proof is not None:
            others = [name for name in self.view.hosts if name != self.part.name]
            self.forwarder.choice.update_hosts(others, now)
            self.forwarder.choice.set_other_requests(
                reply.open_elsewhere, clock.read_clock()
            )
        is_led = reply.proof is not None
        self._note_contact(is_led, asked, "the host asked does not lead")
        return is_led

    def _note_contact(self, is_in_touch: bool, peer: str, detail: str) -> None:
        if is_in_touch == self._is_in_touch:
            return
        self._is_in_touch = is_in_touch
        if is_in_touch:
            loguru.logger.info("the log's leader answers", peer=peer)
        else:
            loguru.logger.warning("the log's leader is lost", peer=peer, detail=detail)

    async def _keep_sweeping(self) -> None:
        while True:
            self.forwarder.sweep()
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

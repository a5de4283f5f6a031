"""The log host daemon of a forwarding deployment."""

import loguru

from lycheegauge import metrics, settings
from lycheegauge.internal import logs
from lycheegauge.internal.daemons import (
    controlgate,
    lifecycle,
    metricslistener,
    reloading,
    rosterhost,
)
from lycheegauge.internal.protocol import controlcalls
from lycheegauge.internal.transport import clock, controlapi, peers, services, web


class ControlDaemon:
    """Runs a log host: its log replica and its listeners."""

    def __init__(self, part: settings.ControlSettings) -> None:
        self._pool = peers.ChannelPool()
        dialect = controlcalls.get_dialect(part.dialect)
        self.host = rosterhost.RosterHost(part, self._pool, dialect)
        self.gate = controlgate.ControlGate(part, self.host, dialect)
        service = services.RosterHostService(
            self.host.deliver,
            self.host.pull,
            self.gate.handle_relayed,
            self.gate.relative_calls.resolve,
            self.gate.relative_calls.commit,
            self.host.handle_membership_question,
        )
        self._peer_server = peers.PeerServer(part.peer_address, [service])
        application = controlapi.make_application(self.gate.handle, part.limits)
        self.metrics = self.host.metrics = metrics.Metrics()
        self._register_gauges()
        self._metrics_listener = metricslistener.MetricsListener(
            part.metrics_address, self.metrics, part.limits
        )
        self.listeners = [
            web.Listener(address, application, part.limits)
            for address in dict.fromkeys((part.control_address, part.directory_address))
        ]

    def _register_gauges(self) -> None:
        """Registers the gauges that describe this host's state."""
        host = self.host
        for name, description, read in (
            ("leads", "1 while this host leads the log", lambda: host.task.is_leader),
            ("term", "The log's term", lambda: host.task.term),
            ("log_index", "Last entry applied", lambda: host.task.applied_index),
            (
                "voters",
                "Voters of the log",
                lambda: len(host.task.membership.voters),
            ),
            (
                "backend_servers",
                "Backend servers in the leader's book",
                lambda: (
                    len(host.get_registry().list_servers())
                    if host.task.is_leader
                    else len(host.view.servers)
                ),
            ),
            (
                "roster_age",
                "Seconds since a follower last heard the leader",
                lambda: (
                    0.0
                    if host.task.is_leader
                    else min(1e6, clock.read_clock() - host.view.refreshed_at)
                ),
            ),
        ):
            self.metrics.register_gauge(f"lycheegauge_{name}", description, read)

    async def start(self) -> None:
        """Opens the journal and starts listening.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
            OSError: An address can't be bound.
        """
        self.host.meter.start()
        await self.host.start()
        await self._peer_server.start()
        for listener in self.listeners:
            await listener.start()
        await self._metrics_listener.start()
        loguru.logger.info("started", step="start", address=self.host.address)

    def reload(self, part: settings.ControlSettings) -> None:
        """Applies changed seed hosts; all other settings need a restart."""
        self.host.set_seeds(part)

    async def drain(self) -> None:
        """Does nothing: another replica takes over as leader."""

    async def close(self) -> None:
        """Closes the listeners, the replica and the connections to other hosts."""
        for listener in self.listeners:
            await listener.close()
        await self._metrics_listener.close()
        self.metrics.close()
        await self.host.close()
        await self.host.meter.close()
        await self._peer_server.close()
        self._pool.close()


async def run_control(source: settings.SettingsSource) -> int:
    """Runs a log host of a forwarding deployment until SIGTERM or SIGINT."""
    part: settings.ControlSettings = source.read()
    writer = logs.configure_logs(part.name, part.log_level)
    daemon = ControlDaemon(part)
    reloader = reloading.Reloader(source, part, daemon.reload)
    reloader.start()
    code = await lifecycle.run_daemon(daemon, part.stop_timeout_s, reloader.reload)
    reloader.close()
    writer.close()
    return code

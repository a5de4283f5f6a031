"""Notifies the other entry hosts of a crash before the log has recorded it."""

import asyncio
import collections.abc

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination import crashes
from lycheegauge.internal.protocol import changes, freshness, proposals
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

ListHosts = collections.abc.Callable[[], collections.abc.Iterable[freshness.EntryHost]]


class CrashNotifier:
    """Sends and receives crash notifications; single messages may be lost.

    Args:
        name: This entry host's name.
        pool: Channels to other hosts.
        view: This host's view of the quarantine.
        list_hosts: Lists the currently known entry hosts.
    """

    def __init__(
        self,
        name: str,
        pool: peers.ChannelPool,
        view: crashes.QuarantineView,
        list_hosts: ListHosts,
    ) -> None:
        self._name = name
        self._pool = pool
        self._view = view
        self._list_hosts = list_hosts
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancels all messages in flight."""
        for task in self._tasks:
            task.cancel()

    def notify(self, report: crashes.CrashReport) -> None:
        """Applies a report locally and sends it to all other entry hosts."""
        self._view.add_notification(report, clock.read_clock())
        message = changes.ReportCrash(
            report.backend_server,
            report.boot_id,
            report.fingerprints,
            0.0,
            report.alone,
        )
        for host in self._list_hosts():
            if host.name != self._name:
                task = asyncio.create_task(self._send(host.peer_address, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def receive(self, message: changes.ReportCrash) -> proposals.Received:
        """Applies a crash report received from another entry host."""
        report = crashes.CrashReport(
            message.backend_server,
            message.boot_id,
            message.fingerprints,
            message.alone,
        )
        self._view.add_notification(report, clock.read_clock())
        return proposals.Received()

    async def _send(self, address: str, message: changes.ReportCrash) -> None:
        try:
            await self._pool.call(
                address,
                "notify crash",
                lambda channel: services_grpc.EntryStub(channel).TakeCrash,
                message,
            )
        except errors.PeerUnreachableError as error:
            loguru.logger.debug(str(error), step="notify crash", peer=address)

"""Tells the other entry hosts of a crash, before the log has it."""

import asyncio
import collections.abc

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination import crashes
from lycheegauge.internal.protocol import changes, freshness, proposals
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

ListHosts = collections.abc.Callable[[], collections.abc.Iterable[freshness.EntryHost]]


class CrashNews:
    """Sends and takes news of crashes; losing some is allowed.

    Args:
        name: This entry host's name.
        pool: Channels to other hosts.
        view: This host's view of the quarantine.
        list_hosts: Lists the entry hosts known now.
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
        """Ends all messages under way."""
        for task in self._tasks:
            task.cancel()

    def notify(self, report: crashes.CrashReport) -> None:
        """Sends a report to all other entry hosts, and takes it here."""
        self._view.add_notification(report, clock.read_clock())
        message = changes.ReportCrash(
            report.backend_server, report.boot_id, report.fingerprints, 0.0
        )
        for host in self._list_hosts():
            if host.name != self._name:
                task = asyncio.create_task(self._send(host.peer_address, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def take(self, message: changes.ReportCrash) -> proposals.Received:
        """Takes another entry host's news."""
        report = crashes.CrashReport(
            message.backend_server, message.boot_id, message.fingerprints
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

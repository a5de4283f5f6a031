"""Finds out whether servers crashed, after attempts there were aborted."""

import asyncio
import collections.abc
import dataclasses

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination import (
    crashdetector,
    declaredservices,
    partdetector,
    rosterview,
    serverchoice,
)
from lycheegauge.internal.protocol import changes, roster
from lycheegauge.internal.transport import clock, upstream


class CrashProbes:
    """Collects evidence of crashes and probes the servers of aborted attempts.

    Args:
        view: The roster.
        services: The declared services.
        choice: The open requests of the servers.
        detector: Decides which servers crashed and which requests are suspected.
        pool: The connections to the servers.
        note_crash: Called after each crash that is found.
    """

    def __init__(
        self,
        view: rosterview.RosterView,
        services: declaredservices.DeclaredServices,
        choice: serverchoice.ServerChoice,
        detector: crashdetector.CrashDetector,
        pool: upstream.ConnectionPool,
        note_crash: collections.abc.Callable[[], None],
    ) -> None:
        self._view = view
        self._services = services
        self._choice = choice
        self._detector = detector
        self._pool = pool
        self._note_crash = note_crash
        self._probes: dict[str, asyncio.Task[None]] = {}

    def record_broken_attempt(
        self,
        server: roster.ServerListing,
        fingerprint: str,
        parts: tuple[str, ...],
        is_alone: bool = False,
        parts_alone: tuple[str, ...] = (),
    ) -> None:
        """Records an aborted attempt and probes whether its server is gone.

        Args:
            server: The attempt's server.
            fingerprint: The digest of the request.
            parts: The shared parts of its prompt, if they may have crashed the server.
            is_alone: Whether it was the only suspect of its service.
            parts_alone: The parts for which it was.
        """
        now = clock.read_clock()
        suspect = None
        if parts:
            slots = max(1, self._services.count_slots(server))
            open_requests = self._choice.estimate(server, slots, now) * slots
            suspect = partdetector.Suspect(parts, open_requests, parts_alone)
        self._detector.record_broken_attempt(
            server, fingerprint, now, suspect, is_alone
        )
        if server.incarnation in self._probes:
            return
        task = asyncio.create_task(self._probe(server))
        self._probes[server.incarnation] = task
        task.add_done_callback(lambda _: self._probes.pop(server.incarnation, None))

    def detect_restarts(self) -> None:
        """Compares the roster with the servers of aborted attempts."""
        listed, now = self._view.servers.values(), clock.read_clock()
        for report in self._detector.detect_restarts(listed, now):
            self._handle_crash(report, "it restarted")

    async def close(self) -> None:
        """Cancels all probes."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _probe(self, server: roster.ServerListing) -> None:
        """Checks once for all attempts aborted at a server whether it still listens."""
        try:
            connection = await self._pool.connect(server.incarnation, server.address)
        except errors.PeerUnreachableError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                now = clock.read_clock()
                report = self._detector.handle_refused_connection(server, now)
                if report is not None:
                    self._handle_crash(report, "its port is closed")
            return
        self._pool.release(server.incarnation, connection)

    def _handle_crash(self, report: changes.ReportCrash, evidence: str) -> None:
        self._note_crash()
        loguru.logger.warning(
            "a backend server crashed while it ran requests",
            server=report.backend_server,
            born_ms=report.boot_id,
            evidence=evidence,
            fingerprints=report.fingerprints,
            alone=report.alone,
            parts=[
                dataclasses.asdict(item)
                for item in self._detector.parts.pop_estimates()
            ],
        )

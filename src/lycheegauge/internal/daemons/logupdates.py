"""Applies the updates that a forwarding entry host pulls from the log."""

import math
import zlib

import loguru
from returns import result

from lycheegauge.internal.coordination import (
    declaredservices,
    rosterview,
    routeindex,
    serverchoice,
    serverevidence,
    serverstatements,
)
from lycheegauge.internal.daemons import crashprobes, startwait, streamadmissions
from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import clock


class LogUpdates:
    """Brings new route tables, restrictions and rosters into force.

    Args:
        view: The roster and the routing state.
        dialect: The dialect of the external API.
        services: The declared services.
        choice: The open requests of the servers.
        statements: What the servers' answers stated.
        evidence: The servers that are out because they fail requests.
        crash_probes: Compares new rosters with aborted attempts.
        admission: The admission of streams.
        start_wait: The requests that wait for updates.
        weighs_work: Whether servers are compared by their work.
    """

    def __init__(
        self,
        view: rosterview.RosterView,
        dialect: controlcalls.Dialect,
        services: declaredservices.DeclaredServices,
        choice: serverchoice.ServerChoice,
        statements: serverstatements.ServerStatements,
        evidence: serverevidence.ServerEvidence,
        crash_probes: crashprobes.CrashProbes,
        admission: streamadmissions.StreamAdmissions,
        start_wait: startwait.StartWait,
        weighs_work: bool,
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._services = services
        self._choice = choice
        self._statements = statements
        self._evidence = evidence
        self._crash_probes = crash_probes
        self._admission = admission
        self._start_wait = start_wait
        self._weighs_work = weighs_work

    def apply(self, changed: tuple[str, ...]) -> None:
        """Applies the changes that a pull returned."""
        if changed:
            self._start_wait.note_update()
        if "table" in changed and self._view.table is not None:
            self._apply_table(self._view.table)
        if "restrictions" in changed:
            restrictions = self._view.restrictions
            loguru.logger.info(
                "restrictions in force",
                revision=restrictions.revision,
                zones_out=restrictions.zones_out,
                departures=len(restrictions.departures),
            )
        if "roster" in changed:
            self._apply_roster()

    def _apply_roster(self) -> None:
        servers = self._view.servers
        self._choice.remove_absent(servers)
        if self._weighs_work:
            self._services.update_servers(servers.values())
            self._choice.update_servers(servers.values())
        self._evidence.update_servers(servers.values(), clock.read_clock())
        self._crash_probes.detect_restarts()

    def _apply_table(self, document: roster.RouteDocument) -> None:
        read = self._dialect.parse_table(zlib.decompress(document.body))
        if isinstance(read, result.Failure):
            loguru.logger.error(
                "a committed route table can't be read",
                version=document.version,
                reason=str(read.failure()),
            )
            return
        index = self._services.index = routeindex.RouteIndex(read.unwrap())
        self._statements.set_longest_deadline(
            max((route.timeout_s for route in index.table.routes), default=math.inf)
        )
        self._admission.set_table(index)
        self._start_wait.note_table()
        loguru.logger.info("route table in force", version=document.version)

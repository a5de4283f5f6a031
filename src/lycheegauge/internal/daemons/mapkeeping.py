"""Looks after the expert maps of all services while its host leads the log."""

import asyncio
import typing
import zlib

import loguru

from lycheegauge.internal.daemons import mapcoordination
from lycheegauge.internal.protocol import (
    controlcalls,
    enginedialects,
    roster,
    routetables,
)
from lycheegauge.internal.transport import clock, peers

if typing.TYPE_CHECKING:
    from lycheegauge.internal.daemons import rosterhost


GAPS_FOR_S = 0.6
"""Pauses told within it are of now: two pulls of every entry host, in seconds."""

TAKEOVER_INTERVAL_S = 0.1
"""A host that does not lead looks this often whether it does. Its predecessor may
have left a pass held, so it begins at once."""


class MapKeeper:
    """Runs one coordination for each leadership of its host.

    Args:
        host: The log host.
        pool: The channels to the agents.
        dialect: The words of route tables.
    """

    def __init__(
        self,
        host: "rosterhost.RosterHost",
        pool: peers.ChannelPool,
        dialect: controlcalls.Dialect,
    ) -> None:
        self._host = host
        self._pool = pool
        self._dialect = dialect
        self._document: roster.RouteDocument | None = None
        self._table = routetables.RouteTable(0, (), ())
        self._coordination: mapcoordination.MapCoordination | None = None
        self._term = 0

    async def run(self) -> None:
        """Looks at all groups again and again; ends when it is cancelled."""
        try:
            while True:
                wait_s = TAKEOVER_INTERVAL_S
                if self._host.task.is_leader:
                    try:
                        wait_s = await self._look()
                    except (KeyError, ValueError, ArithmeticError) as error:
                        # The maps stay as they are; no request depends on them.
                        loguru.logger.opt(exception=error).error("maps not planned")
                await asyncio.sleep(wait_s)
        finally:
            if self._coordination is not None:
                self._coordination.close()

    def _follow_term(self) -> mapcoordination.MapCoordination:
        term = self._host.task.term
        if self._coordination is None or term != self._term:
            if self._coordination is not None:
                self._coordination.close()
            self._term = term
            _, port = peers.split_address(self._host.address)
            self._coordination = mapcoordination.MapCoordination(
                term,
                self._pool,
                port,
                enginedialects.get_dialect(self._host.part.dialect),
            )
        return self._coordination

    async def _look(self) -> float:
        """Looks at all groups once; returns when to look again, in seconds."""
        coordination = self._follow_term()
        wait_s = mapcoordination.OBSERVE_INTERVAL_S
        for service in self._list_grouped_services():
            servers = [
                server
                for server in self._host.get_registry().list_servers()
                if server.service == service.name
            ]
            if not servers:
                continue
            gap_s = self._find_target_gap(service.name)
            since = clock.read_clock() - GAPS_FOR_S
            longest_s = self._host.get_registry().find_longest_gap(service.name, since)
            look = await coordination.run_round(service, servers, gap_s, longest_s)
            wait_s = min(wait_s, look.wait_s)
            self._note_silence(servers, look.silent)
        return wait_s

    def _note_silence(
        self, servers: list[roster.ServerListing], silent: frozenset[str]
    ) -> None:
        """Has entry hosts pass over servers that nobody reaches."""
        registry = self._host.get_registry()
        for server in servers:
            if registry.mark_silent(server.name, server.name in silent):
                loguru.logger.info(
                    "a backend server is silent"
                    if server.name in silent
                    else "a backend server answers again",
                    server=server.name,
                    address=server.address,
                )

    def _find_target_gap(self, service: str) -> float:
        gaps = [
            route.target_gap_s
            for route in self._table.routes
            if any(part.service == service for part in route.services)
        ]
        return min(gaps, default=1.0)

    def _list_grouped_services(self) -> list[routetables.ServiceDeclaration]:
        """Lists the services whose backend servers run in lock step."""
        document = self._host.routing.table
        if document is None:
            return []
        if document is not self._document:
            read = self._dialect.read_table(zlib.decompress(document.body))
            self._document = document
            self._table = read.unwrap()
        return [item for item in self._table.services if item.experts is not None]

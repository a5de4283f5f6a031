"""Coordinates the expert maps of all services while its host is appointed to."""

import asyncio
import typing
import zlib

import loguru

from lycheegauge.internal.daemons import mapcoordination, relayedmaps
from lycheegauge.internal.protocol import (
    controlcalls,
    enginedialects,
    roster,
    routetables,
)
from lycheegauge.internal.transport import clock, peers

if typing.TYPE_CHECKING:
    from lycheegauge.internal.daemons import rosterhost


APPOINTMENT_CHECK_INTERVAL_S = 0.1
"""How often a host checks whether it has been appointed. Its predecessor may have left
a forward pass held, so it must take over quickly."""


class MapCoordinationRunner:
    """Runs a new map coordination for each appointment of its host.

    Args:
        host: The log host.
        pool: Channels to the agents.
        dialect: The dialect of route tables.
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
        self._relayed: relayedmaps.RelayedMaps | None = None
        self._appointment = 0

    async def run(self) -> None:
        """Polls all groups periodically until cancelled."""
        try:
            while True:
                wait_s = APPOINTMENT_CHECK_INTERVAL_S
                appointment = self._host.find_map_appointment()
                if appointment is not None:
                    try:
                        wait_s = await self._poll_groups(appointment)
                    except (KeyError, ValueError, ArithmeticError) as error:
                        # The maps in force stay; no request depends on a new one.
                        loguru.logger.opt(exception=error).error(
                            "could not plan expert maps"
                        )
                await asyncio.sleep(wait_s)
        finally:
            self._close_coordination()

    def _close_coordination(self) -> None:
        if self._coordination is not None:
            self._coordination.close()
        if self._relayed is not None:
            self._relayed.close()

    def _get_coordination(
        self, appointment: int
    ) -> tuple[mapcoordination.MapCoordination, relayedmaps.RelayedMaps]:
        if (
            self._coordination is None
            or self._relayed is None
            or appointment != self._appointment
        ):
            self._close_coordination()
            self._appointment = appointment
            loguru.logger.info("coordinating the expert maps", appointment=appointment)
            _, port = peers.split_address(self._host.address)
            dialect = enginedialects.get_dialect(self._host.part.dialect)
            self._coordination = mapcoordination.MapCoordination(
                appointment, self._pool, port, dialect, self._host.meter
            )
            self._relayed = relayedmaps.RelayedMaps(
                appointment,
                self._pool,
                port,
                dialect,
                self._host.meter,
                self._host.part.maps,
                self._host.record_map_switch,
            )
        return self._coordination, self._relayed

    async def _poll_groups(self, appointment: int) -> float:
        """Polls all groups once; returns the time until the next poll, in seconds."""
        coordination, relayed = self._get_coordination(appointment)
        gaps = {
            gap.service: gap.longest_s
            for gap in self._host.list_longest_gaps(clock.read_clock())
        }
        silent: set[str] = set()
        paces: list[roster.ServerPace] = []
        wait_s = mapcoordination.OBSERVE_INTERVAL_S
        for service in self._list_grouped_services():
            servers = [
                server
                for server in self._host.list_servers()
                if server.service == service.name
            ]
            if not servers:
                continue
            gap_s = self._find_target_gap(service.name)
            longest_gap_s = gaps.get(service.name)
            large = await relayed.poll_service(service, servers, gap_s, longest_gap_s)
            paces += large.paces
            parts = [large.polled]
            if large.small:
                parts.append(
                    await coordination.poll_service(
                        service, large.small, gap_s, longest_gap_s
                    )
                )
            for polled in parts:
                wait_s = min(wait_s, polled.wait_s)
                silent |= polled.silent
                self._host.set_server_memories(polled.memories)
        self._host.set_slow_servers(tuple(paces))
        self._host.set_silent_servers(tuple(sorted(silent)))
        return wait_s

    def _find_target_gap(self, service: str) -> float:
        gaps = [
            route.target_gap_s
            for route in self._table.routes
            if any(part.service == service for part in route.services)
        ]
        return min(gaps, default=1.0)

    def _list_grouped_services(self) -> list[routetables.ServiceDeclaration]:
        """Lists the services whose backend servers run in lock-step."""
        document = self._host.routing.table
        if document is None:
            return []
        if document is not self._document:
            read = self._dialect.parse_table(zlib.decompress(document.body))
            self._document = document
            self._table = read.unwrap()
        return [item for item in self._table.services if item.experts is not None]

"""Coordinates the expert maps of large lock-step groups through relays.

Groups below the size in the settings are left to ``mapcoordination``.
"""

import collections
import collections.abc
import dataclasses
import math

from lycheegauge import settings
from lycheegauge.internal.coordination import enginememory
from lycheegauge.internal.daemons import (
    engineclient,
    engineroutes,
    layerplanning,
    mapcoordination,
    rankfanout,
    relayedgroup,
    switchlog,
    workmeter,
)
from lycheegauge.internal.protocol import (
    enginedialects,
    maporders,
    roster,
    routetables,
)
from lycheegauge.internal.transport import clock, peers

DISCOVERY_INTERVAL_S = 1.0
"""Interval between reads of servers of unknown groups beside known large groups."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePoll:
    """Result of one poll of a service's large groups.

    Attributes:
        polled: When the next poll is due, and which servers could not be reached.
        small: The servers whose groups are small. Those of unknown groups are not among
            them: two objects must never number the orders to one group.
        paces: The slow servers.
    """

    polled: mapcoordination.PollResult
    small: tuple[roster.ServerListing, ...]
    paces: tuple[roster.ServerPace, ...]


class RelayedMaps:
    """Owns the state of all large groups during one appointment.

    Args:
        appointment: The appointment's number.
        pool: Channels to the agents.
        agent_port: Port of all agents, on the hosts of their engines.
        dialect: The engines' dialect, for direct calls when an agent does not answer.
        meter: Measures the time that this host spends.
        maps: Settings.
        record_switch: Takes the seconds of each phase of a finished switch.
    """

    def __init__(
        self,
        appointment: int,
        pool: peers.ChannelPool,
        agent_port: int,
        dialect: enginedialects.EngineDialect,
        meter: workmeter.WorkMeter,
        maps: settings.MapSettings,
        record_switch: collections.abc.Callable[[str, float], None],
    ) -> None:
        self._appointment = appointment
        self._maps = maps
        self._routes = engineroutes.EngineRoutes(
            pool,
            agent_port,
            lambda address: engineclient.EngineClient(dialect, address),
        )
        self._fanout = rankfanout.RankFanout(pool, agent_port, self._routes)
        self._context = relayedgroup.GroupContext(
            self._fanout,
            self._routes,
            layerplanning.LayerPlanner(pool, agent_port, meter),
            maps,
            meter,
            record_switch,
        )
        self._groups: dict[str, relayedgroup.RelayedGroup] = {}
        self._group_names: dict[str, str] = {}
        self._sizes: dict[str, int] = {}
        self._small: set[str] = set()
        self._misassigned: set[str] = set()
        self._discovery_due_at = -math.inf

    def close(self) -> None:
        """Closes all direct connections to engines."""
        for group in self._groups.values():
            group.close()
        self._routes.close()

    async def poll_service(
        self,
        service: routetables.ServiceDeclaration,
        servers: collections.abc.Sequence[roster.ServerListing],
        target_gap_s: float,
        longest_gap_s: float | None = None,
    ) -> ServicePoll:
        """Polls the large groups of a service and sends the orders that are due.

        Args:
            service: The service, whose servers are ranks.
            servers: Its servers.
            target_gap_s: The longest pause between events that is still on time.
            longest_gap_s: The longest recent pause, if there was any.
        """
        assert service.experts is not None
        if not self._maps.relayed_from_ranks or (
            len(servers) < self._maps.relayed_from_ranks
        ):
            left = mapcoordination.PollResult(math.inf, frozenset())
            return ServicePoll(left, tuple(servers), ())
        # Neighbours have the same relay: fewer bytes pass between zones, and losses
        # in one zone concern fewer parts.
        ordered = sorted(servers, key=lambda s: (s.availability_zone, s.name))
        await self._discover(ordered, service.experts)
        waits = [math.inf]
        silent = {
            server.name
            for server in ordered
            if server.address not in self._group_names
            and server.address not in self._small
        }
        paces: list[roster.ServerPace] = []
        memories: list[roster.ServerMemory] = []
        for name, members in self._list_members(ordered).items():
            group = self._groups[name]
            waits.append(
                await group.poll(
                    [server.address for server in members],
                    service.experts,
                    target_gap_s,
                    longest_gap_s,
                )
            )
            silent |= {
                server.name for server in members if server.address in group.silent
            }
            self._release_misassigned(group)
            paces += _list_slow(group, members)
            memories += _list_filled(group, members)
        if 2 * len(silent) > len(servers):
            # More likely this host is the one that is partitioned.
            silent = set()
        return ServicePoll(
            mapcoordination.PollResult(min(waits), frozenset(silent), tuple(memories)),
            tuple(server for server in servers if server.address in self._small),
            tuple(paces),
        )

    async def _discover(
        self,
        servers: collections.abc.Sequence[roster.ServerListing],
        experts: routetables.ExpertLayout,
    ) -> None:
        """Reads to which groups the servers belong that are not known yet."""
        addresses = [server.address for server in servers]
        for address in self._group_names.keys() - set(addresses):
            del self._group_names[address]
        self._small &= set(addresses)
        self._misassigned &= set(addresses)
        unknown = {
            address
            for address in addresses
            if address not in self._group_names and address not in self._small
        }
        unknown -= self._assign_missing(sorted(unknown - self._misassigned))
        now = clock.read_clock()
        if not unknown or now < self._discovery_due_at:
            return
        if self._groups:
            self._discovery_due_at = now + DISCOVERY_INTERVAL_S
        reading = await self._fanout.observe(
            addresses, unknown, maporders.EngineQuestion(False), experts.report_lag_s
        )
        for address, observation in reading.observations.items():
            report = observation.report
            self._misassigned.discard(address)
            if report.size < self._maps.relayed_from_ranks:
                self._small.add(address)
                continue
            self._group_names[address] = report.group
            self._sizes[report.group] = report.size
            if report.group not in self._groups:
                self._groups[report.group] = relayedgroup.RelayedGroup(
                    report.group, self._appointment, self._context
                )

    def _assign_missing(self, addresses: list[str]) -> set[str]:
        """Assigns unknown servers to large groups of which ranks are missing.

        Reading a server that is down takes several time-outs, during which the groups
        would not be polled. The group's own poll shows whether it belongs there.
        """
        counts = collections.Counter(self._group_names.values())
        assigned = set()
        for name in self._groups:
            missing = max(0, self._sizes[name] - counts[name])
            for address in addresses[:missing]:
                self._group_names[address] = name
                assigned.add(address)
            addresses = addresses[missing:]
        return assigned

    def _list_members(
        self, servers: collections.abc.Sequence[roster.ServerListing]
    ) -> dict[str, list[roster.ServerListing]]:
        members: dict[str, list[roster.ServerListing]] = {}
        for server in servers:
            name = self._group_names.get(server.address)
            if name is not None:
                members.setdefault(name, []).append(server)
        return members

    def _release_misassigned(self, group: relayedgroup.RelayedGroup) -> None:
        """Has the servers read again that turned out to be of another group."""
        for address in group.misassigned:
            self._group_names.pop(address, None)
            self._misassigned.add(address)
        group.misassigned.clear()


def _list_slow(
    group: relayedgroup.RelayedGroup,
    members: collections.abc.Sequence[roster.ServerListing],
) -> list[roster.ServerPace]:
    """Lists the members that take much longer than usual for their part of a pass."""
    return [
        roster.ServerPace(server.name, group.known[server.address].report.pace)
        for server in members
        if server.address in group.known
        and group.known[server.address].report.pace > switchlog.SLOW_PACE
    ]


def _list_filled(
    group: relayedgroup.RelayedGroup,
    members: collections.abc.Sequence[roster.ServerListing],
) -> list[roster.ServerMemory]:
    """Lists the members whose memory is mostly in use.

    A rank that did not answer this poll may still be known from an earlier one, so each
    report has its age.
    """
    now = clock.read_clock()
    known = {
        server.name: group.known[server.address]
        for server in members
        if server.address in group.known
    }
    used = {name: item.report.memory_used for name, item in known.items()}
    return [
        dataclasses.replace(
            memory, age_ms=max(0, round(1000 * (now - known[memory.server].as_of)))
        )
        for memory in enginememory.list_filled(members, used)
    ]

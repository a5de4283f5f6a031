"""Routes calls to engines: through their agent, directly, or through another agent.

The agent beside an engine reads its current state at almost no cost. If the agent does
not answer, the engine is called directly, which costs more. A network partition may
also separate a host from the log hosts only. The agent of another engine can then
still reach it, so that a forward pass that is held there is released.
"""

import collections.abc
import dataclasses
import enum
import typing

import loguru

from lycheegauge import errors
from lycheegauge.internal.protocol import maporders
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

DEFAULT_TIMEOUT_S = 0.3
"""Time-out of a call to an agent while no pass is held. A busy host needs some tenths
of a second."""

URGENT_TIMEOUT_S = 0.12
"""Time-out of a call to an agent while a pass is held: several times the duration of
an undisturbed call, and less than the time until the held pass is due."""

FAILED_ROUTE_BACKOFF_S = 5.0
"""A route that failed is not used for this long, unless no other is left."""

RELAYS_MAX = 2
"""Relays tried in one poll. More would most likely fail for the same reason."""


class EngineRoute(enum.Enum):
    """How an engine is reached, in the order in which the routes are tried."""

    AGENT = "the engine's agent"
    STRAIGHT = "a direct call"
    RELAY = "another engine's agent"


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A report and how old its state may be.

    Attributes:
        report: The report.
        as_of: The earliest time of the state that it shows, in seconds.
        lag_s: How much earlier that is than the call, in seconds.
    """

    report: maporders.EngineReport
    as_of: float
    lag_s: float


class DirectClient(typing.Protocol):
    """A client that calls one engine directly."""

    async def observe(
        self, question: maporders.EngineQuestion
    ) -> maporders.EngineReport:
        """Reads the engine's state."""

    async def order(self, order: maporders.MapOrder) -> maporders.MapOrderReply:
        """Sends an order to the engine."""

    def close(self) -> None:
        """Closes the connections."""


class EngineRoutes:
    """Owns the routes to all engines for one term of a leader.

    Args:
        pool: Channels to the agents.
        agent_port: Port of all agents, on the hosts of their engines.
        make_client: Creates a client for an engine's address.
    """

    def __init__(
        self,
        pool: peers.ChannelPool,
        agent_port: int,
        make_client: collections.abc.Callable[[str], DirectClient],
    ) -> None:
        self._pool = pool
        self._agent_port = agent_port
        self._make_client = make_client
        self._clients: dict[str, DirectClient] = {}
        self._avoided_until: dict[tuple[str, EngineRoute], float] = {}
        self._relay_rotation = 0

    def close(self) -> None:
        """Closes all direct connections to engines."""
        for client in self._clients.values():
            client.close()

    async def observe(
        self,
        address: str,
        question: maporders.EngineQuestion,
        others: collections.abc.Sequence[str],
        is_urgent: bool,
        report_lag_s: float,
    ) -> Observation | None:
        """Reads an engine's state; ``None`` if all routes to it fail.

        Args:
            address: The engine's address.
            question: What to read. Counts are expensive to read from another host,
                so only the engine's own agent is asked for them.
            others: Addresses of other engines, whose agents may relay.
            is_urgent: Whether a pass is held until the answer arrives.
            report_lag_s: How old the state may be that the engine reports to a host
                other than its own, in seconds.
        """
        for route in self._list_routes(address):
            asked_at = clock.read_clock()
            try:
                report = await self._observe_by_route(
                    route, address, question, others, is_urgent
                )
            except errors.LycheegaugeError as error:
                self._record_failure(address, route, error)
                continue
            lag_s = 0.0 if route is EngineRoute.AGENT else report_lag_s
            return Observation(report, asked_at - lag_s, lag_s)
        return None

    async def _observe_by_route(
        self,
        route: EngineRoute,
        address: str,
        question: maporders.EngineQuestion,
        others: collections.abc.Sequence[str],
        is_urgent: bool,
    ) -> maporders.EngineReport:
        if route is EngineRoute.AGENT:
            return await self._observe_by_agent(address, question, is_urgent)
        remote_question = maporders.EngineQuestion(False, question.experts, address)
        if route is EngineRoute.STRAIGHT:
            return await self._get_client(address).observe(remote_question)
        return await self._observe_by_relay(address, remote_question, others, is_urgent)

    async def order(
        self,
        address: str,
        order: maporders.MapOrder,
        others: collections.abc.Sequence[str],
    ) -> maporders.MapOrderOutcome:
        """Sends an order once, by the first route that has not failed recently.

        It is not sent again by another route: it may already have been carried out.
        Orders to hold a pass go through another engine's agent, so that the host
        that handled the order is not the one that must be reached to release it.
        """
        route = self._list_routes(address)[0]
        if order.kind is maporders.MapOrderKind.HOLD and len(others) > 1:
            route = EngineRoute.RELAY
        if route is EngineRoute.STRAIGHT:
            return (await self._get_client(address).order(order)).outcome
        agent = address
        if route is EngineRoute.RELAY:
            relays = self._choose_relays(address, others)
            if not relays:
                return maporders.MapOrderOutcome.UNANSWERED
            agent = relays[0]
        try:
            reply: maporders.MapOrderReply = await self._pool.call(
                self._get_agent_address(agent),
                "order map",
                lambda channel: services_grpc.EngineAgentStub(channel).Order,
                maporders.RelayedOrder(order, address if agent != address else ""),
                DEFAULT_TIMEOUT_S,
                drop_on_failure=True,
            )
        except errors.PeerUnreachableError as error:
            self._record_failure(address, route, error)
            return maporders.MapOrderOutcome.UNANSWERED
        return reply.outcome

    def is_avoided(self, address: str) -> bool:
        """Tells whether an engine's agent has failed recently."""
        return self._list_routes(address)[0] is not EngineRoute.AGENT

    def record_agent_failure(
        self, address: str, error: errors.LycheegaugeError
    ) -> None:
        """Records that an engine's agent did not answer a call made elsewhere."""
        self._record_failure(address, EngineRoute.AGENT, error)

    def _list_routes(self, address: str) -> list[EngineRoute]:
        now = clock.read_clock()
        return sorted(
            EngineRoute,
            key=lambda route: self._avoided_until.get((address, route), 0.0) > now,
        )

    def _record_failure(
        self, address: str, route: EngineRoute, error: errors.LycheegaugeError
    ) -> None:
        now = clock.read_clock()
        if self._avoided_until.get((address, route), 0.0) <= now:
            loguru.logger.warning(
                "a route to an engine failed",
                engine=address,
                way=route.value,
                detail=str(error),
            )
        self._avoided_until[address, route] = now + FAILED_ROUTE_BACKOFF_S

    async def _observe_by_agent(
        self, address: str, question: maporders.EngineQuestion, is_urgent: bool
    ) -> maporders.EngineReport:
        report: maporders.EngineReport = await self._pool.call(
            self._get_agent_address(address),
            "observe engine",
            lambda channel: services_grpc.EngineAgentStub(channel).Observe,
            question,
            URGENT_TIMEOUT_S if is_urgent else DEFAULT_TIMEOUT_S,
            drop_on_failure=True,
        )
        return report

    async def _observe_by_relay(
        self,
        address: str,
        question: maporders.EngineQuestion,
        others: collections.abc.Sequence[str],
        is_urgent: bool,
    ) -> maporders.EngineReport:
        failure: errors.LycheegaugeError | None = None
        for relay in self._choose_relays(address, others):
            try:
                return await self._observe_by_agent(relay, question, is_urgent)
            except errors.LycheegaugeError as error:
                failure = error
        message = "no other engine's agent is available to relay the call"
        raise failure or errors.PeerUnreachableError(message, "observe", address)

    def _choose_relays(
        self, address: str, others: collections.abc.Sequence[str]
    ) -> list[str]:
        """Chooses other engines whose agents have not failed recently, in rotation."""
        now = clock.read_clock()
        available = [
            other
            for other in others
            if other != address
            and self._avoided_until.get((other, EngineRoute.AGENT), 0.0) <= now
        ]
        self._relay_rotation += 1
        start = self._relay_rotation % len(available) if available else 0
        return (available[start:] + available[:start])[:RELAYS_MAX]

    def _get_agent_address(self, engine_address: str) -> str:
        host, _ = peers.split_address(engine_address)
        return f"{host}:{self._agent_port}"

    def _get_client(self, address: str) -> DirectClient:
        if address not in self._clients:
            self._clients[address] = self._make_client(address)
        return self._clients[address]

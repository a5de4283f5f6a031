"""Routes calls to engines: through their agent, directly, or through another agent.

The agent beside an engine reads its current state at almost no cost. If the agent does
not answer, the engine is called directly, which costs more. A network partition may
also separate a host from the log hosts only. The agent of another engine can then
still reach it, so that a forward pass that is held there is released.
"""

import collections.abc
import enum
import typing

import loguru

from lycheegauge import errors
from lycheegauge.internal.protocol import maporders
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

PATIENT_TIMEOUT_S = 0.3
"""Time-out of a call to an agent while no pass is held. A busy host needs some tenths
of a second."""

URGENT_TIMEOUT_S = 0.12
"""Time-out of a call to an agent while a pass is held: several times the duration of
an undisturbed call, and less than the time until the held pass is due."""

AVOIDED_S = 5.0
"""A route that failed is not used for this long, unless no other is left."""

RELAYS_MAX = 2
"""Relays tried in one poll. More would most likely fail for the same reason."""


class Way(enum.Enum):
    """How an engine is reached, in the order in which the routes are tried."""

    AGENT = "the engine's agent"
    STRAIGHT = "a direct call"
    RELAY = "another engine's agent"


class Engine(typing.Protocol):
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
        make_engine: Creates a client for an engine's address.
    """

    def __init__(
        self,
        pool: peers.ChannelPool,
        agent_port: int,
        make_engine: collections.abc.Callable[[str], Engine],
    ) -> None:
        self._pool = pool
        self._agent_port = agent_port
        self._make_engine = make_engine
        self._engines: dict[str, Engine] = {}
        self._avoided_until: dict[tuple[str, Way], float] = {}
        self._turn = 0

    def close(self) -> None:
        """Closes all direct connections to engines."""
        for engine in self._engines.values():
            engine.close()

    async def observe(
        self,
        address: str,
        question: maporders.EngineQuestion,
        others: collections.abc.Sequence[str],
        is_urgent: bool,
    ) -> maporders.EngineReport | None:
        """Reads an engine's state; ``None`` if all routes to it fail.

        Args:
            address: The engine's address.
            question: What to read. Counts are expensive to read from another host,
                so only the engine's own agent is asked for them.
            others: Addresses of other engines, whose agents may relay.
            is_urgent: Whether a pass is held until the answer arrives.
        """
        afar = maporders.EngineQuestion(False, question.experts, address)
        for way in self._list_ways(address):
            try:
                if way is Way.AGENT:
                    return await self._observe_by(address, question, is_urgent)
                if way is Way.STRAIGHT:
                    return await self._get_engine(address).observe(afar)
                return await self._observe_by_relay(address, afar, others, is_urgent)
            except errors.LycheegaugeError as error:
                self._avoid(address, way, error)
        return None

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
        way = self._list_ways(address)[0]
        if order.kind is maporders.MapOrderKind.HOLD and len(others) > 1:
            way = Way.RELAY
        if way is Way.STRAIGHT:
            return (await self._get_engine(address).order(order)).outcome
        agent = address
        if way is Way.RELAY:
            relays = self._choose_relays(address, others)
            if not relays:
                return maporders.MapOrderOutcome.UNANSWERED
            agent = relays[0]
        try:
            reply: maporders.MapOrderReply = await self._pool.call(
                self._locate_agent(agent),
                "order map",
                lambda channel: services_grpc.EngineAgentStub(channel).Order,
                maporders.RelayedOrder(order, address if agent != address else ""),
                PATIENT_TIMEOUT_S,
                drop_on_failure=True,
            )
        except errors.PeerUnreachableError as error:
            self._avoid(address, way, error)
            return maporders.MapOrderOutcome.UNANSWERED
        return reply.outcome

    def _list_ways(self, address: str) -> list[Way]:
        now = clock.read_clock()
        return sorted(
            Way, key=lambda way: self._avoided_until.get((address, way), 0.0) > now
        )

    def _avoid(self, address: str, way: Way, error: errors.LycheegaugeError) -> None:
        now = clock.read_clock()
        if self._avoided_until.get((address, way), 0.0) <= now:
            loguru.logger.warning(
                "a route to an engine failed",
                engine=address,
                way=way.value,
                detail=str(error),
            )
        self._avoided_until[address, way] = now + AVOIDED_S

    async def _observe_by(
        self, address: str, question: maporders.EngineQuestion, is_urgent: bool
    ) -> maporders.EngineReport:
        report: maporders.EngineReport = await self._pool.call(
            self._locate_agent(address),
            "observe engine",
            lambda channel: services_grpc.EngineAgentStub(channel).Observe,
            question,
            URGENT_TIMEOUT_S if is_urgent else PATIENT_TIMEOUT_S,
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
                return await self._observe_by(relay, question, is_urgent)
            except errors.LycheegaugeError as error:
                failure = error
        message = "no other engine's agent is available to relay the call"
        raise failure or errors.PeerUnreachableError(message, "observe", address)

    def _choose_relays(
        self, address: str, others: collections.abc.Sequence[str]
    ) -> list[str]:
        """Chooses other engines whose agents have not failed recently, in rotation."""
        now = clock.read_clock()
        sound = [
            other
            for other in others
            if other != address
            and self._avoided_until.get((other, Way.AGENT), 0.0) <= now
        ]
        self._turn += 1
        start = self._turn % len(sound) if sound else 0
        return (sound[start:] + sound[:start])[:RELAYS_MAX]

    def _locate_agent(self, engine_address: str) -> str:
        host, _ = peers.split_address(engine_address)
        return f"{host}:{self._agent_port}"

    def _get_engine(self, address: str) -> Engine:
        if address not in self._engines:
            self._engines[address] = self._make_engine(address)
        return self._engines[address]

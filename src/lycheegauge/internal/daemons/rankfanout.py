"""Calls the ranks of a large group through some of their agents."""

import asyncio
import collections.abc
import dataclasses
import operator

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import partdemand, rankparts
from lycheegauge.internal.daemons import engineroutes
from lycheegauge.internal.protocol import maporders
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

DIRECT_ATTEMPTS = 2


@dataclasses.dataclass(slots=True)
class Reading:
    """What one round of queries read.

    Attributes:
        observations: The ranks' states, by the address of the engine.
        sums: Sums of the counts of disjoint sets of ranks.
    """

    observations: dict[str, engineroutes.Observation] = dataclasses.field(
        default_factory=dict
    )
    sums: list[partdemand.CountSum] = dataclasses.field(default_factory=list)


class RankFanout:
    """Makes the calls of one round concurrently; owns no connections.

    Args:
        pool: Channels to the agents.
        agent_port: Port of all agents, on the hosts of their engines.
        routes: Other routes to ranks that do not answer through a relay.
    """

    def __init__(
        self,
        pool: peers.ChannelPool,
        agent_port: int,
        routes: engineroutes.EngineRoutes,
    ) -> None:
        self._pool = pool
        self._agent_port = agent_port
        self._routes = routes
        self.parts = rankparts.RankParts()

    async def observe(
        self,
        engines: collections.abc.Sequence[str],
        wanted: collections.abc.Collection[str],
        question: maporders.EngineQuestion,
        report_lag_s: float,
        is_insistent: bool = True,
    ) -> Reading:
        """Reads the states of ranks.

        Args:
            engines: The addresses of all engines of the group.
            wanted: The addresses of those to read.
            question: What to read.
            report_lag_s: How old the state may be that an engine reports to a host
                other than its own, in seconds.
            is_insistent: Whether ranks that don't answer through a relay are called
                directly at once, and not only in the next round.
        """
        reading = Reading()
        parts = self._divide(engines, wanted)
        await asyncio.gather(
            *(
                self._observe_part(
                    part, engines, question, report_lag_s, reading, is_insistent
                )
                for part in parts
            )
        )
        return reading

    def _divide(
        self,
        engines: collections.abc.Sequence[str],
        wanted: collections.abc.Collection[str],
    ) -> list[rankparts.Part]:
        """Divides ranks into parts; those without an agent are called directly."""
        now = clock.read_clock()
        for engine in wanted:
            if self._routes.is_avoided(engine):
                self.parts.record_silent(engine, now)
        return self.parts.divide(engines, wanted, now)

    async def _observe_part(
        self,
        part: rankparts.Part,
        engines: collections.abc.Sequence[str],
        question: maporders.EngineQuestion,
        report_lag_s: float,
        reading: Reading,
        is_insistent: bool,
    ) -> None:
        asked_at = clock.read_clock()
        reports = await self._ask_relays(part, question)
        counts = reports.counts
        ranks = set()
        for state in reports.states:
            ranks.add(state.report.rank)
            reading.observations[state.engine] = engineroutes.Observation(
                state.report, asked_at, 0.0
            )
        missing = [e for e in part.members if e not in reading.observations]
        if part.relay and not is_insistent:
            missing = []
        answers = await asyncio.gather(
            *(
                self._observe_directly(engine, question, engines, report_lag_s)
                for engine in missing
            )
        )
        for engine, answer in zip(missing, answers, strict=True):
            if answer is None:
                continue
            report = answer.report
            reading.observations[engine] = dataclasses.replace(
                answer, report=dataclasses.replace(report, counts=())
            )
            if report.counts and (not counts or len(counts) == len(report.counts)):
                ranks.add(report.rank)
                counts = (
                    tuple(map(operator.add, counts, report.counts))
                    if counts
                    else report.counts
                )
        if counts:
            reading.sums.append(partdemand.CountSum(frozenset(ranks), counts))

    async def _observe_directly(
        self,
        engine: str,
        question: maporders.EngineQuestion,
        engines: collections.abc.Sequence[str],
        report_lag_s: float,
    ) -> engineroutes.Observation | None:
        """Reads one rank, in the end by a route on which its report may be late.

        Its agent is asked twice: a single lost packet must not make the switch wait for
        the lag of direct reports, and for all calls in the next seconds.
        """
        for _ in range(DIRECT_ATTEMPTS):
            if self._routes.is_avoided(engine):
                break
            asked_at = clock.read_clock()
            try:
                report: maporders.EngineReport = await self._pool.call(
                    self._get_agent_address(engine),
                    "observe engine",
                    lambda channel: services_grpc.EngineAgentStub(channel).Observe,
                    question,
                    self.parts.compute_limit_s(question.counts),
                    drop_on_failure=True,
                )
                return engineroutes.Observation(report, asked_at, 0.0)
            except errors.LycheegaugeError as error:
                failure = error
        else:
            self._routes.record_agent_failure(engine, failure)
        return await self._routes.observe(engine, question, engines, True, report_lag_s)

    async def _ask_relays(
        self, part: rankparts.Part, question: maporders.EngineQuestion
    ) -> maporders.GroupReports:
        """Reads a part through its relay or another one; empty if neither answers.

        The second one is not asked for counts: the next round reads them anyway.
        """
        if not part.relay:
            return maporders.GroupReports(())
        reports = await self._ask_relay(part, question)
        if reports is None:
            part = self.parts.choose_other_relay(part, clock.read_clock())
            if part.relay:
                question = dataclasses.replace(question, counts=False)
                reports = await self._ask_relay(part, question)
        return reports or maporders.GroupReports(())

    async def _ask_relay(
        self, part: rankparts.Part, question: maporders.EngineQuestion
    ) -> maporders.GroupReports | None:
        """Reads a part through its relay; ``None`` if the relay does not answer."""
        started_at = clock.read_clock()
        try:
            reports: maporders.GroupReports = await self._pool.call(
                self._get_agent_address(part.relay),
                "observe engines",
                lambda channel: services_grpc.EngineAgentStub(channel).ObserveMany,
                maporders.GroupQuestion(
                    part.members,
                    question.counts,
                    question.experts,
                    self.parts.compute_relay_wait_s(question.counts),
                ),
                self.parts.compute_limit_s(question.counts),
                drop_on_failure=True,
            )
        except errors.LycheegaugeError:
            self.parts.record_failed_relay(part.relay, clock.read_clock())
            return None
        answered = {state.engine for state in reports.states}
        elapsed_s = clock.read_clock() - started_at
        self._record_answers(part, answered, elapsed_s, question.counts)
        return reports

    async def order(
        self,
        engines: collections.abc.Sequence[str],
        orders: collections.abc.Mapping[str, maporders.MapOrder],
        packed_layers: bytes = b"",
        wait_prepared_s: float = 0.0,
    ) -> dict[str, maporders.MapOrderReply]:
        """Sends one order to each of some ranks, each of them once.

        Args:
            engines: The addresses of all engines of the group.
            orders: The orders by the address of the engine.
            packed_layers: The map of orders to prepare.
            wait_prepared_s: How long agents wait until the experts are copied.
        """
        parts = self._divide(engines, orders)
        batches = await asyncio.gather(
            *(
                self._order_part(part, engines, orders, packed_layers, wait_prepared_s)
                for part in parts
            )
        )
        return {
            engine: reply
            for part, replies in zip(parts, batches, strict=True)
            for engine, reply in zip(part.members, replies, strict=True)
        }

    async def _order_part(
        self,
        part: rankparts.Part,
        engines: collections.abc.Sequence[str],
        orders: collections.abc.Mapping[str, maporders.MapOrder],
        packed_layers: bytes,
        wait_prepared_s: float,
    ) -> tuple[maporders.MapOrderReply, ...]:
        """Sends the orders of a part; a rank's unanswered order may be carried out."""
        unanswered = maporders.MapOrderReply(maporders.MapOrderOutcome.UNANSWERED)
        called = part.relay or part.members[0]
        if not part.relay and self._routes.is_avoided(called):
            # Only the engine's address is left, or another engine's agent.
            outcome = await self._routes.order(called, orders[called], engines)
            return (maporders.MapOrderReply(outcome),)
        message = maporders.GroupOrders(
            tuple(
                maporders.RelayedOrder(
                    dataclasses.replace(orders[engine], layers=()),
                    engine if engine != called else "",
                    wait_prepared_s,
                )
                for engine in part.members
            ),
            packed_layers,
            self.parts.compute_relay_wait_s(),
        )
        started_at = clock.read_clock()
        try:
            answer: maporders.GroupOrderReplies = await self._pool.call(
                self._get_agent_address(called),
                "order maps",
                lambda channel: services_grpc.EngineAgentStub(channel).OrderMany,
                message,
                self.parts.compute_limit_s() + wait_prepared_s,
                drop_on_failure=True,
            )
        except errors.LycheegaugeError:
            self.parts.record_failed_relay(called, clock.read_clock())
            return (unanswered,) * len(part.members)
        answered = {
            engine
            for engine, reply in zip(part.members, answer.replies, strict=False)
            if reply.outcome is not maporders.MapOrderOutcome.UNANSWERED
        }
        elapsed_s = clock.read_clock() - started_at
        self._record_answers(part, answered, 0.0 if wait_prepared_s else elapsed_s)
        missing = len(part.members) - len(answer.replies)
        return answer.replies[: len(part.members)] + (unanswered,) * missing

    def _record_answers(
        self,
        part: rankparts.Part,
        answered: collections.abc.Collection[str],
        elapsed_s: float,
        has_counts: bool = False,
    ) -> None:
        """Records which ranks of a relayed call were silent, or how long it took."""
        if not part.relay:
            return
        silent = [engine for engine in part.members if engine not in answered]
        now = clock.read_clock()
        for engine in silent:
            self.parts.record_silent(engine, now)
        if not silent and elapsed_s:
            self.parts.record_round(elapsed_s, has_counts)

    def _get_agent_address(self, engine: str) -> str:
        return f"{peers.split_address(engine)[0]}:{self._agent_port}"

"""A large group with agents, a coordinator and links, in virtual time.

The coordinator has a third of a core and the agents 0.645; what each call costs them
was measured with real RPC on one core. Lost packets are resent after 0.2 s, as TCP
does. Passes run all the time; each checks that all ranks use the same map.
"""

import asyncio
import contextlib
import dataclasses
import random

import loguru
from support import mapworld, shiftingdemand, virtualtime

from lycheegauge import errors, settings
from lycheegauge.internal.coordination.groups import evensplit
from lycheegauge.internal.daemons import (
    engineclient,
    grouprelay,
    mapcoordination,
    relayedmaps,
)
from lycheegauge.internal.protocol import codec, maporders, roster, routetables
from lycheegauge.internal.transport import clock

COORDINATOR_CORE, AGENT_CORE = 0.322, 0.645
LATENCY_S = 0.0014
RESEND_S = 0.2
LINK_BYTES_PER_S = 500_000
ENGINE_CALL_S = 0.002
PASS_S = 0.06
SHIFT_S = 3.3
BEST_SKEW = 1.3
CALL_S = {
    "EngineQuestion": 0.39e-3, "RelayedOrder": 0.4e-3, "GroupQuestion": 0.8e-3,
    "GroupOrders": 0.9e-3, "LayerQuestion": 1.0e-3,
}  # fmt: skip
COUNTS_S, MAP_S, PLAN_LAYER_S = 0.15e-3, 0.7e-3, 4.5e-3
WORK_S = {
    "count_expert_choices": 2.4e-3, "weigh_expert_maps": 1.0e-3,
    "join_layer_plans": 3.0e-3, "pack_expert_maps": 0.2e-3,
    "plan_expert_maps": 80e-3,
}  # fmt: skip
SHAPE = shiftingdemand.GroupShape(
    72, 3, 144, 12, 2, copy_s=0.06, skew=0.94, common=0.75, shift_s=SHIFT_S
)


class Meter:
    """Charges the coordinator what its work took when it was measured."""

    def __init__(self, site):
        self.site = site
        self.spent_s = 0.0

    @contextlib.contextmanager
    def measure(self, kind):
        yield
        spent_s = WORK_S[kind]
        self.spent_s += spent_s
        # Planning on a log host leaves as much time for other work.
        factor = 2 if kind == "plan_expert_maps" else 1
        self.site.occupy("coordinator 1", factor * spent_s / COORDINATOR_CORE)
        self.site.planned_until = self.site.busy_until["coordinator 1"]


class Rank(mapworld.Rank):
    """An engine that takes its time to copy experts, and one's agent."""

    def __init__(self, site, number):
        super().__init__()
        self.site, self.number = site, number
        self.copying = None
        self.report_size = SHAPE.ranks
        self.memory_used, self.is_hung = 0.0, False
        self.pool = Pool(site, number)
        self.relay = grouprelay.GroupRelay(
            f"{site.get_host(number)}:{site.port}", self, self.pool
        )

    def report(self, is_late=False):
        if self.copying and clock.read_clock() >= self.copying[0]:
            self.prepared, self.copying = self.copying[1], None
        site = self.site
        return maporders.EngineReport(
            "group", "group", site.epoch, self.number, self.report_size, True,
            self.copying is not None, 1.0, site.step, self.map[0],
            self.prepared[0] if self.prepared else mapworld.NONE,
            self.armed[0] if self.armed else mapworld.NONE,
            self.armed[1] if self.armed else mapworld.NONE,
            self.held, memory_used=self.memory_used,
        )  # fmt: skip

    def take_prepare(self, order, step):
        outcome = super().take_prepare(order, step)
        if outcome is mapworld.Outcome.BEGUN:
            prepared, self.prepared = self.prepared, ()
            experts = [set(layer.ranks[self.number].experts) for layer in order.layers]
            held = self.site.list_held(self.number)
            copies = sum(len(new - old) for new, old in zip(experts, held, strict=True))
            until = clock.read_clock() + copies * SHAPE.copy_s
            self.copying = (until, prepared)
        return outcome

    async def observe(self, question):
        await asyncio.sleep(1000.0 if self.is_hung else ENGINE_CALL_S)
        report = self.report()
        if not question.counts:
            return report
        return dataclasses.replace(report, counts=self.site.count_choices())

    async def order(self, order):
        await asyncio.sleep(ENGINE_CALL_S)
        if self.site.source.random() < self.site.late_fraction:
            asyncio.create_task(self.take_later(order))
            return maporders.MapOrderReply(maporders.MapOrderOutcome.UNANSWERED)
        return self.carry_out(order)

    async def take_later(self, order):
        await asyncio.sleep(self.site.source.uniform(2.0, 12.0))
        self.carry_out(order)

    def carry_out(self, order):
        self.report()
        outcome = self.take(order, self.site.epoch, self.site.step, True)
        self.site.orders.append((self.number, order, outcome))
        return maporders.MapOrderReply(outcome)


class DirectClient:
    """Calls an engine directly; its reports are from some time ago."""

    def __init__(self, site, address):
        self.site, self.address = site, address

    async def observe(self, question):
        rank = self.site.find_rank(self.address)
        await asyncio.sleep(LATENCY_S)
        if rank.is_hung:
            await asyncio.sleep(engineclient.ENGINE_TIMEOUT_S)
            raise errors.PeerUnreachableError("no answer", "observe", self.address)
        return await rank.observe(dataclasses.replace(question, counts=False))

    async def order(self, order):
        rank = self.site.find_rank(self.address)
        await asyncio.sleep(LATENCY_S)
        return await rank.order(order)

    def close(self):
        pass


class Pool:
    """Calls agents from one host."""

    def __init__(self, site, caller):
        self.site, self.caller = site, caller

    async def call(self, address, step, method, message, timeout_s, drop_on_failure):
        if isinstance(self.caller, str):
            # The time of planning is not part of a call's.
            await asyncio.sleep(self.site.planned_until - clock.read_clock())
        try:
            async with asyncio.timeout(timeout_s):
                return await self.site.call(self.caller, address, message)
        except TimeoutError as error:
            raise errors.PeerUnreachableError("no answer", step, address) from error


class Site:
    """All hosts of a group.

    Args:
        loss: Fraction of lost packets at the hosts in one zone.
    """

    port = 90
    epoch = 1

    def __init__(self, now, seed=1, loss=0.0):
        self.source = random.Random(seed)
        self.loss = loss
        self.step = 0
        self.problem = ""
        self.busy_until = {}
        self.planned_until = now
        self.calls = 0
        self.processor_s = 0.0
        # Hosts that are frozen wait for their event; late orders are carried out later.
        self.lost_agents, self.unfrozen, self.late_fraction = set(), {}, 0.0
        self.orders, self.skews, self.longest_hold_s = [], [], 0.0
        self.demands = shiftingdemand.make_demands(SHAPE, random.Random(seed), 12)
        self.totals = []
        self.placements = {
            0: [evensplit.place_round_robin(SHAPE.experts, SHAPE.ranks)] * SHAPE.layers
        }
        self.started_at = now
        self.ranks = [Rank(self, number) for number in range(SHAPE.ranks)]
        self.meter = Meter(self)

    def get_host(self, number):
        return f"10.0.0.{number + 1}"

    def find_rank(self, address):
        return self.ranks[int(address.split(":")[0].split(".")[-1]) - 1]

    def list_servers(self):
        return [
            roster.ServerListing(
                f"server-{number:02}", 1, 1, "drafting", f"{self.get_host(number)}:80",
                "abc"[number // 24], 5, 0.0,
            )
            for number in range(SHAPE.ranks)
        ]  # fmt: skip

    def make_service(self):
        layout = routetables.ExpertLayout(
            SHAPE.layers, SHAPE.experts, SHAPE.slots, SHAPE.copies, 0.2, SHAPE.copy_s
        )
        return routetables.ServiceDeclaration(
            name="drafting", slots=5, cold_rate=0.0, connections_max=100, experts=layout
        )

    # Demand.

    def get_demand(self, now):
        shift = int((now - self.started_at) / SHIFT_S)
        return self.demands[shift % len(self.demands)]

    def count_choices(self):
        """Counts the choices of a rank since the start, at 20,000 a second."""
        elapsed_s = clock.read_clock() - self.started_at
        whole = int(elapsed_s / SHIFT_S)
        while len(self.totals) <= whole:
            before = self.totals[-1] if self.totals else [0.0] * (12 * SHAPE.experts)
            if self.totals:
                flat = [
                    x for layer in self.demands[len(self.totals) - 1] for x in layer
                ]
                before = [a + SHIFT_S * b for a, b in zip(before, flat, strict=True)]
            self.totals.append(before)
        part_s = elapsed_s - whole * SHIFT_S
        flat = [x for layer in self.demands[whole % len(self.demands)] for x in layer]
        return tuple(
            int(20_000 * (a + part_s * b))
            for a, b in zip(self.totals[whole], flat, strict=True)
        )

    def measure_skew(self, version, now):
        demand = self.get_demand(now)
        mean = sum(map(sum, demand)) / SHAPE.ranks
        paces = [1.0] * SHAPE.ranks
        return (
            shiftingdemand.sum_slowest(self.placements[version], demand, paces) / mean
        )

    def list_held(self, number):
        version = self.ranks[number].map[0]
        return [set(layer[number]) for layer in self.placements[version]]

    # Hosts and links.

    def occupy(self, host, duration_s):
        now = clock.read_clock()
        start = max(now, self.busy_until.get(host, now))
        self.busy_until[host] = start + duration_s
        return self.busy_until[host] - now

    async def work(self, host, duration_s):
        is_coordinator = isinstance(host, str)
        self.processor_s += duration_s * is_coordinator
        core = COORDINATOR_CORE if is_coordinator else AGENT_CORE
        await asyncio.sleep(self.occupy(host, duration_s / core))

    async def pass_network(self, caller, number):
        await self.unfrozen[caller].wait() if caller in self.unfrozen else None
        if number in self.lost_agents:
            await asyncio.sleep(1000.0)
        is_lossy = any(isinstance(n, int) and n >= 48 for n in (caller, number))
        delay_s = LATENCY_S
        resend_s = RESEND_S
        while is_lossy and self.source.random() < self.loss:
            delay_s += resend_s
            resend_s *= 2
        await asyncio.sleep(delay_s)

    async def transfer(self, sender, receiver, size):
        """Occupies the sender's link out and the receiver's link in."""
        for link in ((sender, "out"), (receiver, "in")):
            if isinstance(link[0], int):
                await asyncio.sleep(self.occupy(link, size / LINK_BYTES_PER_S))

    async def call(self, caller, address, message):
        rank = self.find_rank(address)
        self.calls += isinstance(caller, str)
        request = codec.encode(message).SerializeToString()
        name = type(message).__name__
        cost_s = CALL_S[name] + COUNTS_S * getattr(message, "counts", False)
        cost_s += MAP_S * bool(getattr(getattr(message, "order", 0), "layers", ()))
        await self.work(caller, cost_s)
        await self.pass_network(caller, rank.number)
        await self.transfer(caller, rank.number, len(request))
        reply = await self.serve(rank, message)
        size = len(codec.encode(reply).SerializeToString())
        await self.transfer(rank.number, caller, size)
        await self.pass_network(caller, rank.number)
        return reply

    async def serve(self, rank, message):
        await self.work(rank.number, 0.4e-3)
        match message:
            case maporders.GroupQuestion():
                return await rank.relay.observe_many(message)
            case maporders.GroupOrders():
                return await rank.relay.order_many(message)
            case maporders.LayerQuestion():
                await self.work(rank.number, PLAN_LAYER_S)
                return await rank.relay.plan_layer(message)
            case maporders.EngineQuestion():
                target = self.find_rank(message.engine_address or address_of(rank))
                return await target.observe(message)
        target = self.find_rank(message.engine_address or address_of(rank))
        return await target.order(message.order)

    # Passes.

    async def run_passes(self):
        while True:
            await asyncio.sleep(PASS_S)
            held_at = clock.read_clock()
            while any(rank.held == self.step + 1 for rank in self.ranks):
                await asyncio.sleep(0.001)
            held_s = clock.read_clock() - held_at
            self.longest_hold_s = max(self.longest_hold_s, held_s)
            self.step += 1
            for rank in self.ranks:
                if rank.armed and rank.armed[1] == self.step:
                    rank.map, rank.armed, rank.prepared = rank.prepared, (), ()
            versions = {rank.map[0] for rank in self.ranks}
            if len(versions) > 1:
                self.problem = f"pass {self.step} begins with the maps {versions}"
            version = self.ranks[0].map[0]
            if version not in self.placements:
                self.placements[version] = [
                    tuple(tuple(held.experts) for held in layer.ranks)
                    for layer in self.ranks[0].map[1]
                ]
            now = clock.read_clock()
            self.skews.append((now, self.measure_skew(version, now)))


def address_of(rank):
    return f"{rank.site.get_host(rank.number)}:80"


class Coordinator:
    """Polls the group as a log host does.

    Args:
        is_relayed: Whether calls go through relays.
    """

    def __init__(self, site, is_relayed, appointment=1):
        self.site, self.is_relayed = site, is_relayed
        self.name = f"coordinator {appointment}"
        pool = Pool(site, self.name)
        self.switches = []
        self.coordination = mapcoordination.MapCoordination(
            appointment, pool, site.port, None, site.meter
        )
        self.relayed = relayedmaps.RelayedMaps(
            appointment, pool, site.port, None, site.meter,
            settings.MapSettings(relayed_from_ranks=48 if is_relayed else 0),
            lambda phase, seconds: self.switches.append((phase, seconds)),
        )  # fmt: skip

    async def run(self):
        service, servers = self.site.make_service(), self.site.list_servers()
        while True:
            if self.is_relayed:
                poll = await self.relayed.poll_service(service, servers, 0.12, 0.13)
                wait_s = poll.polled.wait_s
            else:
                polled = await self.coordination.poll_service(
                    service, servers, 0.12, 0.13
                )
                wait_s = polled.wait_s
            await asyncio.sleep(wait_s)


def run(main):
    """Runs a coroutine function in virtual time with the hosts' clocks set to it."""
    real = clock.read_clock, engineclient.EngineClient
    loguru.logger.disable("lycheegauge")
    try:

        async def start(read_time):
            clock.read_clock = read_time
            result = await main()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            return result

        return virtualtime.run(start)
    finally:
        clock.read_clock, engineclient.EngineClient = real
        loguru.logger.enable("lycheegauge")


def connect_directly(site):
    """Has direct calls reach the engines of this site."""
    engineclient.EngineClient = lambda dialect, address: DirectClient(site, address)


def list_delays(site):
    """Lists the seconds from each shift of demand to a map that fits it.

    A map fits if it makes at least half of the difference to the best possible one.
    Shifts that hardly matter are left out; a map that never fits takes until the next.
    """
    delays = []
    last = int((site.skews[-1][0] - site.started_at) / SHIFT_S)
    for shift in range(1, last):
        begins_at = site.started_at + shift * SHIFT_S
        skews = [(at, skew) for at, skew in site.skews if 0 <= at - begins_at < SHIFT_S]
        before = skews[0][1]
        if before < 1.4 * BEST_SKEW:
            continue
        limit = (before + BEST_SKEW) / 2
        fitting = [at - begins_at for at, skew in skews if skew <= limit]
        delays.append(fitting[0] if fitting else SHIFT_S)
    return delays

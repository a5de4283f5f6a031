import asyncio

import behave
from support import mapworld

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import groupstate
from lycheegauge.internal.daemons import engineroutes
from lycheegauge.internal.protocol import maporders
from lycheegauge.internal.transport import clock

PORT = 7000
ENGINES = [f"10.0.0.{number}:80" for number in range(1, 5)]
QUESTION = maporders.EngineQuestion(counts=True)
REPORT_LAG_S = 0.2


class Network:
    """Agents and engines; those of ``partitioned`` hosts don't answer a log host."""

    def __init__(self, partitioned=(), is_unreachable=False):
        self.partitioned = set(partitioned)
        self.is_unreachable = is_unreachable
        self.orders = []

    def make_routes(self):
        return engineroutes.EngineRoutes(self, PORT, lambda a: Engine(self, a))

    async def call(self, address, step, method, message, timeout_s, drop_on_failure):
        host = address.split(":")[0]
        assert address == f"{host}:{PORT}" and drop_on_failure
        if host in self.partitioned or self.is_unreachable:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachableError("no answer", step, address)
        engine = message.engine_address or f"{host}:80"
        if step == "order map":
            self.orders.append((engine, message.order))
            return maporders.MapOrderReply(maporders.MapOrderOutcome.DONE)
        return make_report(engine, message)


class Engine:
    def __init__(self, network, address):
        self.network, self.address = network, address

    async def observe(self, question):
        await self.check_reachable()
        return make_report(self.address, question)

    async def order(self, order):
        await self.check_reachable()
        self.network.orders.append((self.address, order))
        return maporders.MapOrderReply(maporders.MapOrderOutcome.DONE)

    async def check_reachable(self):
        if (
            self.address.split(":")[0] in self.network.partitioned
            or self.network.is_unreachable
        ):
            await asyncio.sleep(0.1)
            raise errors.PeerUnreachableError("no answer", "ask", self.address)


def make_report(engine, question):
    counts = (1, 2, 3) if question.counts else ()
    return maporders.EngineReport(
        engine, "g", 1, 0, 4, True, False, 1.0, 5, 0, -1, -1, -1, 9, counts
    )


def make_order():
    return maporders.MapOrder(maporders.MapOrderKind.GO, 1, 7, step=9)


@behave.given("engines of which the first is partitioned from the log hosts")
def partition_first(context):
    context.network = Network(partitioned={"10.0.0.1"})
    context.routes = context.network.make_routes()


@behave.given("engines that are all unreachable for a while")
def make_all_unreachable(context):
    context.network = Network(is_unreachable=True)
    context.routes = context.network.make_routes()


def observe(context, address, others=tuple(ENGINES)):
    observing = context.routes.observe(address, QUESTION, others, True, REPORT_LAG_S)
    context.observation = asyncio.run(observing)
    return context.observation.report if context.observation else None


@behave.then("its state is read through another agent within {limit:g} seconds")
def check_relayed(context, limit):
    started = clock.read_clock()
    report = observe(context, ENGINES[0])
    elapsed_s = clock.read_clock() - started
    assert report is not None and report.server == ENGINES[0]
    assert elapsed_s <= limit, elapsed_s
    # The next poll does not use the routes that failed.
    started = clock.read_clock()
    assert observe(context, ENGINES[0]).server == ENGINES[0]
    assert clock.read_clock() - started < 0.1


@behave.then(
    "its state counts as old by the lag of its reports, the others' as current"
)
def check_lag(context):
    for address in ENGINES:
        asked_at = clock.read_clock()
        observe(context, address)
        seen = context.observation
        lag_s = REPORT_LAG_S if address == ENGINES[0] else 0.0
        assert seen.lag_s == lag_s
        # Failed routes may take time before the one that answers is asked.
        assert seen.as_of >= asked_at - lag_s
        assert seen.as_of <= clock.read_clock() - lag_s


@behave.then("an order to it is carried out once, through another agent")
def check_order(context):
    order = make_order()
    outcome = asyncio.run(context.routes.order(ENGINES[0], order, ENGINES))
    assert outcome is maporders.MapOrderOutcome.DONE
    assert context.network.orders == [(ENGINES[0], order)]


@behave.then("without other agents it can't be reached")
def check_unreachable(context):
    assert observe(context, ENGINES[0], others=()) is None


@behave.then("its state has no counts, and the states of the others have them")
def check_counts(context):
    assert observe(context, ENGINES[0]).counts == ()
    for address in ENGINES[1:]:
        assert observe(context, address).counts == (1, 2, 3)


@behave.then("an order to it that gets no answer is reported as unanswered")
def check_unanswered(context):
    outcome = asyncio.run(context.routes.order(ENGINES[0], make_order(), ENGINES))
    assert outcome is maporders.MapOrderOutcome.UNANSWERED
    assert context.network.orders == []


@behave.then("they are reached again as soon as the partition has healed")
def check_healed(context):
    assert observe(context, ENGINES[0]) is None
    context.network.is_unreachable = False
    assert observe(context, ENGINES[0]).counts == (1, 2, 3)


@behave.then("the pass that a switch holds is due in some tenths of a second")
def check_hold_ahead(context):
    for pass_ms in (5, 40, 52, 120, 355, 900):
        pass_s = pass_ms / 1000
        for hold_ahead_s in (
            groupstate.HOLD_AHEAD_S, groupstate.HOLD_AHEAD_UNRELIABLE_S
        ):  # fmt: skip
            hold_ahead_steps = groupstate.choose_hold_ahead_steps(hold_ahead_s, pass_s)
            assert hold_ahead_steps >= 2 or pass_s >= 0.3, (
                "the next pass may begin too early"
            )
            assert (
                hold_ahead_steps in (2, 24)
                or hold_ahead_s <= hold_ahead_steps * pass_s <= hold_ahead_s + pass_s
            )
            # A slow rank must not delay the switch that would relieve it.
            assert hold_ahead_steps * pass_s <= max(hold_ahead_s + pass_s, 2 * pass_s)


@behave.then("a map that was planned before a rank became slow is dropped (slow rank)")
def check_dropped(context):
    changed = groupstate.have_paces_changed
    assert changed([1.0] * 4, [1.0, 12.0, 1.0, 1.0])
    assert changed([1.0, 12.0], [1.0, 1.0])
    assert not changed([1.0] * 4, [1.1, 1.0, 0.9, 1.0])
    assert not changed([], [1.0, 12.0])
    world = mapworld.World(faults=0)
    world.do_poll(0)
    while world.pending:
        world.do_answer()
    world.do_poll(0)
    switch = world.switches[0]
    assert switch.abort_preparation(0.0) and switch.is_idle
    world.pending.clear()
    world.settle()
    assert [rank.map[0] for rank in world.ranks] == [0, 0] and not world.problem
    assert not switch.abort_preparation(0.0)

import asyncio
import dataclasses
import random
import statistics
import sys

import behave
import grpclib.const
import grpclib.exceptions
import loguru
from support import mapworld, relayedsite

from lycheegauge import errors, settings
from lycheegauge.internal.coordination import enginememory, rosterregistry
from lycheegauge.internal.coordination.groups import (
    evensplit,
    holdahead,
    layerplans,
    partdemand,
)
from lycheegauge.internal.daemons import (
    engineroutes,
    grouprelay,
    rankfanout,
    relayedmaps,
    workmeter,
)
from lycheegauge.internal.protocol import maporders, packedmaps, roster
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers, services

DURATION_S = 17.0


@behave.given("a group of 72 ranks whose demand shifts every 3.3 seconds")
def prepare_group(context):
    context.loss, context.late, context.lost = 0.0, 0.0, set()


@behave.given("a loss of {percent:d} packets in 100 in a third of the ranks")
def prepare_loss(context, percent):
    context.loss = percent / 100


@behave.given("the agents of {count:d} ranks are lost")
def lose_agents(context, count):
    context.lost = set(range(1, 24 * count, 24))


@behave.given(
    "{percent:d} orders in 100 are carried out 2 to 12 seconds late without an answer"
)
def prepare_late_orders(context, percent):
    context.late = percent / 100


async def cancel(tasks):
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def open_site(context):
    site = relayedsite.Site(clock.read_clock(), seed=1, loss=context.loss)
    site.lost_agents, site.late_fraction = context.lost, context.late
    relayedsite.connect_directly(site)
    return site


def simulate(context, is_relayed):
    context.logs = []

    async def main():
        site = open_site(context)
        loguru.logger.enable("lycheegauge")
        coordinator = site.coordinator = relayedsite.Coordinator(site, is_relayed)
        tasks = [asyncio.create_task(f()) for f in (site.run_passes, coordinator.run)]
        await asyncio.sleep(DURATION_S)
        await cancel(tasks)
        return site

    sink = loguru.logger.add(lambda line: context.logs.append(line.record))
    site = relayedsite.run(main)
    loguru.logger.remove(sink)
    assert not site.problem, site.problem
    context.coordinator = site.coordinator
    delays = relayedsite.list_delays(site)
    skews = [skew for at, skew in site.skews if at > relayedsite.SHIFT_S]
    processor_s = site.processor_s + site.meter.spent_s
    print(
        f"figure: {'relays' if is_relayed else 'a call to each rank'}, "
        f"loss {context.loss}, {len(context.lost)} agents lost: a fitting map after "
        f"{statistics.median(delays):.2f} s, longest {max(delays):.2f} s; mean skew "
        f"{statistics.mean(skews):.2f}; longest hold {site.longest_hold_s:.2f} s; "
        f"{site.calls / DURATION_S:.0f} calls/s, "
        f"{processor_s / DURATION_S:.3f} of a core",
        file=sys.__stdout__,
    )
    return site, statistics.median(delays), statistics.mean(skews)


@behave.when("its maps are switched with a call to each rank and through relays")
def switch_both(context):
    context.before = simulate(context, is_relayed=False)
    context.after = simulate(context, is_relayed=True)


@behave.when("its maps are switched through relays")
def switch_relayed(context):
    context.after = simulate(context, is_relayed=True)


@behave.then(
    "the relayed maps fit in under half of the time, on average with less skew"
)
def check_sooner(context):
    assert context.after[1] < 0.5 * context.before[1]
    assert context.after[2] < context.before[2]


@behave.then("the coordinator makes fewer calls and needs less processor time")
def check_costs(context):
    before, after = context.before[0], context.after[0]
    assert after.calls < 0.5 * before.calls
    assert (
        after.processor_s + after.meter.spent_s
        < before.processor_s + before.meter.spent_s
    )


@behave.then("each switch is logged and counted with its phases, and late events")
def check_logs(context):
    extras = {}
    for record in context.logs:
        extras.setdefault(record["message"], []).append(record["extra"])
    switches = [item for item in extras["expert map in force"] if "plan_s" in item]
    phases = ("plan", "prepare", "arm", "release")
    counted = [phase for phase, _ in context.coordinator.switches]
    assert switches and counted == list(phases) * len(switches), counted
    for item in switches:
        assert item["skew_after"] < item["skew_before"]
        assert all(item[f"{phase}_s"] > 0 for phase in phases), item
    late = extras["events are late"]
    assert DURATION_S / 2 < len(late) <= DURATION_S + 1
    assert all(item["skew"] >= 1.0 and item["slow_ranks"] == 0 for item in late)


@behave.then("a map that fits is in force within {limit:g} seconds")
def check_delay(context, limit):
    assert context.after[1] <= limit, context.after[1]


@behave.then("each pass had one map and no pass was held longer than {limit:g} seconds")
def check_holds(context, limit):
    assert context.after[0].longest_hold_s <= limit, context.after[0].longest_hold_s


def is_held(site):
    return any(rank.held != relayedsite.mapworld.NONE for rank in site.ranks)


async def run_until_held(site, coordinator, armed):
    """Runs until a pass is held and some ranks are armed for it."""
    tasks = [asyncio.create_task(f()) for f in (site.run_passes, coordinator.run)]
    while not is_held(site) or sum(bool(r.armed) for r in site.ranks) < armed:
        await asyncio.sleep(0.002)
    return tasks


async def finish_with_successor(site, tasks):
    successor = relayedsite.Coordinator(site, True, appointment=2)
    tasks.append(asyncio.create_task(successor.run()))
    await asyncio.sleep(1.0)
    return not is_held(site) or site.longest_hold_s < 1.0


@behave.when("the coordinator is lost while a pass is held and another one follows")
def lose_coordinator(context):
    async def main():
        site = open_site(context)
        first = relayedsite.Coordinator(site, True)
        passes, polls = await run_until_held(site, first, armed=20)
        await cancel([polls])
        tasks = [passes]
        context.is_released = await finish_with_successor(site, tasks)
        await asyncio.sleep(5.0)
        await cancel(tasks)
        return site

    context.site = relayedsite.run(main)


@behave.when(
    "the coordinator is frozen while it arms the ranks, and resumes 3 seconds later"
)
def freeze_coordinator(context):
    async def main():
        site = open_site(context)
        first = relayedsite.Coordinator(site, True)
        tasks = await run_until_held(site, first, armed=20)
        site.unfrozen[first.name] = asyncio.Event()
        context.is_released = await finish_with_successor(site, tasks)
        await asyncio.sleep(2.0)
        site.unfrozen[first.name].set()
        await asyncio.sleep(5.0)
        await cancel(tasks)
        return site

    context.site = relayedsite.run(main)


@behave.then("no pass is held after {limit:g} seconds and all ranks have one map")
def check_released(context, limit):
    site = context.site
    assert context.is_released and site.longest_hold_s <= limit, site.longest_hold_s
    assert not site.problem, site.problem
    assert site.ranks[0].map[0] > 0 and len({r.map[0] for r in site.ranks}) == 1


@behave.then("the servers of groups below the size are left to the other coordination")
def check_small(context):
    async def main():
        site = relayedsite.Site(clock.read_clock())
        site.ranks, ranks = site.ranks[:6], site.ranks
        service, servers = site.make_service(), site.list_servers()
        results = []
        for size, known in ((0, servers), (48, servers[:6]), (48, servers)):
            pool = relayedsite.Pool(site, "coordinator 1")
            site.ranks = ranks if known is servers else ranks[:6]
            relayed = relayedmaps.RelayedMaps(
                1, pool, site.port, None, workmeter.WorkMeter(),
                settings.MapSettings(relayed_from_ranks=size), lambda *_: None,
            )  # fmt: skip
            for rank in ranks:
                rank.report_size = 6
            polled = await relayed.poll_service(service, known, 0.12)
            results.append((polled.small == tuple(known), polled.polled.wait_s))
        return results, site.calls

    (off, few, many), calls = relayedsite.run(main)
    assert off == few == many == (True, float("inf")), (off, few, many)
    assert calls == 9, calls


@behave.then(
    "the full ranks are reported with the age of their reports until they have room"
)
def check_memories(context):
    async def main():
        site = relayedsite.Site(clock.read_clock())
        relayedsite.connect_directly(site)
        relayed = relayedsite.Coordinator(site, True).relayed
        service, servers = site.make_service(), site.list_servers()
        reported, polls = enginememory.ReportedMemories(), []
        for number, used in ((5, 0.8), (6, 0.49), (70, 0.95)):
            site.ranks[number].memory_used = used
        started_at = clock.read_clock()
        while (elapsed_s := clock.read_clock() - started_at) < 4.0:
            if elapsed_s >= 1.0:
                site.ranks[5].memory_used, site.ranks[70].is_hung = 0.1, True
            polled = (await relayed.poll_service(service, servers, 0.12)).polled
            now = clock.read_clock()
            reported.record(polled.memories, now)
            listed = {item.server for item in reported.list_recent(now)}
            polls.append((now - started_at, polled.memories, listed))
            await asyncio.sleep(polled.wait_s)
        return polls

    polls = relayedsite.run(main)
    for elapsed_s, memories, listed in polls:
        ages = {item.server: item.age_ms / 1000 for item in memories}
        if elapsed_s < 1.0:
            first, last = memories
            assert (first.server, first.born_ms, first.used) == ("server-05", 1, 0.8)
            assert (last.server, last.used) == ("server-70", 0.95)
            assert max(ages.values()) < 0.3, ages
        # A rank that no longer answers is as old as its last report.
        elif "server-70" in ages:
            assert ages["server-70"] > elapsed_s - 1.3, (elapsed_s, ages)
        if elapsed_s > 1.3 + enginememory.REPORT_LIFETIME_S:
            assert not listed, (elapsed_s, listed)
    assert any(1.3 < elapsed_s and memories for elapsed_s, memories, _ in polls)


@behave.then(
    "the leader lists the pace of a slow rank until the coordinator stops reporting it"
)
def check_paces(context):
    lifetimes = rosterregistry.EntryLifetimes(3.0, 2.0)
    registry = rosterregistry.RosterRegistry("source", lifetimes)
    listing = roster.ServerListing("a", 1, 1, "s", "10.0.0.1:80", "z", 5, 0.0)
    registry.record_announcement(listing, 0.0)
    cursor = registry.list_changes("source", 0).cursor
    for pace, listed in ((12.0, 12.0), (11.0, 12.0), (2.0, 2.0), (0.0, 0.0)):
        registry.update_paces([roster.ServerPace("a", pace)] if pace else [])
        registry.record_announcement(listing, 1.0)
        assert registry.find_server("a").pace == listed
    changes = registry.list_changes("source", cursor)
    assert changes.cursor == cursor + 3 and changes.servers[0].pace == 0.0


@behave.then("maps are the same after packing, and damaged ones give a border error")
def check_packed(context):
    layers = tuple(
        maporders.LayerPlacement(
            tuple(maporders.RankExperts((r, r + 9)[: 1 + r % 2]) for r in range(5))
        )
        for _ in range(3)
    )
    packed = packedmaps.pack_layers(layers)
    assert packedmaps.unpack_layers(packed) == layers
    large = packedmaps.zlib.compress(bytes(2 * packedmaps.MAP_MAX_BYTES))
    for damaged in (b"", b"x", packed[:-3], packed[:9], large):
        try:
            packedmaps.unpack_layers(damaged)
        except errors.BorderError:
            continue
        raise AssertionError(damaged[:20])


@behave.then("the demand of parts of a group is counted once for each interval")
def check_part_demand(context):
    def read(demand, parts, epoch, step, now):
        sums = [partdemand.CountSum(frozenset(m), c) for m, c in parts]
        demand.add_sums(sums, epoch, step, now)
        return demand.total

    demand = partdemand.PartDemand(0.5)
    assert read(demand, [((0, 1), (100, 300))], 1, 30, 0.0) == 400
    late = partdemand.PartDemand(0.5)
    assert read(late, [((0, 1), (100, 300))], 1, 900, 0.0) == 0
    # Rank 1 is silent once; the next whole read covers both intervals.
    assert read(late, [((0,), (60, 160))], 1, 901, 0.2) == 0
    assert read(late, [((0, 1), (200, 600))], 1, 902, 0.4) == 400
    assert read(late, [((0,), (90, 190))], 1, 903, 0.6) == 400
    # A rank that starts again begins at 0.
    assert read(late, [((0, 1), (20, 30))], 1, 904, 0.8) == 400
    assert read(late, [((0, 1), (40, 60))], 2, 7, 1.0) >= 100


@behave.then(
    "a joined map changes only layers with proposals, within the slots of a rank"
)
def check_joined(context):
    source, paces = random.Random(4), [1.0] * 12
    start = [evensplit.place_round_robin(24, 12)] * 3
    loads = [[source.paretovariate(1.1) for _ in range(24)] for _ in start]
    limits = layerplans.LayerLimits(4, (1, 2), 0.0, 1.0)
    proposals = [
        [
            item
            for item in layerplans.iterate_proposals(
                layerplans.make_question(placement, layer, paces, limits)
            )
            if item is not None
        ]
        for placement, layer in zip(start, loads, strict=True)
    ]
    slowest = [
        evensplit.compute_slowest_time(placement, layer, paces)
        for placement, layer in zip(start, loads, strict=True)
    ]
    proposals[1] = []
    plan = layerplans.join_plans(start, slowest, proposals, 0.05, 0.0)
    assert plan.placements[1] == start[1] and plan.placements[0] != start[0]
    for placement, layer, old in zip(plan.placements, loads, slowest, strict=True):
        assert evensplit.compute_slowest_time(placement, layer, paces) <= old
        assert max(map(len, placement)) <= 4
        assert {expert for held in placement for expert in held} == set(range(24))
    assert layerplans.join_plans(start, slowest, [[]] * 3, 0.05, 0.0) is None


class OldAgentService(services_grpc.EngineAgentBase):
    """An agent of the previous release."""

    def __init__(self, engine):
        self.engine = engine

    async def Observe(self, stream):  # noqa: N802
        await peers.answer_unary(stream, self.engine.observe)

    async def Order(self, stream):  # noqa: N802
        await peers.answer_unary(stream, lambda r: self.engine.order(r.order))

    async def refuse(self, stream):
        raise grpclib.exceptions.GRPCError(grpclib.const.Status.UNIMPLEMENTED)

    ObserveMany = OrderMany = PlanLayer = refuse


class Engine(mapworld.Rank):
    def __init__(self, number):
        super().__init__()
        self.number = number

    async def observe(self, question):
        counts = (1, self.number) if question.counts else ()
        return dataclasses.replace(self.report(self.number, 1, 5), counts=counts)

    async def order(self, order):
        return maporders.MapOrderReply(self.take(order, 1, 5, True))


async def open_agents(context, pool, count, old):
    """Starts agents on addresses of their own; one is of the previous release."""
    context.engines, servers, port = [], [], 0
    for number in range(count):
        engine = Engine(number)
        context.engines.append(engine)
        host = f"127.0.3.{number + 1}"
        relay = grouprelay.GroupRelay(f"{host}:{port}", engine, pool)
        service = services.EngineAgentService(
            engine.observe, lambda r, e=engine: e.order(r.order),
            relay.observe_many, relay.order_many, relay.plan_layer,
        )  # fmt: skip
        if number == old:
            service = OldAgentService(engine)
        server = peers.PeerServer(f"{host}:{port}", [service])
        port = int((await server.start()).split(":")[1])
        relay._port = port
        servers.append(server)
    return servers, port


@behave.when("9 ranks are read and armed over real connections, one with an old agent")
def call_really(context):
    async def main():
        pool = peers.ChannelPool()
        servers, port = await open_agents(context, pool, 9, old=4)
        for engine in context.engines:
            engine.prepared = (1, "content")
        addresses = [f"127.0.3.{number + 1}:80" for number in range(9)]
        routes = engineroutes.EngineRoutes(pool, port, lambda address: None)
        fanout = rankfanout.RankFanout(pool, port, routes)
        question = maporders.EngineQuestion(counts=True)
        context.reading = await fanout.observe(addresses, addresses, question, 0.2)
        kind = maporders.MapOrderKind.ARM
        orders = {a: maporders.MapOrder(kind, 1, 7, 1, 9) for a in addresses}
        context.replies = await fanout.order(addresses, orders)
        context.again = await fanout.observe(addresses, addresses, question, 0.2)
        pool.close()
        for server in servers:
            await server.close()

    asyncio.run(main())


@behave.then(
    "all states and sums of counts arrive, and all others answer with the state"
)
def check_real(context):
    assert len(context.reading.observations) == len(context.again.observations) == 9
    # The first relay of one part is the old agent; the second is not asked for counts.
    # Later the old agent is called directly.
    sums = len(context.reading.sums), len(context.again.sums)
    assert sums == (2, 4), sums
    columns = zip(*(item.counts for item in context.again.sums), strict=True)
    assert [sum(column) for column in columns] == [9, sum(range(9))]
    replies = list(context.replies.values())
    unanswered = [
        number for number, reply in enumerate(replies)
        if reply.outcome is maporders.MapOrderOutcome.UNANSWERED
    ]  # fmt: skip
    assert unanswered == [4], unanswered
    for number, reply in enumerate(replies):
        armed = number not in unanswered
        assert (reply.report is not None and reply.report.armed_step == 9) == armed


@behave.then(
    "a pass is held for the longest arming of the last 10 seconds and a margin"
)
def check_hold_ahead(context):
    history = context.armings = holdahead.ArmingHistory()
    assert history.choose_hold_ahead(0.12, False, 1.0) == 0.12
    for at, duration_s in ((1.0, 0.6), (5.0, 0.3), (6.0, 0.06)):
        history.note_arming(duration_s, at)
    assert history.choose_hold_ahead(0.12, False, 7.0) > 0.6
    assert 0.3 < history.choose_hold_ahead(0.12, False, 12.0) < 0.6
    assert history.choose_hold_ahead(0.12, False, 30.0) == 0.12


@behave.then("further ahead while orders go unanswered")
def check_unreliable(context):
    calm_s = context.armings.choose_hold_ahead(0.12, False, 12.0)
    assert context.armings.choose_hold_ahead(0.12, True, 12.0) > calm_s + 0.1

import asyncio
import collections
import itertools
import random
import statistics
import sys

import behave
import hypothesis
from hypothesis import strategies
from support import gatewayhost, hostshares, streamworld

from lycheegauge.internal.coordination import (
    loadnews,
    rosterregistry,
    serverchoice,
    streamadmission,
    streamcapacity,
    streamgate,
    streamwaiting,
)
from lycheegauge.internal.protocol import roster
from lycheegauge.internal.transport import clock

START, REFUSE = streamadmission.Verdict.START, streamadmission.Verdict.REFUSE
numbers = itertools.count(1)


def print_figure(text):
    print(f"figure: {text}", file=sys.__stdout__)


def make_gate(length=64):
    rules = streamgate.GateRules(streamworld.PROFILE, 0.12, (0, 1, 2), length, 1.5)
    return streamgate.StreamGate(rules, random.Random(1))


def make_view(slots=2, others=0.0, fraction=1.0):
    return streamgate.GateView(1, slots, others, fraction, 0.1)


def make_stream(
    level=0, now=0.0, organisation="", name="", left_s=8.0, body_bytes=100,
    prompt=850.0, target_first_s=0.4,
):  # fmt: skip
    number = next(numbers)
    return streamwaiting.Stream(
        number, f"route {level}", organisation, level,
        streamadmission.Work(prompt, 23.0), target_first_s, 0.12, now, now + left_s,
        body_bytes, lambda: name or str(number), level,
    )  # fmt: skip


def make_busy_gate(slots=1, length=64):
    """Makes a gate with a stream in each slot."""
    gate, view = make_gate(length), make_view(slots)
    running = [make_stream() for _ in range(slots)]
    for stream in running:
        assert gate.arrive(stream, view, 0.0).decision.verdict is START
    return gate, view, running


@behave.then(
    "in a flash crowd of the delay-tolerant kind 0.95 of the urgent kind are in time"
)
def check_crowd(context):
    def rate(kind, now):
        return 2.5 if kind.priority == 2 and 6.0 <= now < 12.0 else 1.0

    figures = []
    for is_new in (False, True):
        world = streamworld.World(2.7, is_new, seed=2, rate=rate)
        world.run(14.0)
        figures.append(world.summarise(6.0, 12.0))
    old, new = figures
    print_figure(f"flash crowd (in time, served): {old} to {new}")
    assert new["summaries"][0] >= 0.95 > old["summaries"][0]
    assert new["read-backs"][0] > old["read-backs"][0]
    # No urgent kind may be served less often than a less urgent one.
    served = [new[kind.name][1] for kind in streamworld.KINDS]
    assert served[0] >= served[1] - 0.05 and served[1] >= served[2] - 0.05, served


@behave.then("with stale news at 44 hosts at most 1.1 times the capacity is open")
def check_stale_news(context):
    capacity = (0.85 * 0.12 - streamworld.BASE_S) / (2.6 * streamworld.STREAM_S)
    for seed in range(3):
        world = streamworld.World(
            2.6, seed=seed, rate=lambda kind, now: 2.5 if 5.0 <= now < 11.0 else 0.5
        )
        world.run(11.0, drain_s=0.0)
        highest = max(count for _, count in world.opens) / capacity
        usual = statistics.median(n for at, n in world.opens if at >= 7) / capacity
        print_figure(f"stale news: {usual:.2f} of the capacity, {highest:.2f} at most")
        assert highest <= 1.1 and usual >= 0.9, (highest, usual)


@behave.then(
    "with slow ranks fewer callers leave and more are served than without admission"
)
def check_slow_ranks(context):
    counts = []
    for is_new in (False, True):
        world = streamworld.World(
            2.0, is_new, pace=lambda now: 12.0 if 6.0 <= now < 15.0 else 1.0
        )
        world.run(20.0)
        slow = [call for call in world.calls if 6.0 <= call.at < 15.0]
        counts.append(collections.Counter(call.outcome for call in slow))
        later = [call.is_in_time for call in world.calls if call.at >= 17.0]
        assert sum(later) >= 0.95 * len(later), "the slow time left its trace"
    old, new = counts
    print_figure(f"slow ranks: {dict(old)} to {dict(new)}")
    assert new["abandoned"] < old["abandoned"] / 2 and new["served"] > old["served"]


@behave.then("a request that waits is refused once ranks are too slow for it")
def check_slow_waiting(context):
    gate, view, (running,) = make_busy_gate()
    stream = make_stream()
    gate.waiting.add(stream, 0.0)
    for number in range(5):
        gate.meter.note_gap(0.5, 1, 0.1 * number)
    gate.leave(running, 0.5)
    assert gate.start_waiting(view, 0.5) == (stream,)
    assert not stream.is_open and not len(gate.waiting)


@behave.then("with all arrivals at one host nearly all are in time")
def check_one_host(context):
    shares = hostshares.World(44, window_s=10.2)
    shares.now = -3.0
    shares.be_calm(3.0, interval_s=0.6)

    def get_fraction(host, now):
        while shares.now + 0.6 <= now:
            shares.now += 0.6
            for _ in range(round(127.7 * 0.6)):
                shares.hosts[0].holder.note_request(shares.now)
            shares.exchange()
        return shares.hosts[host].holder.get_fraction(now)

    world = streamworld.World(2.3, place=lambda now: 0, fraction=get_fraction)
    world.run(8.0)
    assert not any(call.outcome == "refused" for call in world.calls)
    later = [call.is_in_time for call in world.calls if call.at >= 2.0]
    print_figure(f"one host: {sum(later) / len(later):.3f} in time after 2 s")
    assert sum(later) >= 0.95 * len(later)


@behave.then("at usual load no request waits or is refused")
def check_usual_load(context):
    world = streamworld.World(1.5)
    world.run(10.0)
    assert all(call.attempts == 1 for call in world.calls)
    assert not any(call.stream.queued_at < 1e9 for call in world.calls)


def check_arrival(gate, stream, view, now):
    """Checks the decision on a new request."""
    # A fifth of the capacity at most is kept for more urgent levels.
    must_start = gate.own + view.others < 6 and not len(gate.waiting)
    has_started = gate.arrive(stream, view, now).decision.verdict is START
    assert has_started or not must_start
    if has_started:
        assert is_within_capacity(gate, view)
        assert not any(s.level <= stream.level for s in gate.waiting), "overtaken"


def check_starts(gate, view, now):
    """Checks which waiting requests start, and which one is the next."""
    if any(stream.is_open for stream in gate.start_waiting(view, now)):
        assert is_within_capacity(gate, view)
    found = gate.waiting.peek(now)
    if found is not None and not found[1]:
        assert found[0].level == min(s.level for s in gate.waiting)
    assert not any(stream.is_open for stream in gate.waiting)


def is_within_capacity(gate, view):
    # Beyond its guaranteed half, a host needs capacity that is free.
    return gate.own <= 4 or gate.own + view.others <= 8.2


@behave.then("any sequence of arrivals and ends keeps the rules of admission")
def check_rules(context):
    organisation = strategies.sampled_from("abc")
    action = strategies.one_of(
        strategies.tuples(strategies.integers(0, 2), organisation),
        strategies.tuples(strategies.just("end"), strategies.integers(0, 20)),
        strategies.tuples(strategies.just("pause"), strategies.floats(0.01, 0.8)),
        strategies.tuples(strategies.just("news"), strategies.integers(0, 12)),
    )

    @hypothesis.given(strategies.lists(action, max_size=60))
    def check(actions):
        gate, now, others, streams = make_gate(), 0.0, 0, []

        for name, argument in actions:
            now += 0.001
            view = make_view(8, others, 0.5)
            if name == "end" and streams:
                gate.leave(streams.pop(argument % len(streams)), now)
            elif name == "pause":
                now += argument
            elif name == "news":
                others = argument
            elif name != "end":
                streams.append(make_stream(name, now, argument))
                check_arrival(gate, streams[-1], view, now)
            check_starts(gate, make_view(8, others, 0.5), now)
            assert gate.own == sum(stream.is_open for stream in streams)

    check()


@behave.then("events that arrive together count as passes of their own")
def check_events(context):
    meter = streamcapacity.PassMeter()
    for number in range(5):
        meter.note_gap(0.1, 1, number * 0.1)
        meter.note_gap(0.3, 3, number * 0.1)
    assert abs(meter.get_pass(0.5) - 0.1) < 1e-9
    assert meter.make_report("s", 0.5).samples == 10


@behave.then("a pass time that is too old is unknown and the stated model is used")
def check_age(context):
    gate = make_gate()
    for number in range(20):
        gate.meter.note_gap(0.1, 1, number * 0.01)
    view = streamgate.GateView(72, 360, 250.0, 0.1, 0.1)
    assert gate.measure(view, 0.3)[1].pass_s == gate.meter.get_pass(1.6) == 0.1
    assert gate.meter.get_pass(1.8) is None
    stated_s = streamworld.BASE_S + 250 * streamworld.STREAM_S
    assert abs(gate.measure(view, 1.8)[1].pass_s - stated_s) < 1e-9
    gate.meter.set_shared(0.07, 1.9)
    assert gate.meter.get_pass(2.0) == 0.07, "the median of other hosts was not used"
    assert gate.meter.get_pass(3.0) is None


@behave.then("a wrong pass time of one host does not change the median of all")
def check_median(context):
    lifetimes = rosterregistry.EntryLifetimes(4.0, 2.0)
    book = rosterregistry.RosterRegistry("book", lifetimes)
    for number in range(5):
        report = roster.ServicePass("s", 0.1 if number else 9.0, 8)
        book.record_passes(f"host {number}", (report,), 1.0)
    assert book.list_median_passes(1.5) == (roster.ServicePass("s", 0.1, 40),)
    # A host's report is replaced by its next one, and expires.
    book.record_passes("host 1", (), 1.55)
    assert book.list_median_passes(1.6) == (roster.ServicePass("s", 0.1, 32),)
    assert book.list_median_passes(2.0) == ()


@behave.then("the capacity does not follow the lag between streams and passes")
def check_lag(context):
    world, limits = streamworld.World(2.9, seed=3), []

    def probe():
        limits.append(world.gates[3].measure(world.view(3), world.now)[1].limit)
        world.schedule(world.now + 0.1, probe)

    world.schedule(6.0, probe)
    world.run(12.0, drain_s=0.0)
    # It varied by 25% when the newest count of streams was used.
    assert statistics.pstdev(limits) < 0.08 * statistics.mean(limits), limits


@behave.then("a level that waits gets one in ten starts")
def check_share(context):
    gate, view, (running,) = make_busy_gate(length=512)
    for level in [0] * 60 + [2] * 5:
        gate.waiting.add(make_stream(level), 0.0)
    levels = []
    for number in range(40):
        gate.leave(running, 0.01 * number)
        (running,) = gate.start_waiting(view, 0.01 * number)
        levels.append(running.level)
    assert levels.count(2) == 4 and levels[:9] == [0] * 9, levels


@behave.then("a large request is not passed over for longer than four times its target")
def check_large(context):
    waiting = streamwaiting.WaitingStreams(2, 64)
    for _ in range(30):
        waiting.note_work(make_stream(1))
    large = make_stream(1, prompt=3000.0, target_first_s=0.2)
    waiting.note_work(large)
    waiting.add(large, 0.0)
    waiting.add(make_stream(0), 0.1)
    assert waiting.peek(0.7)[0] is not large
    assert waiting.peek(0.9) == (large, True)


@behave.then("a request that returns goes ahead of new ones of its level")
def check_return(context):
    waiting = streamwaiting.WaitingStreams(2, 64)
    refused = make_stream(1, name="same")
    waiting.note_refused(refused, 0.0)
    for name in ("first", "same"):
        waiting.add(make_stream(1, 1.0, name=name), 1.0)
    waiting.take(waiting.peek(1.1)[0], 1.1)
    assert waiting.peek(1.1)[0].identify() == "first"
    waiting.note_refused(refused, 1.1)
    again = make_stream(1, 7.0, name="same")
    waiting.add(again, 7.0)
    assert not again.has_returned, "it was known for too long"


@behave.then("a request that can still be in time goes ahead of late ones of its level")
def check_on_time(context):
    waiting = streamwaiting.WaitingStreams(2, 64)
    early, fresh = make_stream(1, 0.0), make_stream(1, 0.3)
    waiting.add(early, 0.0)
    assert waiting.peek(0.1)[0] is early
    waiting.add(fresh, 0.3)
    assert waiting.peek(0.3)[0] is fresh
    urgent = make_stream(0, 0.0)
    waiting.add(urgent, 0.3)
    assert waiting.peek(0.3)[0] is urgent
    context.waiting, context.early = waiting, early


@behave.then("a late request starts when no other one waits")
def check_late(context):
    waiting = context.waiting
    while len(waiting) > 1:
        waiting.take(waiting.peek(0.3)[0], 0.3)
    assert waiting.peek(1.0) == (context.early, False)
    waiting.take(context.early, 1.0)
    assert waiting.peek(1.0) is None


@behave.then("the queue is bounded by requests and by bytes of their bodies")
def check_bounds(context):
    waiting = streamwaiting.WaitingStreams(2, 3)
    patient = [make_stream(1, left_s=5.0 + number) for number in range(3)]
    assert [waiting.add(stream, 0.0) for stream in patient] == [(True, ())] * 3
    assert waiting.add(make_stream(1, left_s=4.0), 0.0) == (False, ())
    assert waiting.add(make_stream(0), 0.0) == (True, (patient[2],))
    assert not patient[2].is_waiting and len(waiting) == 3
    large = make_stream(0, body_bytes=streamwaiting.BODY_BYTES_MAX - 50)
    assert waiting.add(large, 0.0) == (False, ()) and len(waiting) == 3


@behave.then("the time to retry is at most a third of the time left and varies by half")
def check_retry(context):
    source = random.Random(5)
    times = [streamadmission.compute_retry_after(1.0, 8.0, source) for _ in range(200)]
    assert 1.0 <= min(times) < 1.1 and 1.4 < max(times) <= 1.5
    assert streamadmission.compute_retry_after(5.0, 3.0, source) == 1.0


@behave.then("a request that can't wait long enough is refused at once")
def check_certain(context):
    gate, view, _ = make_busy_gate()
    hurried = make_stream(left_s=0.3)
    assert gate.arrive(hurried, view, 0.0).decision.verdict is REFUSE
    # With a place it would have started, since its length is only an estimate.
    assert make_gate().arrive(hurried, view, 0.0).decision.verdict is START


@behave.then("without a lease a host starts as many streams as ended there")
def check_no_lease(context):
    gate, held, running = make_busy_gate(slots=4)
    lost = make_view(8, fraction=0.0)
    for _ in range(3):
        gate.arrive(make_stream(now=0.1), lost, 0.1)
    queued = len(gate.waiting)
    assert queued and gate.own == 4 and gate.start_waiting(lost, 0.2) == ()
    gate.leave(running[0], 0.3)
    assert len(gate.start_waiting(lost, 0.3)) == 1
    assert gate.start_waiting(lost, 0.4) == ()
    assert len(gate.start_waiting(make_view(8), 0.5)) == queued - 1
    # The lease may come with the next pull, so an idle host lets requests wait.
    gate = make_gate()
    assert gate.arrive(make_stream(), lost, 0.0).decision.verdict is not REFUSE
    assert len(gate.start_waiting(held, 0.2)) == len(gate.waiting) + 1 == 1


@behave.then("load updates that are too old no longer count")
def check_lost_news(context):
    choice = serverchoice.ServerChoice()
    update = roster.LoadNews("b", 1, (roster.OpenRequests("s", 5),))
    choice.news.apply(update, 0.0)
    choice.set_other_requests((roster.OpenRequests("s", 3),), 0.0)
    choice.update_hosts(["b"], 0.5)
    assert choice.count_elsewhere(["s"], 0.5) == 5
    expired = loadnews.NEWS_LIFETIME_S + 0.1
    choice.update_hosts(["b"], expired)
    assert 1.5 < choice.count_elsewhere(["s"], expired) < 3.0


@behave.then("a request whose wait ended during the freeze is not started")
def check_freeze(context):
    gate, view, (running,) = make_busy_gate()
    stream = make_stream()
    gate.waiting.add(stream, 0.0)
    stream.waits_until = 1.5
    gate.leave(running, 9.0)
    assert gate.start_waiting(view, 9.0) == (stream,)
    assert not stream.is_waiting and not stream.is_open and gate.own == 0


@behave.then("a request that waits is started under the new table")
def check_new_table(context):
    gate, view, (running,) = make_busy_gate()
    stream = make_stream(2)
    gate.waiting.add(stream, 0.0)
    gate.set_rules(streamgate.GateRules(streamworld.PROFILE, 0.12, (0, 2), 64, 1.5))
    assert stream.level == 1 and len(gate.waiting) == 1
    gate.leave(running, 0.2)
    assert gate.start_waiting(view, 0.2) == (stream,)


# An entry host and a server.

WAKING_S = 0.2
"""What a target to the first event of 0.4 s leaves beside reading the prompt."""

ENGINE = {
    "step_s": 0.001, "stream_step_s": 0.0001, "steps_per_event": 7,
    "mean_answer_tokens": 140.0,
}  # fmt: skip


class StreamServer(gatewayhost.ScriptedServer):
    """Writes events of each stream until the test ends it."""

    def __init__(self):
        super().__init__(None)
        self.started_at, self.ended_at, self.ends = {}, {}, {}

    async def _serve(self, reader, writer):
        self._connections[asyncio.current_task()] = writer
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                name = head.split(" ")[1].strip("/")
                self.started_at[name] = clock.read_clock()
                self.ends[name] = asyncio.Event()
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not self.ends[name].is_set():
                    writer.write(b"9\r\ndata: a\n\n\r\n")
                    await asyncio.sleep(0.02)
                writer.write(b"0\r\n\r\n")
                self.ended_at[name] = clock.read_clock()
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()


def make_gateway(server, engine=ENGINE, from_servers=1):
    return gatewayhost.GatewayHost(
        [server], "stream", 1, engine=engine, slots=2,
        admission={"from_servers": from_servers},
    )  # fmt: skip


@behave.given("an entry host with stream admission and a server with two slots")
def make_host(context):
    context.server, context.calls = StreamServer(), {}
    context.host, context.runner = make_gateway(context.server), asyncio.Runner()
    context.closers.append(context.runner.close)
    context.runner.run(context.host.start())
    context.closers.append(lambda: context.runner.run(context.host.close()))
    context.gate = context.host.forwarder.admission._services["drafting"].gate


async def open_streams(context, names):
    for name in names:
        call = gatewayhost.call(context.host.address, f"/{name}")
        context.calls[name] = asyncio.create_task(call)
        await asyncio.sleep(0.1)


async def end_all(context):
    while not all(call.done() for call in context.calls.values()):
        for event in context.server.ends.values():
            event.set()
        await asyncio.sleep(0.01)
    answers = [call.result() for call in context.calls.values()]
    assert context.gate.own == len(context.gate.waiting) == 0
    return answers


@behave.when("two streams run and a third request arrives")
def start_three(context):
    context.runner.run(open_streams(context, "abc"))
    assert (context.gate.own, len(context.gate.waiting)) == (2, 1)
    assert "c" not in context.server.started_at


@behave.then("the third waits and starts within 0.2 s of the end of a stream")
def check_start(context):
    async def run():
        context.server.ends["a"].set()
        await asyncio.sleep(2 * WAKING_S)
        return await end_all(context)

    assert all(answer.status == 200 for answer in context.runner.run(run()))
    started_s = context.server.started_at["c"] - context.server.ended_at["a"]
    assert 0.0 <= started_s < WAKING_S, started_s


def report_elsewhere(context, count):
    forwarder = context.host.forwarder
    held = (roster.OpenRequests("server-0", count),)
    news = roster.LoadNews("gateway-2", next(numbers), held)
    forwarder.choice.news.apply(news, clock.read_clock())
    forwarder.admission.note_news()


@behave.when("other hosts hold both slots and a request arrives")
def fill_elsewhere(context):
    share, now = context.host.forwarder.share, clock.read_clock()
    demand = share.make_demand(now)
    share.apply_share(roster.HostShare(demand.sequence, 0.5, 60.0, 0.0), now)

    async def run():
        await open_streams(context, "a")
        report_elsewhere(context, 2)
        await open_streams(context, "c")

    context.runner.run(run())


@behave.then("it starts within 0.2 s of their news that a stream has ended")
def check_news(context):
    async def run():
        # An update counts for a second, so the request waits until the next one.
        await asyncio.sleep(0.3)
        assert "c" not in context.server.started_at
        report_elsewhere(context, 0)
        told_at = clock.read_clock()
        await asyncio.sleep(2 * WAKING_S)
        await end_all(context)
        return told_at

    told_at = context.runner.run(run())
    assert context.server.started_at["c"] - told_at < WAKING_S


@behave.then("without a lease it uses a part of the capacity while a leader answers")
def check_unleased(context):
    forwarder, now = context.host.forwarder, clock.read_clock()
    assert forwarder.admission._get_fraction(now) == 1.0
    forwarder.share._ends_at = now
    assert 0.0 < forwarder.admission._get_fraction(now) <= 0.5
    forwarder.view.refreshed_at = now - 2.0
    assert forwarder.admission._get_fraction(now) == 0.0


@behave.then("nothing waits as soon as its caller has left")
def check_left(context):
    async def run():
        context.calls.pop("c").cancel()
        await asyncio.sleep(0.05)
        assert (context.gate.own, len(context.gate.waiting)) == (2, 0)
        await end_all(context)
        assert "c" not in context.server.started_at

    context.runner.run(run())


@behave.then("a stop refuses it with a 503 and 0.05 s")
def check_stop(context):
    async def run():
        context.host.start_drain()
        draining = asyncio.create_task(context.host.finish_drain())
        refused = await context.calls["c"]
        await end_all(context)
        await draining
        return refused

    refused = context.runner.run(run())
    assert (refused.status, refused.headers["retry-after"]) == (503, "0.05")
    assert "c" not in context.server.started_at


@behave.then("requests of a plain service and those with the setting off get no ticket")
def check_unaffected(context):
    async def make_ticket(engine, from_servers):
        host = make_gateway(StreamServer(), engine, from_servers)
        await host.start()
        admission = host.forwarder.admission
        route = host.forwarder.services.index.find_route(gatewayhost.HOST, "/a")
        now = clock.read_clock()
        ticket = admission.make_ticket(
            "drafting", route, None, "", None, (now, now + 1.0), 0, str
        )
        await host.close()
        return ticket

    for engine, from_servers in ((None, 1), (ENGINE, 0), (ENGINE, 2)):
        assert asyncio.run(make_ticket(engine, from_servers)) is None
    assert asyncio.run(make_ticket(ENGINE, 1)) is not None

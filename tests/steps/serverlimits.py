import asyncio
import random
import sys
import time

import behave
from support import gatewayhost
from support import hostshares as support

from lycheegauge.internal.coordination import serverlimits, sharegrants

WINDOW_S = 4.0
OVERAGE, SLACK = 1.5, 5.0
BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
PULL_INTERVAL_S = 0.3
KNOWN_AFTER_S = 3.0


class LimitedServer(gatewayhost.ScriptedServer):
    def __init__(self, limit):
        super().__init__(self.reply)
        self.limit = limit
        self.arrivals = []

    def reply(self, fields, target):
        self.arrivals.append(time.monotonic())
        head = BODY
        if self.limit is not None:
            head += f"Lycheegauge-Server-Limit: {self.limit}\r\n".encode()
        return gatewayhost.Reply(head + b"\r\nok")

    def count_most(self):
        return max(
            sum(start <= at < start + WINDOW_S for at in self.arrivals)
            for start in self.arrivals
        )


@behave.given("a server that states a limit of 2 requests a second beside one without")
def make_one_limited(context):
    context.servers = [LimitedServer(2.0), LimitedServer(None)]


@behave.given("servers that all state a limit of 1 request a second")
def make_all_limited(context):
    context.servers = [LimitedServer(1.0), LimitedServer(1.0)]


@behave.given("a server that states a limit of {text} requests a second")
def make_limited(context, text):
    context.servers = [LimitedServer(text)]


@behave.when("{rate:d} requests a second arrive for {duration_s:d} seconds")
def send_requests(context, rate, duration_s):
    async def send_all():
        host = gatewayhost.GatewayHost(context.servers, "safe", attempts_max=2)
        await host.start()
        context.longest_hold_s = 0.0
        measure_holds(context)
        context.results = []

        async def ask():
            began_at = time.monotonic()
            received = await gatewayhost.call(host.address)
            context.results.append((received, time.monotonic() - began_at))

        async def send_for(seconds):
            tasks = []
            for _ in range(int(rate * seconds)):
                tasks.append(asyncio.create_task(ask()))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*tasks)

        try:
            await send_for(duration_s)
            context.most = [server.count_most() for server in context.servers]
            context.limited_results = list(context.results)
            context.servers[0].limit = None
            await send_for(4)
            context.recovered = [len(server.arrivals) for server in context.servers]
            await send_for(2)
            context.recovered = [
                len(server.arrivals) - before
                for server, before in zip(
                    context.servers, context.recovered, strict=True
                )
            ]
        finally:
            await host.close()

    asyncio.run(send_all())


def measure_holds(context):
    """Measures the processor time of each callback of the event loop."""
    run = asyncio.events.Handle._run

    def run_measured(handle):
        began_at = time.process_time()
        run(handle)
        held_s = time.process_time() - began_at
        context.longest_hold_s = max(context.longest_hold_s, held_s)

    asyncio.events.Handle._run = run_measured
    context.closers.append(lambda: setattr(asyncio.events.Handle, "_run", run))


@behave.then("the event loop was never held longer than {limit_ms:d} ms")
def check_holds(context, limit_ms):
    assert context.longest_hold_s < limit_ms / 1000, context.longest_hold_s


@behave.then("each slot of a limit belongs to one host, for limits up to {most:d}")
def check_slots(context, most):
    source = random.Random(1)
    width = 1.0 - sharegrants.NEW_HOSTS_FRACTION
    for _ in range(200):
        slots = int(most ** source.random()) + 1
        cuts = sorted(source.uniform(0.0, width) for _ in range(8))
        bounds = [0.0, *cuts, width]
        intervals = [
            (start, end - start) for start, end in zip(bounds, bounds[1:], strict=False)
        ]
        server = f"server-{source.random()}"
        counts = [serverlimits.count_owned(server, slots, item) for item in intervals]
        assert sum(counts) == slots, (slots, counts)
        for (_, length), count in zip(intervals, counts, strict=True):
            assert abs(count - slots * length / width) <= 1, (slots, length, count)


@behave.then("the limited server gets at most {most:d} requests in any 4 seconds")
def check_limited(context, most):
    assert context.most[0] <= most, context.most


@behave.then("every request is answered")
def check_answered(context):
    statuses = [received.status for received, _ in context.limited_results]
    assert set(statuses) == {200}, statuses


@behave.then("it gets its part again once it no longer states a limit")
def check_recovered(context):
    assert context.recovered[0] >= sum(context.recovered) / 4, context.recovered


@behave.then("each server gets at most {most:d} requests in any 4 seconds")
def check_each(context, most):
    assert max(context.most) <= most, context.most


@behave.then(
    "the others are rejected within 0.25 seconds to return after about 1 second"
)
def check_rejected(context):
    rejected = [item for item in context.limited_results if item[0].status == 503]
    assert rejected
    for received, took_s in rejected:
        assert took_s < 0.25, took_s
        assert 0.5 <= float(received.headers["retry-after"]) <= 2.0, received


class LimitedFleet(support.World):
    """Hosts that would send everything to a few servers that state limits."""

    def __init__(self, seed, hosts, limits):
        super().__init__(hosts, asks=10**9, ticks=0, faults=10**9)
        self.source = random.Random(seed)
        self.limits = limits
        self.known = {}
        self.arrivals = {server: [] for server in limits}
        self.pulled_at = self.now

    def run(self, duration_s, per_s, change_probability):
        until = self.now + duration_s
        while self.now < until:
            self.now += self.source.expovariate(per_s)
            if self.now - self.pulled_at > PULL_INTERVAL_S:
                self.pulled_at = self.now
                self.exchange()
                if self.source.random() < change_probability:
                    self.restart(self.source.randrange(len(self.hosts)))
            self.send()

    def send(self):
        host = self.source.choice(self.hosts)
        server = self.source.choice(list(self.limits))
        known = self.known.setdefault(host.incarnation, serverlimits.ServerLimits())
        interval = host.holder.get_interval(self.now)
        if not known.may_send(server, interval, self.now):
            return
        known.take(server)
        rate = self.limits[server]
        was_told = not known.note_answer(server, rate, interval, self.now)
        if was_told:
            self.arrivals[server].append(self.now)


@behave.then(
    "no server gets more than one and a half times its limit and 5 from {hosts:d} hosts"
)
def check_fleet(context, hosts):
    limits = {f"server-{n}": rate for n, rate in enumerate((0.6, 1.2, 3.3, 8.0))}
    for seed in range(6):
        fleet = LimitedFleet(seed, hosts, limits)
        fleet.be_calm(5.0)
        fleet.run(40.0, per_s=400.0, change_probability=0.05)
        for server, rate in limits.items():
            most = OVERAGE * rate * WINDOW_S + SLACK
            arrivals = fleet.arrivals[server]
            for start in arrivals:
                count = sum(start <= at < start + WINDOW_S for at in arrivals)
                assert count <= most, (server, rate, count, most)


@behave.then("at least half of each limit is used by {hosts:d} steady hosts")
def check_used(context, hosts):
    limits = {f"server-{n}": rate for n, rate in enumerate((0.6, 1.2, 3.3, 8.0))}
    fleet = LimitedFleet(1, hosts, limits)
    fleet.be_calm(5.0)
    fleet.run(60.0, per_s=400.0, change_probability=0.0)
    used = {
        rate: round(len(fleet.arrivals[server]) / (60.0 * rate), 2)
        for server, rate in limits.items()
    }
    print(f"figure: limits used by {hosts} hosts: {used}", file=sys.__stdout__)
    assert min(used.values()) >= 0.5, used


@behave.then("a stated limit is read as a decimal number or not at all")
def check_parsing(context):
    assert serverlimits.parse_limit("1.25") == 1.25
    assert serverlimits.parse_limit("0") == 0.0
    unreadable = (
        "",
        "many",
        "-1",
        "nan",
        "inf",
        "1_000",
        "٣",
        "0x10",
        "1 2",
        "1" * 5000,
    )
    for text in unreadable:
        assert serverlimits.parse_limit(text) is None, text


@behave.then("a stated limit above {most:d} is read as {same:d}")
def check_largest(context, most, same):
    assert same == most
    for text in ("1000001", "1e7", "1e308", "1e999"):
        assert serverlimits.parse_limit(text) == most, text

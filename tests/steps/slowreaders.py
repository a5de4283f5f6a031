import asyncio
import contextlib
import dataclasses
import multiprocessing
import pathlib
import sys
import time

import behave
import loguru
from support import gatewayhost, rawpeers

from lycheegauge.internal import events
from lycheegauge.internal.coordination import memorylimits
from lycheegauge.internal.transport import bytebudget

BOUND = 16_000_000
SOUND_S = 2.5
LOADS = {
    "60 callers with 1 MB for a server that does not read": (60, "unread", 1_000_000),
    "150 callers that do not read 2 MB each": (150, "large", 0),
}


@contextlib.asynccontextmanager
async def open_host(held_bytes, repetition="unsafe", body_bytes=2_000_000):
    server = rawpeers.RawServer(b"x" * body_bytes)
    limits = {"held_bytes": held_bytes}
    host = gatewayhost.GatewayHost([server], repetition, 3, limits=limits or {})
    await host.start()
    host.settle()
    try:
        yield host, server, host.forwarder.budget
    finally:
        await host.close()


async def call(host, path, body=b"", stated_bytes=None):
    caller = await rawpeers.RawCaller(host.address).open()
    # The host may end the connection before it has read the whole body.
    with contextlib.suppress(OSError):
        await caller.send(path, body, stated_bytes)
    return caller


async def call_many(host, count, path, body=b"", stated_bytes=None):
    calls = (call(host, path, body, stated_bytes) for _ in range(count))
    return [asyncio.create_task(one) for one in calls]


async def wait_until(condition, limit_s):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def read_resident_bytes():
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * 4096


async def run_load(held_bytes, load):
    """Returns the growth, the slowest sound request and the most bytes counted."""
    count, path, body_bytes = LOADS[load]
    body = b"y" * body_bytes
    async with open_host(held_bytes) as (host, _, budget):
        before, growth, slowest_s = read_resident_bytes(), 0, 0.0
        tasks = await call_many(host, count, path, body)
        until = time.monotonic() + SOUND_S
        while time.monotonic() < until:
            began_at = time.monotonic()
            caller = await call(host, "small")
            assert await caller.read_status() == 200
            slowest_s = max(slowest_s, time.monotonic() - began_at)
            caller.close()
            growth = max(growth, read_resident_bytes() - before)
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return growth, slowest_s, budget.peak_bytes if budget else 0


def run_forked(run):
    """What one run has freed would hide the growth of the next one in its process."""
    fork = multiprocessing.get_context("fork")
    receiving, sending = fork.Pipe(duplex=False)
    process = fork.Process(target=lambda: sending.send(asyncio.run(run())))
    process.start()
    sending.close()
    try:
        return receiving.recv()
    finally:
        process.join()


@behave.when("{load} reach an entry host, with a bound of 16 MB and without one")
def measure_load(context, load):
    loguru.logger.remove()
    context.results = [
        run_forked(lambda bound=bound: run_load(bound, load)) for bound in (BOUND, 0)
    ]
    bounded, present = context.results
    print(
        f"figure: {load}: grew by {bounded[0] / 1e6:.1f} MB with the bound, "
        f"{present[0] / 1e6:.1f} without; slowest sound request "
        f"{bounded[1]:.3f} s, {present[1]:.3f} without",
        file=sys.__stdout__,
    )


@behave.then(
    "held bytes stay under the bound, and memory grows by less than without it"
)
def check_growth(context):
    bounded, present = context.results
    assert 0.5 * BOUND < bounded[2] <= BOUND, bounded
    assert bounded[0] < present[0], context.results


@behave.then("each sound request beside them is answered within {limit_s:g} seconds")
def check_sound(context, limit_s):
    assert context.results[0][1] < limit_s, context.results


STEPS = {
    "they send a body": ("small", b"y" * 200_000, 400_000, 2_000_000),
    "a server does not read their body": ("unread", b"y" * 1_000_000, None, 2_000_000),
    "they do not read an answer": ("large", b"", None, 2_000_000),
    "they do not read a stream": ("events", b"", None, 2_000_000),
    "the rest of a finished answer is not sent yet": ("large", b"", None, 250_000),
}


@behave.when("{count:d} callers leave an entry host while {step}")
def leave(context, count, step):
    path, body, stated_bytes, answer_bytes = STEPS[step]

    repetition = "stream" if path == "events" else "unsafe"

    async def run():
        async with open_host(BOUND, repetition, answer_bytes) as (host, _, budget):
            tasks = await call_many(host, count, path, body, stated_bytes)
            await asyncio.sleep(0.3)
            context.held_bytes, context.waiting = (
                budget.held_bytes,
                budget.waiting_count,
            )
            for task in tasks:
                # One that could not send its whole body is closed by its cancellation.
                task.result().close() if task.done() else task.cancel()
            await wait_until(
                lambda: not budget.held_bytes and not budget.waiting_count, 1.0
            )

    asyncio.run(run())


@behave.then("the host holds nothing within 1 second, after having held something")
def check_returned(context):
    assert context.held_bytes > 100_000 and context.waiting, context.held_bytes


@behave.when(
    "a steady caller reads a stream beside {count:d} that read nothing, "
    "with a bound of 4 MB"
)
def read_steadily(context, count):
    context.lines = []

    async def run():
        async with open_host(4_000_000, "stream", 240_000) as (host, _, budget):
            stalled = await call_many(host, count, "events")
            await wait_until(lambda: budget.waiting_count == count, 2.0)
            steady = await call(host, "events")
            reading = asyncio.create_task(steady.read_all(8192, 0.05))
            # Other requests take what is left, up to just below the bound.
            await fill(budget, 3_900_000 - budget.held_bytes)
            context.received = await reading
            await asyncio.sleep(0.5)
            context.ended, context.stalled = budget.ended_count, len(stalled)
            context.exported = host._counters.export().decode()

    loguru.logger.remove()
    sink = loguru.logger.add(lambda line: context.lines.append(line.record))
    asyncio.run(run())
    loguru.logger.remove(sink)


@behave.then("it gets the whole stream, and some of the others were ended")
def check_steady(context):
    assert context.received.count(b"data: ") == 240_000 // 8008, len(context.received)
    assert context.received.endswith(b"\n\n\r\n0\r\n\r\n") or context.received.endswith(
        b"\n\n"
    ), context.received[-30:]
    assert 0 < context.ended < context.stalled, context.ended


@behave.then("each ended answer wrote one line and was counted")
def check_ended_lines(context):
    message = events.get_event_message(events.AnswerEnded)
    lines = [line["extra"] for line in context.lines if line["message"] == message]
    assert len(lines) == context.ended, (len(lines), context.ended)
    assert [line["ended_before"] for line in lines] == list(range(context.ended))
    assert all(line["held_bytes"] and line["waited_for"] == "caller" for line in lines)
    counted = [
        line.split()[-1]
        for line in context.exported.splitlines()
        if line.startswith("lycheegauge_ended_answers_total")
    ]
    assert counted == [f"{context.ended}.0"], counted


@behave.when("a caller does not read an answer of a repeatable request, {case}")
def stall(context, case):
    async def run():
        # The server's system must not take the whole answer.
        async with open_host(BOUND, "safe", 12_000_000) as (host, server, budget):
            path = "cut" if "gives up" in case else "large"
            caller = await call(host, path)
            await wait_until(lambda: budget.waiting_count, 1.0)
            if path == "cut":
                await asyncio.sleep(2.0)
                # What the host holds is read, so that it notices the server's end.
                await caller.read_all()
            else:
                # Nothing else can make room.
                bytebudget.Holder(budget).set_bytes(bytebudget.Part.BODY, BOUND - 1000)
                await wait_until(lambda: budget.ended_count, 1.0)
            await wait_until(lambda: not host.forwarder.running, 1.0)
            context.arrivals = server.arrivals
            choice = host.forwarder.choice
            context.has_failure = choice.has_failed("server-0", time.monotonic())
            context.is_complete = caller.is_complete

    asyncio.run(run())


@behave.then("the server got the request once and no failure of it was recorded")
def check_not_blamed(context):
    assert len(context.arrivals) == 1, context.arrivals
    assert not context.has_failure and not context.is_complete


@behave.when("an entry host stops with {count:d} stalled callers and a steady one")
def stop(context, count):
    async def run():
        # An answer of this size is passed on, and no deadline ends the rest.
        async with open_host(BOUND, "unsafe", 250_000) as (host, _, budget):
            steady = await call(host, "large")
            stalled = [await task for task in await call_many(host, count, "large")]
            await wait_until(lambda: budget.waiting_count > count // 2, 2.0)
            reading = asyncio.create_task(steady.read_all(65_536, 0.02))
            host.start_drain()
            began_at = time.monotonic()
            async with asyncio.timeout(10):
                await host.finish_drain()
            context.drained_s = time.monotonic() - began_at
            await reading
            context.complete = steady.is_complete
            for caller in stalled:
                await caller.read_all()
            context.stalled_complete = sum(caller.is_complete for caller in stalled)
            context.held_bytes = budget.held_bytes

    asyncio.run(run())


@behave.then("it has no connection left within {limit_s:d} seconds")
def check_stop(context, limit_s):
    assert context.drained_s < limit_s and not context.held_bytes, context.drained_s


@behave.then("only the steady one got its whole answer")
def check_stopped_answers(context):
    assert context.complete and not context.stalled_complete, context.stalled_complete


async def fill(budget, held_bytes):
    holder = bytebudget.Holder(budget)
    holder.set_bytes(bytebudget.Part.BODY, held_bytes)
    return holder


@behave.given("an entry host whose memory is full")
def fill_memory(context):
    async def run():
        async with open_host(BOUND) as (host, server, budget):
            await fill(budget, int(0.9 * BOUND))
            caller = await call(host, "small", b"y" * 100_000)
            context.status = await caller.read_status()
            await caller.read_all()
            context.refusal, caller.received = caller.received.lower(), b""
            context.arrivals = len(server.arrivals)
            await caller.send("small")
            context.next_status = await caller.read_status()
            other = await call(host, "small", b"y" * 1000)
            context.other_status = await other.read_status()

    asyncio.run(run())


@behave.then(
    "a body of 100 kB is refused with a time after which to retry, and not sent on"
)
def check_refused(context):
    assert context.status == 503 and b"retry-after: 1" in context.refusal
    assert b"memory_full" in context.refusal and context.arrivals == 0


@behave.then("its connection and small bodies are still served")
def check_served(context):
    assert context.next_status == context.other_status == 200


@behave.given("an entry host that holds its whole bound")
def hold_bound(context):
    async def run():
        async with open_host(BOUND) as (host, server, budget):
            holder = await fill(budget, BOUND)
            caller = await call(host, "small")
            await asyncio.sleep(0.5)
            context.arrivals, context.connections = (
                len(server.arrivals),
                host.count_connections(),
            )
            holder.close()
            async with asyncio.timeout(1.0):
                context.status = await caller.read_status()

    asyncio.run(run())


@behave.then("a new caller is answered only after the bytes are returned")
def check_unread(context):
    assert (context.arrivals, context.connections, context.status) == (0, 1, 200)


@dataclasses.dataclass
class Holding:
    held_bytes: int
    progressed_at: float


STILL = [Holding(10, 3.0), Holding(10, 1.0), Holding(0, 0.0), Holding(10, 2.5)]
LIMITS = memorylimits.MemoryLimits(1_000_000, 262_144)


@behave.then("at 0.8 of the bound nothing gives way")
def check_below(context):
    assert LIMITS.choose_ended(STILL, 800_000, 9.0) is None
    assert LIMITS.accepts_body(700_000, 70_000, 70_000)
    assert memorylimits.MemoryLimits(50_000_000, 262_144).get_share(0) == 262_144


@behave.then("from 0.875 on large bodies, then the longest still answers give way")
def check_reached(context):
    assert not LIMITS.accepts_body(875_000, 65_537, 1)
    assert LIMITS.accepts_body(875_000, 65_536, 65_536)
    assert LIMITS.get_share(875_000) == memorylimits.REDUCED_SHARE_BYTES
    assert LIMITS.choose_ended(STILL, 880_000, 3.2) is STILL[1]
    assert LIMITS.choose_ended(STILL[:1] + STILL[3:], 880_000, 3.2) is None


@behave.then("beyond the bound the longest still answer gives way at once")
def check_exceeded(context):
    assert LIMITS.choose_ended(STILL[:1] + STILL[3:], 1_000_001, 3.2) is STILL[3]
    assert not LIMITS.accepts_connection(950_000)

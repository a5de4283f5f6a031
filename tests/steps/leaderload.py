import asyncio
import collections
import time

import behave
from support import grouppool

from lycheegauge.internal.daemons import mapcoordination, rosterhost, workmeter
from lycheegauge.internal.protocol import roster, routetables

CORE_SHARE = 0.25
"""Share of a core that a log host has on the sites of the second milestone."""

TURNS_PER_MESSAGE = 6
POLLS_MAX = 60
STEPS_PER_POLL = 8
PASS_S = 0.1


@behave.given(
    "a lock-step group of {ranks:d} ranks with {layers:d} layers of {experts:d} experts"
)
def prepare_group(context, ranks, layers, experts):
    layout = grouppool.make_layout(layers, experts)
    context.pool = grouppool.GroupPool(ranks, layout)
    context.service = routetables.ServiceDeclaration(
        name="drafting", slots=5, cold_rate=0.0, connections_max=100, experts=layout
    )
    context.servers = [
        roster.ServerListing(
            f"server-{rank}", 1, 1, "drafting", context.pool.get_address(rank), "a", 5,
            0.0,
        )
        for rank in range(ranks)
    ]  # fmt: skip


class ProcessorTimer:
    """Measures the processor time that turns of the event loop take.

    A received heartbeat or reply passes through several turns until it is handled.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        turns = collections.deque([time.process_time()], maxlen=TURNS_PER_MESSAGE + 1)
        while True:
            await asyncio.sleep(0)
            turns.append(time.process_time())
            self.longest_s = max(self.longest_s, turns[-1] - turns[0])


async def poll_until_switched(context):
    coordination = mapcoordination.MapCoordination(
        1, context.pool, 90, None, workmeter.WorkMeter()
    )
    timer = ProcessorTimer()
    task = asyncio.create_task(timer.run())
    try:
        for _ in range(POLLS_MAX):
            await coordination.poll_service(context.service, context.servers, 0.12)
            context.pool.advance(STEPS_PER_POLL)
            await asyncio.sleep(0.01)
            if all(rank.version > 0 for rank in context.pool.ranks):
                return timer.longest_s
    finally:
        task.cancel()
        coordination.close()
    raise AssertionError(f"no planned map was in force after {POLLS_MAX} polls")


@behave.when("the leader polls the group until a map that it planned is in force")
def poll_group(context):
    context.longest_s = asyncio.run(poll_until_switched(context))


@behave.then(
    "a leader with a quarter of a core was never silent for an election timeout"
)
def check_silence(context):
    timing = rosterhost.TIMING
    allowed_s = timing.election_min_s - timing.heartbeat_s
    silent_s = context.longest_s / CORE_SHARE
    assert silent_s <= allowed_s, (
        f"silent for {silent_s:.2f} s at {CORE_SHARE} of a core; allowed {allowed_s}"
    )


@behave.given(
    "two lock-step groups of {ranks:d} ranks, one of which copies without end"
)
def prepare_two_groups(context, ranks):
    layout = grouppool.make_layout(2, 12)
    context.pool = grouppool.GroupPool(ranks, layout, ("copying", "other"))
    context.service = routetables.ServiceDeclaration(
        name="drafting", slots=5, cold_rate=0.0, connections_max=100, experts=layout
    )
    context.servers = [
        roster.ServerListing(
            f"server-{number}", 1, 1, "drafting", context.pool.get_address(number), "a",
            5, 0.0,
        )
        for number in range(2 * ranks)
    ]  # fmt: skip
    for rank in context.pool.ranks[:ranks]:
        rank.copies_forever = True
    for rank in context.pool.ranks[ranks:]:
        # Even demand at first: this group begins to switch after the other one.
        rank.weights = [10.0] * len(rank.weights)
    context.others = context.pool.ranks[ranks:]


@behave.when("the leader polls the groups for {duration_s:d} seconds")
def poll_two_groups(context, duration_s):
    async def poll():
        coordination = mapcoordination.MapCoordination(
            1, context.pool, 90, None, workmeter.WorkMeter()
        )
        uneven = [20.0 * weight for weight in context.pool.ranks[0].weights]
        for rank in context.pool.ranks[: len(context.others)]:
            rank.weights = uneven
        began_at = time.monotonic()
        try:
            while time.monotonic() - began_at < duration_s:
                polled = await coordination.poll_service(
                    context.service, context.servers, 0.12
                )
                elapsed_s = time.monotonic() - began_at
                context.pool.advance(int(elapsed_s / PASS_S) - context.pool.step)
                await asyncio.sleep(polled.wait_s)
                if time.monotonic() - began_at > 1.0:
                    for rank in context.others:
                        rank.weights = uneven
        finally:
            coordination.close()

    asyncio.run(poll())


@behave.then("the other group has a map that the leader planned")
def check_other_group(context):
    assert all(rank.version > 0 for rank in context.others), [
        rank.version for rank in context.others
    ]


@behave.then("its demand was read at least {count:d} times")
def check_counts(context, count):
    assert min(rank.counts_asked for rank in context.others) >= count

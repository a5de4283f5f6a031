import functools
import random
import sys

import behave
from support import explorer, latereports, mapworld, orderreplies

from lycheegauge.internal.coordination.groups import mapswitch
from lycheegauge.internal.daemons import mapcoordination

MAX_STATES = 400_000
MAX_WALKS = 20_000
# Every poll reaches all ranks, for variants whose safeguard is not about lost ranks.
FULL_POLLS = functools.partial(mapworld.World, allows_partial_polls=False)
VARIANTS = {
    "with engines that ignore fences": functools.partial(FULL_POLLS, fences=False),
    "that releases before all are armed": functools.partial(
        FULL_POLLS, mapworld.ReleasesBeforeArmed
    ),
    "that holds no pass": functools.partial(FULL_POLLS, mapworld.SkipsHold),
    "that ignores orders without an answer": functools.partial(
        FULL_POLLS, mapworld.IgnoresUnansweredOrders
    ),
    "that trusts late reports": functools.partial(
        latereports.LateWorld, latereports.TrustingSwitch
    ),
    "that reads the state of its replies before the order": functools.partial(
        orderreplies.ReplyWorld, reads_first=True
    ),
    "that never waits for a missing rank": functools.partial(
        mapworld.World, mapworld.IgnoresMissingRanks
    ),
}


@behave.then("the map switch uses one map in each pass in all reachable states")
def check_model(context):
    found = explorer.search(mapworld.World(faults=1), MAX_STATES)
    print(f"figure: states explored {found.states} (map switch)", file=sys.__stdout__)
    assert not found.problem, (found.problem, found.trace)
    assert found.complete, "the search reached the limit on states"
    walked = explorer.walk(
        functools.partial(mapworld.World, faults=5), random.Random(1), 800, 120
    )
    assert not walked.problem, (walked.problem, walked.trace)


@behave.then(
    "the map switch uses one map in each pass in random walks with late reports"
)
def check_late_reports(context):
    walked = explorer.walk(latereports.LateWorld, random.Random(1), 1500, 400)
    assert not walked.problem, (walked.problem, walked.trace)


@behave.then("the map switch uses one map in each pass with states in order replies")
def check_order_replies(context):
    for faults, seed, walks in ((0, 5, 200), (1, 6, 800), (5, 7, 1500)):
        walked = explorer.walk(
            functools.partial(orderreplies.ReplyWorld, faults=faults),
            random.Random(seed), walks, 400,
        )  # fmt: skip
        assert not walked.problem, (faults, walked.problem, walked.trace)


@behave.then(
    "after any faults the newest coordinator ends the switch with states in replies"
)
def check_reply_release(context):
    source = random.Random(3)
    for _ in range(150):
        world = orderreplies.ReplyWorld(faults=5)
        act_at_random(world, source, 200)
        world.finish_undisturbed()
        check_ended(world)


@behave.then(
    "after any faults the newest coordinator ends the switch with late reports"
)
def check_late_release(context):
    source = random.Random(2)
    for _ in range(150):
        world = latereports.LateWorld(faults=5)
        act_at_random(world, source, 200)
        world.finish_undisturbed()
        check_ended(world)


def arm_without_holder(switch_class):
    """Arms rank 1; the order to arm rank 0, which holds the pass, is lost."""
    world = latereports.LateWorld(switch_class, faults=1)
    coordinator = world.coordinators[0]
    # Three polls with orders to fence, to prepare and to hold, and one that plans.
    for _ in range(4):
        take_poll(world, ("read", "read"))
        while coordinator.orders and coordinator.orders[-1][1] is None:
            world.act(("step", "carry 0"))
        if coordinator.orders:
            world.act(("step", "finish 0"))
    assert world.ranks[0].held != mapworld.NONE
    take_poll(world, ("read", "read"))
    assert [item.rank for item, _ in coordinator.orders] == [0, 1]
    for action in ("lose_order 0", "carry 0", "finish 0"):
        world.act(("step", action))
    assert not world.ranks[0].armed and world.ranks[1].armed
    return world


def take_poll(world, ways):
    for way in ways:
        world.act(("step", f"{way} 0"))


def read_holder_late(world):
    """Polls once after the next pass, with a late report of the holder.

    Then passes begin until one is held, or the one that ranks are armed for is over.
    """
    world.act(("step", "pass"))
    take_poll(world, ("read_late", "read"))
    orders = [item.order for item, _ in world.coordinators[0].orders]
    while any(outcome is None for _, outcome in world.coordinators[0].orders):
        world.act(("step", "carry 0"))
    if orders:
        world.act(("step", "finish 0"))
    while not world.is_held() and world.step < 2 * mapswitch.HOLD_AHEAD_STEPS:
        world.act(("step", "pass"))
    return orders


@behave.given(
    "a switch of which the holding rank's order to arm was lost with its agent"
)
def make_lost_arm(context):
    context.world = arm_without_holder(mapswitch.MapSwitch)


@behave.when("the holding rank is read directly and its report is from before the hold")
def read_late(context):
    context.orders = read_holder_late(context.world)


@behave.then("no pass begins with two maps and the switch ends with one map")
def check_hold_kept(context):
    assert context.orders == [], context.orders
    world = context.world
    assert world.is_held() and not world.problem, world.problem
    world.finish_undisturbed()
    check_ended(world)
    assert len({rank.map for rank in world.ranks}) == 1


@behave.then("a switch that trusts the late report begins a pass with two maps")
def check_hold_moved(context):
    world = arm_without_holder(latereports.TrustingSwitch)
    orders = read_holder_late(world)
    assert [order.kind for order in orders] == [mapworld.Kind.HOLD], orders
    assert world.problem


def act_at_random(world, source, actions_max):
    for _ in range(source.randrange(actions_max)):
        actions = world.list_actions()
        if not actions:
            break
        world.act(explorer.choose_action(actions, source))


def check_ended(world):
    assert not world.problem, world.problem
    assert all(rank.held == mapworld.NONE for rank in world.ranks)
    assert not any(rank.armed for rank in world.ranks)


@behave.then("the map switch {variant} begins a pass with two maps")
def check_variant(context, variant):
    build_world = functools.partial(VARIANTS[variant], faults=4)
    found = explorer.walk(build_world, random.Random(1), MAX_WALKS, 120)
    assert found.problem, f"{MAX_WALKS} walks found no pass that began with two maps"
    print(
        f"figure: refuted after {len(found.trace)} moves {variant}",
        file=sys.__stdout__,
    )


@behave.then("after any faults the newest coordinator releases the held pass")
def check_release(context):
    source = random.Random(2)
    for _ in range(400):
        world = mapworld.World(faults=4)
        act_at_random(world, source, 60)
        world.settle()
        check_ended(world)


@behave.then("an undisturbed map switch reaches the target on every rank")
def check_switch(context):
    world = mapworld.World(faults=0)
    world.do_poll(0)
    while world.pending:
        world.do_answer()
    world.do_poll(0)
    target = world.switches[0].target_version
    assert target > 0
    while world.pending:
        world.do_answer()
    world.settle()
    assert [rank.map[0] for rank in world.ranks] == [target] * mapworld.RANKS


@behave.then("a switch without orders is polled no more often than during copies")
def check_waits(context):
    # A rank that was lost while a pass was held made the leader poll every 5 ms.
    for ranks in (3, 12, 63):
        for phase in mapswitch.Phase:
            wait_s = mapcoordination._choose_wait(phase, False, ranks)
            assert wait_s >= mapcoordination.PREPARE_INTERVAL_S, (phase, ranks)
        arming_s = mapcoordination._choose_wait(mapswitch.Phase.ARMING, True, ranks)
        assert arming_s < mapcoordination.PREPARE_INTERVAL_S, ranks


@behave.then("a pass that is held while another rank is lost is released at once")
def check_early_release(context):
    world = mapworld.World(faults=1)
    for _ in range(20):
        world.do_poll(0)
        while world.pending:
            world.do_answer()
        if any(rank.held != mapworld.NONE for rank in world.ranks):
            break
    assert world.ranks[0].held != mapworld.NONE and not world.ranks[0].armed
    world.do_poll(0, missing=1)
    assert world.pending, "the group keeps waiting for the lost rank"
    while world.pending:
        world.do_answer()
    assert world.ranks[0].held == mapworld.NONE
    world.settle()
    assert not world.problem

import behave
import hypothesis
from hypothesis import strategies
from support import groups

from lycheegauge.internal.coordination.groups import (
    coordinator,
    effects,
    orders,
    rank,
    refusals,
    views,
)
from lycheegauge.internal.protocol import changes, expertmaps
from lycheegauge.internal.state import epochs

GROUP = groups.GROUP
SEEDS = strategies.integers(0, 2**32)
WALK_LENGTH = 600
EPOCH = coordinator.STEPS_PER_EPOCH


def make_running(ranks=2):
    world = groups.World(ranks)
    world.start_coordinator(0)
    world.settle(0)
    world.propose(0, 0)
    world.settle(0)
    assert world.started
    return world


def make_permit(epoch, version, first, last):
    return expertmaps.StepPermit(GROUP, epoch, version, first, last)


def make_rank_with_epoch(epoch=1):
    core = rank.RankCore(GROUP, 0, "a", loaded=(groups.make_map(1),))
    core.learn_epoch(epoch)
    return core


def offer_steps(core, last, epoch=1, sequence=1, incarnation="a"):
    permits = (make_permit(epoch, 1, 1, last),)
    return core.handle_offer(
        expertmaps.PermitOffer(GROUP, epoch, permits, sequence, incarnation)
    )


# Properties.


@behave.then("groups agree on one map per step with lost, duplicate and late messages")
def check_agreement(context):
    @hypothesis.settings(max_examples=150)
    @hypothesis.given(SEEDS, strategies.integers(2, 4))
    def check(seed, ranks):
        world = groups.World(ranks)
        groups.run_random_walk(world, seed, WALK_LENGTH)
        assert world.find_disagreement() is None
        assert world.find_difference() is None

    check()


@behave.then("groups make progress after faults with a new coordinator")
def check_progress(context):
    @hypothesis.settings(max_examples=60)
    @hypothesis.given(SEEDS, strategies.integers(2, 4))
    @hypothesis.example(
        26, 2
    )  # three pending switches, so the log had dropped a map that was still needed
    def check(seed, ranks):
        world = groups.World(ranks)
        groups.run_random_walk(world, seed, WALK_LENGTH)
        coordinator_number = world.replace_coordinators()
        before = world.coordinators[coordinator_number].current_map
        world.propose(coordinator_number, 1)
        world.settle(coordinator_number)
        wanted = world.coordinators[coordinator_number].current_map
        assert wanted.version == (before.version if before else 0) + 1
        assert world.started[-1].expert_map == wanted
        assert world.find_difference() is None

    check()


@behave.then("group epochs rise and a repeated request gets its first outcome")
def check_epochs(context):
    requests = strategies.tuples(
        strategies.sampled_from("ab"), strategies.sampled_from("xyz")
    )

    @hypothesis.given(strategies.lists(requests, max_size=12))
    def check(sent):
        part = epochs.Epochs()
        first = {}
        for holder, request_id in sent:
            before = part.find_record(GROUP).epoch
            outcome = part.apply(changes.TakeEpoch(GROUP, holder, request_id))
            if request_id not in first:
                first[request_id] = outcome
                assert (outcome.epoch, outcome.holder) == (before + 1, holder)
            elif first[request_id].holder == holder:
                assert outcome == first[request_id]
            else:
                assert outcome.status == changes.ChangeStatus.REQUEST_ID_REUSED
            assert part.find_record(GROUP).epoch >= before

    check()


@behave.then("group maps of older epochs or other versions are refused by the log")
def check_stored_maps(context):
    part = epochs.Epochs()

    def commit(epoch, version, first_step, content=b"m"):
        change = changes.CommitMap(GROUP, epoch, version, content, first_step)
        return part.apply(change).status

    refused, conflict = changes.ChangeStatus.REFUSED, changes.ChangeStatus.CONFLICT
    assert commit(0, 1, 5) == refused
    part.apply(changes.TakeEpoch(GROUP, "a", "1"))
    assert commit(1, 1, 5) == changes.ChangeStatus.ACCEPTED
    assert commit(1, 1, 5) == changes.ChangeStatus.ACCEPTED
    assert commit(1, 1, 5, b"other") == conflict
    assert commit(1, 3, 9) == conflict
    assert commit(1, 2, 5) == conflict
    part.apply(changes.TakeEpoch(GROUP, "b", "2"))
    assert commit(1, 2, 9) == refused
    assert commit(3, 2, 9) == refused
    assert commit(2, 2, 9) == changes.ChangeStatus.ACCEPTED
    assert [kept.version for kept in part.find_record(GROUP).maps] == [1, 2]


@behave.then("group records are the same after dump and load")
def check_dump(context):
    world = make_running()
    copy = epochs.Epochs()
    copy.load(world.log.dump())
    assert copy.find_record(GROUP) == world.log.find_record(GROUP)
    assert copy.find_record(GROUP).maps


# Failures.


@behave.given("a group that runs its first map")
def make_group(context):
    context.world = make_running()
    context.offer = None


@behave.given("a group whose second coordinator has queried all ranks")
def make_deposed(context):
    context.world = make_running()
    context.world.start_coordinator(1)
    while context.world.in_flight:
        context.world.deliver(0)
        context.world.in_flight = [
            entry
            for entry in context.world.in_flight
            if entry[:2] != ("coordinator", 0)  # partitioned: it receives nothing
        ]
    assert context.world.coordinators[1].epoch == 2


@behave.when("the group's first coordinator offers further permits")
def offer_further(context):
    first = context.world.coordinators[0]
    first._last_granted_step = 2**40
    context.before = [fake.core.report_state() for fake in context.world.ranks]
    assert first.phase == coordinator.Phase.GRANTING
    context.world.now += coordinator.REFRESH_INTERVAL_S
    for effect in first.tick(context.world.now):
        if isinstance(effect, effects.Offer):
            fake = context.world.ranks[effect.rank]
            assert not fake.core.handle_offer(effect.offer).accepted


@behave.then("no rank of the group accepts them")
def check_not_taken(context):
    for fake, before in zip(context.world.ranks, context.before, strict=True):
        assert fake.core.report_state() == before
        assert before.permits[-1].last_step < 2**40


@behave.when("a rank of the group restarts and an old offer reaches it")
def restart_with_offer(context):
    fake = context.world.ranks[0]
    fake.restart_agent(engine_too=False)
    context.core = fake.core
    state = offer_steps(fake.core, 2**40, incarnation=fake.core.incarnation)
    assert not state.accepted


@behave.then("the restarted rank starts no step and forwards no order")
def check_restarted(context):
    refusal = context.core.start_step(EPOCH + 1).failure()
    assert isinstance(refusal, refusals.EpochUnknownError)
    queue = orders.OrderQueue(orders.OrderQueueSettings(9, 1.0, 9.0, False), 0.0)
    order = expertmaps.EngineOrder(expertmaps.OrderKind.USE_MAP, GROUP, 1, 0)
    assert isinstance(queue.submit(order).failure(), refusals.EpochUnknownError)
    assert queue.tick(1.0) == ()
    prepare = expertmaps.PrepareMap(GROUP, 1, groups.make_map(2))
    refusal = context.core.handle_prepare(prepare).failure()
    assert isinstance(refusal, refusals.EpochUnknownError)


@behave.when("the group's permits are cut and an earlier offer arrives late")
def cut_then_late(context):
    context.core = make_rank_with_epoch()
    offer_steps(context.core, 10, sequence=5)
    offer_steps(context.core, 1000, sequence=4)


@behave.then("the rank keeps the shorter permits")
def check_shorter(context):
    assert isinstance(context.core.start_step(11).failure(), refusals.NoPermitError)
    assert context.core.start_step(10).unwrap().map_version == 1
    assert context.core.report_state().sequence == 5


@behave.when("a rank restarts, learns the epoch and an earlier offer arrives late")
def learn_then_late(context):
    context.core = make_rank_with_epoch()
    offer_steps(context.core, 1000, incarnation="before")


@behave.then("the restarted rank has no permit")
def check_no_permit(context):
    assert isinstance(context.core.start_step(1).failure(), refusals.NoPermitError)


@behave.given("a group whose rank is loading one map for an old coordinator")
def make_loading(context):
    context.core = make_rank_with_epoch()
    old = expertmaps.PrepareMap(GROUP, 1, groups.make_map(2, shift=1))
    context.old = context.core.handle_prepare(old).unwrap()


@behave.when("a new coordinator requests another map with the same version")
def ask_other_map(context):
    wanted = groups.make_map(2, experts=6, shift=1)
    context.wanted = expertmaps.PrepareMap(GROUP, 2, wanted)
    context.loading = context.core.handle_prepare(context.wanted).unwrap()


@behave.then("only the newer map's load is acknowledged under the newer epoch")
def check_loads(context):
    assert context.core.finish_load(context.old) is None
    assert context.core.report_state().loaded_versions == (1,)
    prepared = context.core.finish_load(context.loading)
    assert (prepared.epoch, prepared.version) == (2, 2)
    # A load that ends after the epoch rose is reported with the requesting epoch.
    late = make_rank_with_epoch()
    loading = late.handle_prepare(
        expertmaps.PrepareMap(GROUP, 1, groups.make_map(2, shift=1))
    ).unwrap()
    late.answer(expertmaps.RankQuestion(GROUP, 2, 1))
    assert late.finish_load(loading).epoch == 1


@behave.given(
    "a group whose ranks used all their permits and one failed one step further"
)
def make_one_further(context):
    world = context.world = make_running()
    world.propose(0, 1)
    while world.coordinators[0].phase != coordinator.Phase.CUTTING:
        for number in range(2):
            world.finish_load(number)
        world.deliver(0)
    # Rank 1 receives the cut; rank 0 does not and keeps its longer permits.
    cut = [entry for entry in world.in_flight if entry[:2] == ("rank", 1)]
    world.in_flight = [entry for entry in world.in_flight if entry[:2] != ("rank", 0)]
    assert cut
    while world.in_flight:
        world.deliver(0)
    while any(world.run_step(number) for number in (1, 0)):
        pass
    context.died_in = world.ranks[0].position
    assert context.died_in == world.ranks[1].position + 1
    world.ranks[0].restart_agent(engine_too=True)


@behave.when("the group switches its map")
def finish_switch(context):
    context.world.settle(0)


@behave.then("the new map begins after that step")
def check_after(context):
    newest = context.world.log.find_record(GROUP).maps[-1]
    assert newest.version == 2
    assert newest.first_step > context.died_in
    assert context.world.find_difference() is None


@behave.when("a rank of the group stalls during a switch")
def stall_rank(context):
    world = context.world
    world.propose(0, 1)
    for _ in range(30):
        world.finish_load(1)
        world.in_flight = [
            entry for entry in world.in_flight if entry[:2] != ("rank", 0)
        ]
        while world.in_flight:
            world.deliver(0)
            world.in_flight = [
                entry for entry in world.in_flight if entry[:2] != ("rank", 0)
            ]
        world.run_step(0)
        world.run_step(1)
        world.tick(0)


@behave.then("the group keeps its first map until the rank has acknowledged")
def check_stalled(context):
    world = context.world
    assert world.log.find_record(GROUP).maps[-1].version == 1
    assert {started.expert_map.version for started in world.started} == {1}
    world.settle(0)
    assert world.started[-1].expert_map.version == 2
    assert world.find_difference() is None


@behave.when("the group's coordinator fails and another queries all ranks")
def replace_coordinator(context):
    world = context.world
    context.before = len(world.started)
    world.start_coordinator(1)
    while world.in_flight:
        world.deliver(0)
        world.run_step(0)
        world.run_step(1)


@behave.then("the ranks continue with the permits they have")
def check_goes_on(context):
    world = context.world
    assert world.coordinators[1].phase == coordinator.Phase.GRANTING
    assert len(world.started) > context.before
    assert world.coordinators[0].phase == coordinator.Phase.DEPOSED


@behave.when("a new coordinator of the group does not receive one answer")
def miss_answer(context):
    world = context.world
    world.start_coordinator(1)
    for _ in range(20):
        world.in_flight = [
            entry for entry in world.in_flight if entry[:2] != ("rank", 0)
        ]
        world.deliver(0)
        if not world.in_flight:
            world.tick(1)


@behave.then("it offers no permit to any rank")
def check_no_offer(context):
    world = context.world
    assert world.coordinators[1].phase == coordinator.Phase.ASKING
    offered = [
        entry
        for entry in world.in_flight
        if isinstance(entry[2], expertmaps.PermitOffer) and entry[2].epoch == 2
    ]
    assert not offered
    assert world.ranks[1].core.report_state().permits[0].epoch == 1


@behave.then(
    "group views accept a rank's acknowledgement only from the cut's sequence number on"
)
def check_cut_sequence(context):
    known = views.RankViews(1)
    core = make_rank_with_epoch()
    known.update(offer_steps(core, 10, sequence=4))
    assert not known.have_acknowledged(5, 10)  # a longer offer may still arrive
    known.update(offer_steps(core, 11, sequence=5))
    assert not known.have_acknowledged(5, 10)
    known.update(offer_steps(core, 10, sequence=6))
    assert known.have_acknowledged(5, 10)


@behave.when(
    "the group's second switch is being committed and the first's outcome is repeated"
)
def repeat_outcome(context):
    world = context.world
    world.propose(0, 1)
    while world.coordinators[0].phase != coordinator.Phase.COMMITTING:
        for number in range(2):
            world.finish_load(number)
        world.deliver(0)
    repeated = changes.MapOutcome(changes.ChangeStatus.ACCEPTED, 1)
    assert world.coordinators[0].handle_map_outcome(repeated, world.now) == ()


@behave.then("the group's coordinator waits for the outcome of the second switch")
def check_waits(context):
    made = context.world.coordinators[0]
    assert made.phase == coordinator.Phase.COMMITTING
    assert made.current_map.version == 1
    context.world.settle(0)
    assert made.current_map.version == 2

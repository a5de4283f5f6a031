import dataclasses
import itertools
import json
import random

import behave
import hypothesis
from hypothesis import strategies
from returns import pipeline
from support import configurations as support

from lycheegauge import errors
from lycheegauge.internal.coordination import deltas, followers, planning
from lycheegauge.internal.protocol import (
    changes,
    codec,
    freshness,
    intentmodels,
    intents,
)
from lycheegauge.internal.state import configurations, machine

ACCEPTED = changes.ChangeStatus.ACCEPTED
CONFIRMATIONS = strategies.lists(
    strategies.builds(
        lambda request, base, label, refusals: dataclasses.replace(
            support.make_confirmation(request, base, support.make_intent(label)),
            refusals=refusals,
        ),
        strategies.sampled_from(["r0", "r1", "r2", "r3"]),
        strategies.integers(0, 4),
        strategies.integers(0, 2),
        strategies.sampled_from([(), (), (), ("it would violate a guarantee",)]),
    ),
    max_size=40,
)
FIRST = support.make_confirmation("r0", 0, support.make_intent(0))
REUSED = support.make_confirmation("r0", 1, support.make_intent(0))


def apply_packed(replica, change):
    outcome = codec.unpack(replica.apply(codec.pack(change)))
    return outcome.status, outcome.revision


@behave.then(
    "operators' confirmations in any order have the outcomes of a reference model"
)
def check_against_reference(context):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(CONFIRMATIONS)
    @hypothesis.example([FIRST, FIRST])
    @hypothesis.example([FIRST, REUSED])
    def check(confirmations):
        replica, reference = machine.StateMachine(), support.ReferenceConfigurations()
        for change in confirmations:
            assert apply_packed(replica, change) == reference.apply(change)
            current = replica.parts["configurations"].current
            assert current.revision == len(reference.history) - 1
            assert current.intent == reference.history[-1]

    check()


@behave.then("configurations restored from a snapshot continue without a difference")
def check_restored(context):
    @hypothesis.given(CONFIRMATIONS, strategies.integers(0, 40))
    @hypothesis.example([FIRST, FIRST], 1)
    def check(confirmations, cut):
        original, restored = machine.StateMachine(), machine.StateMachine()
        for change in confirmations[:cut]:
            original.apply(codec.pack(change))
        restored.restore(original.take_snapshot())
        for change in confirmations[cut:]:
            assert original.apply(codec.pack(change)) == restored.apply(
                codec.pack(change)
            )
        assert original.take_snapshot() == restored.take_snapshot()

    check()


@behave.when("an accepted confirmation is followed by {count:d} conflicting ones")
def flood_with_conflicts(context, count):
    context.part = configurations.Configurations()
    context.first = context.part.apply(FIRST)
    for i in range(count):
        conflict = support.make_confirmation(f"other-{i}", 0, support.make_intent(1))
        assert context.part.apply(conflict).status is changes.ChangeStatus.CONFLICT


@behave.then("a resend of the accepted confirmation gets its first outcome")
def check_resend(context):
    assert context.first.status is ACCEPTED
    assert context.part.apply(FIRST) == context.first


@behave.then(
    "operators planning and confirming through lagging entry hosts keep one history"
)
def check_race(context):
    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        strategies.randoms(use_true_random=True), strategies.integers(2, 4)
    )
    def check(generator, operators):
        run_race(generator, operators)

    check()
    run_race(random.Random(4), 4)


def run_race(generator, operators):
    """Runs operators that plan at a lagging host, confirm and resend elsewhere."""
    part = configurations.Configurations()
    history = [part.current]
    in_flight, outcomes = [], {}
    for step in range(30):
        if generator.random() < 0.5 or not in_flight:
            # All operators use the same numbering, so their intents collide.
            seen = generator.choice(history[-2:])
            intent = support.make_intent(step // operators)
            plan = planning.make_plan(seen, intent, support.make_fleet())
            request = f"operator-{step % operators} change {step // operators}"
            change = support.make_confirmation(request, plan.base_revision, intent)
            in_flight += [change] * generator.randint(1, 3)
        else:
            change = in_flight.pop(generator.randrange(len(in_flight)))
            host_view = generator.choice(history[-2:])
            sent = planning.make_confirmation(change, host_view, support.make_fleet())
            if not pipeline.is_successful(sent):
                assert change.base_revision > host_view.revision
                continue
            assert change.base_revision <= host_view.revision
            before = part.current.revision
            outcome = part.apply(sent.unwrap())
            # An accepted change is replaced only by one planned on top of it.
            assert part.current.revision == before or change.base_revision == before
            if outcome.status is not changes.ChangeStatus.REQUEST_ID_REUSED:
                assert outcomes.setdefault(change.request_id, outcome) == outcome
            if part.current != history[-1]:
                history.append(part.current)
    accepted = [item.revision for item in outcomes.values() if item.status is ACCEPTED]
    assert sorted(accepted) == list(range(1, part.current.revision + 1))
    assert [item.revision for item in history] == list(range(len(history)))


@behave.given("backend servers of a fleet in three availability zones")
def make_fleet(context):
    context.fleet = support.make_fleet()
    context.current = intents.Configuration(7, support.make_intent(59))


@behave.when("an operator plans to take {zone} out")
def plan_zone_out(context, zone):
    intent = support.make_intent(59, (zone,))
    context.plan = planning.make_plan(context.current, intent, context.fleet)


@behave.then("the plan warns that {warning}")
def check_warning(context, warning):
    assert context.plan.warnings == (warning,), context.plan.warnings
    assert context.plan.refusals == ()


@behave.then("the plan lists the effects and capacity of taking {zone} out")
def check_effects(context, zone):
    (effect,) = context.plan.effects
    assert effect.subject == f"availability zone {zone}"
    assert "4 backend servers get no new work" in effect.description
    assert context.plan.capacity_left == (intents.CapacityLeft("chat", 64, 59, 8),)
    assert context.plan.base_revision == 7


CHAT = intents.Service("chat", intents.ServiceKind.MODEL)
GROUP = intents.ModelGroup("g", "chat", 8, 2, 64, 10)
IN_USE = intents.Intent((CHAT,), (GROUP,))
HARMFUL = [
    (dict(availability_zones_out=support.ZONES), "without a backend server"),
    (
        dict(
            availability_zones_out=support.ZONES[:2],
            backend_servers_out=tuple(f"pl-central-c-{i}" for i in range(4)),
        ),
        "without a backend server",
    ),
    (dict(availability_zones_out=("pl-centrall-b",)), "known are: pl-central-a, "),
    (dict(model_groups=(dataclasses.replace(GROUP, ranks=16),)), "in place"),
    (dict(model_groups=(dataclasses.replace(GROUP, replica_slots=9),)), "fewer"),
    (dict(model_groups=(dataclasses.replace(GROUP, service="x"),)), "no model service"),
    (
        dict(services=(dataclasses.replace(CHAT, kind=intents.ServiceKind.PLAIN),)),
        "can't change its kind",
    ),
]


@behave.then("each harmful intent is refused by its plan with the reason")
def check_harmful(context):
    current = intents.Configuration(3, IN_USE)
    for changed, reason in HARMFUL:
        intent = dataclasses.replace(IN_USE, **changed)
        plan = planning.make_plan(current, intent, support.make_fleet())
        assert any(reason in refusal for refusal in plan.refusals), (reason, plan)
    assert planning.make_plan(current, IN_USE, support.make_fleet()).refusals == ()


@behave.then("a confirmation with a refusal is refused by the log")
def check_refused(context):
    part = configurations.Configurations()
    part.apply(support.make_confirmation("first", 0, IN_USE))
    intent = dataclasses.replace(IN_USE, availability_zones_out=support.ZONES)
    change = support.make_confirmation("second", 1, intent)
    sent = planning.make_confirmation(change, part.current, support.make_fleet())
    outcome = part.apply(sent.unwrap())
    assert outcome.status is changes.ChangeStatus.REFUSED
    assert "without a backend server" in outcome.reason
    # A resend after the servers are gone, when nothing would be refused any more.
    later = planning.make_confirmation(change, part.current, [])
    assert part.apply(later.unwrap()) == outcome


@behave.then("arbitrary text is parsed as an intent or a border error")
def check_arbitrary_text(context):
    keys = strategies.sampled_from(["services", "name", "kind", "weight", "ranks"])
    values = strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.floats()
        | strategies.integers() | strategies.text(max_size=5) | keys,
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(keys | strategies.text(max_size=5), inner),
        max_leaves=8,
    )  # fmt: skip

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.text(max_size=60) | values.map(json.dumps))
    @hypothesis.example("[" * 100_000)
    @hypothesis.example('{"organisations": [{"name": "a", "weight": NaN}]}')
    @hypothesis.example('{"services": [], "services": []}')
    @hypothesis.example('"\\ud800"')
    @hypothesis.example('{"\\ud800": 1}')
    def check(text):
        read = intentmodels.parse_intent(text)
        if pipeline.is_successful(read):
            assert isinstance(read.unwrap(), intents.Intent)
        else:
            assert isinstance(read.failure(), errors.BorderError)
            str(read.failure()).encode()

    check()


NAMES = strategies.sampled_from(["a", "b", "c"]) | strategies.from_regex(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,9}", fullmatch=True
)
COUNTS = strategies.integers(1, 1000)


def list_named(strategy):
    return strategies.lists(
        strategy, max_size=3, unique_by=lambda item: getattr(item, "name", item)
    ).map(tuple)


INTENTS = strategies.builds(
    intents.Intent,
    list_named(strategies.builds(intents.Service, NAMES, needed_capacity=COUNTS)),
    list_named(strategies.builds(intents.ModelGroup, NAMES, NAMES, *[COUNTS] * 4)),
    list_named(
        strategies.builds(
            intents.Organisation, NAMES, strategies.floats(0.1, 9), COUNTS, COUNTS
        )
    ),
    list_named(NAMES),
    list_named(NAMES),
)


@behave.then("every valid intent round-trips through JSON with comments")
def check_valid_intents(context):
    @hypothesis.given(INTENTS)
    def check(intent):
        text = json.dumps(dataclasses.asdict(intent), indent=1)
        assert intentmodels.parse_intent(text).unwrap() == intent
        commented = "// by the night shift\n" + text.replace("\n", " /* */\n")
        assert intentmodels.parse_intent(commented).unwrap() == intent

    check()


MALFORMED = [
    ('{"zones_out": []}', "zones_out: unknown key; allowed are services, model_groups"),
    (
        '{"services": [{"name": "a", "kind": "model", "capacity": 3}]}',
        "services.0.capacity: unknown key; allowed are name, kind, needed_capacity",
    ),
    ('{"services": [{"name": "a", "kind": "chat"}]}', "'model' or 'plain'"),
    ('{"services": [{"name": "a b", "kind": "model"}]}', "services.0.name: "),
    ('{"organisations": [{"name": "a", "weight": 0}]}', "greater than 0"),
    ('{"organisations": [{"name": "a"}, {"name": "a"}]}', "a stands twice"),
    ('{"services": [], "services": []}', "stands twice"),
    ('// twice\n{"services": [], "services": []}', 'Duplicate key "services"'),
    ("[]", "must be an object with the keys services"),
    ("// only a comment", "no JSON with comments"),
    (f"// {'x' * 40_000}", "without comments"),
]


@behave.then("each malformed intent is refused with its key and the allowed values")
def check_malformed(context):
    for text, reason in MALFORMED:
        message = intentmodels.parse_intent(text).failure().message
        assert reason in message, (text, message)


WHOLE_NUMBER_AS_FLOAT = intents.Intent(organisations=(intents.Organisation("a", 2),))


@behave.then("deltas between random configurations give the full configuration")
def check_deltas(context):
    @hypothesis.given(
        strategies.lists(INTENTS, min_size=2, max_size=5), strategies.integers(0, 3)
    )
    @hypothesis.example([IN_USE, WHOLE_NUMBER_AS_FLOAT], 0)
    def check(wanted, behind):
        log = deltas.DeltaLog()
        history = [intents.Configuration(i, it) for i, it in enumerate(wanted)]
        for before, after in itertools.pairwise(history):
            log.add(before, after)
            assert log.find(0).revision == after.revision
        start = history[min(behind, len(history) - 2)]
        full, delta = followers.choose_configuration_update(
            start.revision, history[-1], log
        )
        assert full is None
        received = codec.unpack(codec.pack(delta))
        reached = deltas.apply_delta(deltas.digest_configuration(start), received)
        assert reached == deltas.digest_configuration(reached.configuration)
        for field in dataclasses.fields(intents.Intent):
            expected = sorted(getattr(wanted[-1], field.name), key=str)
            assert (
                sorted(getattr(reached.configuration.intent, field.name), key=str)
                == expected
            )

    check()


@behave.then(
    "a delta with a wrong digest makes its receiver request the full configuration"
)
def check_wrong_digest(context):
    host = freshness.EntryHost("entry", "", "", "", "", "1")
    entry, log = followers.EntryFollower(host), deltas.DeltaLog()
    target = intents.Configuration(1, dataclasses.replace(IN_USE, services=()))
    # The replica's revision 0 had a service that the entry host never saw.
    log.add(intents.Configuration(0, IN_USE), target)
    wrong = dataclasses.replace(log.find(0), digest="0")
    update = freshness.DirectoryUpdate(0, True)
    for delta, revision, requested_revision in (
        (wrong, 0, deltas.REQUEST_FULL_CONFIGURATION),
        (None, 1, 1),
    ):
        pull = entry.begin_pull("log", 1.0)
        full, _ = followers.choose_configuration_update(
            pull.message.revision, target, log
        )
        reply = freshness.EntryPullReply(
            freshness.Proof(1, 0.0, 0.0), None if delta else full, "s", update,
            configuration_delta=delta,
        )  # fmt: skip
        assert entry.apply_reply(pull, reply, 1.0) is (delta is None)
        assert entry.configuration.revision == revision
        assert entry.begin_pull("log", 1.1).message.revision == requested_revision
        assert entry.lease.allows_start(1.2) is (delta is None)

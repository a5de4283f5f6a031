import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
from support import limits as support

from lycheegauge.internal.coordination import limits, limitshares
from lycheegauge.internal.protocol import intents

HOLDERS = strategies.integers(0, 8)
STEP = strategies.one_of(
    strategies.tuples(strategies.just("arrive"), HOLDERS),
    strategies.tuples(strategies.just("end"), HOLDERS),
    strategies.tuples(strategies.just("ask"), HOLDERS),
    strategies.tuples(strategies.just("deliver"), strategies.integers(0, 50)),
    strategies.tuples(strategies.just("repeat"), strategies.integers(0, 50)),
    strategies.tuples(strategies.just("lose"), strategies.integers(0, 50)),
    strategies.tuples(
        strategies.just("wait"), strategies.sampled_from([0.1, 1.1, 4.0, 6.0, 11.0])
    ),
)
RESTART = strategies.tuples(strategies.just("restart"), strategies.integers(0, 2))
MOVE = strategies.tuples(strategies.just("move"), strategies.integers(1, 3))
HOSTS = ("home-0", "home-1", "home-2")


def apply_step(network, kind, value):
    if kind in ("arrive", "end", "ask"):
        getattr(network, kind)(value)
    elif kind == "deliver":
        network.deliver(value)
    elif kind == "repeat":
        network.deliver(value, keep=True)
    elif kind == "lose" and network.messages:
        del network.messages[value % len(network.messages)]
    elif kind == "wait":
        network.now += value
    elif kind == "restart" and value < len(network.hosts):
        network.start_granter(network.hosts[value])
    elif kind == "move":
        network.set_hosts(HOSTS[:value])


def check_shares(network):
    rate, concurrency = network.get_shares()
    assert rate <= support.LIMITED.rate_limit + 1e-6
    assert concurrency <= support.LIMITED.concurrency_limit


def draw_steps(seed, kinds, count):
    """Generates a long history; Hypothesis' lists are too short for lease expiry."""
    source = random.Random(seed)
    for _ in range(count):
        kind = source.choice(kinds)
        if kind in ("arrive", "end", "ask"):
            yield kind, source.randrange(9)
        elif kind == "wait":
            yield kind, source.choice([0.0, 0.1, 0.1, 1.1, 6.0])
        elif kind == "move":
            yield kind, source.randrange(1, 4)
        else:
            yield kind, source.randrange(50)


COMMON = ["arrive"] * 4 + ["end"] * 2 + ["ask"] * 4 + ["deliver"] * 8 + ["wait"] * 2


@behave.then("the shares of nine holders never exceed the limit")
def check_sums(context):
    @hypothesis.given(strategies.lists(STEP, max_size=60))
    def check_short(steps):
        network = support.Network()
        for kind, value in steps:
            apply_step(network, kind, value)
            check_shares(network)

    @hypothesis.given(strategies.integers())
    def check_long(seed):
        network = support.Network()
        for kind, value in draw_steps(seed, [*COMMON, "lose", *["repeat"] * 8], 400):
            apply_step(network, kind, value)
            check_shares(network)

    check_short()
    check_long()


@behave.then("an outdated limit grant changes nothing")
def check_outdated(context):
    network = support.Network()
    outdated = []
    for step in range(150):
        network.now += 0.05
        # The demand moves from holder 0 to holder 1 after two seconds.
        busy = 0 if step < 40 else 1
        network.arrive(busy)
        network.end(busy)
        for index in (0, 1):
            network.ask(index)
            while network.messages:
                home, _, message = network.messages[0]
                if home is None and index == 0:
                    outdated.append(message)
                network.deliver(0)
    assert network.holders[1].get_shares("org", network.now)[0] > 10.0
    for grant in outdated[:-1]:
        network.holders[0].apply_grant(grant, network.now)
        check_shares(network)


@behave.then(
    "the shares never exceed the limit when granters restart and home hosts change"
)
def check_moves(context):
    @hypothesis.given(strategies.integers())
    def check(seed):
        network = support.Network(hosts=HOSTS)
        kinds = [*COMMON * 3, "lose", "repeat", "restart", "move"]
        for kind, value in draw_steps(seed, kinds, 600):
            apply_step(network, kind, value)
            check_shares(network)

    check()


@behave.then("the admitted requests of nine holders stay within both limits")
def check_admitted(context):
    @hypothesis.settings(max_examples=20)
    @hypothesis.given(strategies.integers())
    def check(seed):
        admit_for(30.0, support.LIMITED, seed)

    check()
    network = support.Network()
    for index in [0] * 200 + [1] * 200:
        # No request ends, so a share that is reduced stays in use.
        network.now += 0.1
        network.arrive(index)
        network.exchange(0)
        network.exchange(1)
        assert sum(network.running) <= support.LIMITED.concurrency_limit


@behave.then("nine holders admit at least nine tenths of a demand of half the limit")
def check_usable(context):
    organisation = dataclasses.replace(
        support.LIMITED, rate_limit=40.0, concurrency_limit=36
    )
    shares = [admit_for(30.0, organisation, seed) for seed in range(5)]
    tight = [admit_for(30.0, support.LIMITED, seed) for seed in range(5)]
    print(f"figure: limits: admitted of a demand of half the limit: {shares}")
    print(f"figure: limits: admitted of a demand of the whole limit: {tight}")
    assert sum(shares) / len(shares) >= 0.9


def admit_for(duration_s, organisation, seed):
    """Offers 20 requests per second of 0.25 s each; returns the admitted fraction."""
    network = support.Network(organisations=(organisation,))
    source = random.Random(seed)
    began_at = network.now
    offered = int(duration_s / 0.05)
    for _ in range(offered):
        network.now += 0.05
        network.arrive(source.randrange(9))
        for index in range(9):
            if source.random() < 0.2:
                network.end(index)
            if source.random() < 0.1:
                network.exchange(index)
        assert sum(network.running) <= organisation.concurrency_limit
        elapsed = network.now - began_at + limits.BURST_S
        # Each holder may have accumulated a token for one request.
        assert network.admitted <= organisation.rate_limit * elapsed + 9
    return round(network.admitted / offered, 3)


@behave.then("the shares into which a limit is divided add up to it")
def check_division(context):
    @hypothesis.given(
        strategies.integers(0, 30),
        strategies.lists(strategies.integers(0, 9), min_size=1, max_size=12),
        strategies.integers(0, 99),
    )
    @hypothesis.example(2, [1] * 9, 0)
    def check(limit, demands, turn):
        asked = {f"entry-{number}": item for number, item in enumerate(demands)}
        whole = [
            limitshares.compute_integer_share(limit, asked, name, turn)
            for name in sorted(asked)
        ]
        rates = [
            limitshares.compute_share(
                limit, item, sum(demands) - item, len(demands) - 1
            )
            for item in demands
        ]
        for parts in (whole, rates):
            assert sum(parts) <= max(limit, 0) + 1e-6
            if sum(demands) >= limit:
                assert sum(parts) >= min(limit, sum(demands)) - 1e-6
            else:
                pairs = zip(parts, demands, strict=True)
                assert all(part >= item for part, item in pairs)

    check()


@behave.then("most of the limit moves to the holder with the demand")
def check_follow(context):
    network = support.Network()
    for busy in (0, 5):
        for _ in range(400):
            network.now += 0.05
            network.arrive(busy)
            network.end(busy)
            for index in range(9):
                network.exchange(index)
        rate, _ = network.holders[busy].get_shares("org", network.now)
        assert rate > support.LIMITED.rate_limit / 2
        others = [network.holders[i] for i in range(9) if i != busy]
        assert all(o.get_shares("org", network.now) == (0.0, 0) for o in others)


@behave.then("six thousand three hundred idle organisations leave no state behind")
def check_idle(context):
    names = [f"org-{number}" for number in range(6300)]
    organisations = [intents.Organisation(name, 1.0, 5.0, 2) for name in names]
    network = support.Network(1, organisations)
    for name in names:
        network.arrive(0, name)
    network.exchange(0)
    granter = network.granters["home-0"]
    assert granter.count_organisations() == 6300
    for name in names:
        network.end(0, name)
    for _ in range(60):
        network.now += 1.0
        network.exchange(0)
    sent = network.sent
    network.now += 60.0
    network.exchange(0)
    assert network.sent == sent
    assert not network.holders[0].count_organisations()
    for _ in range(6300 // limitshares.SWEEP_BATCH_SIZE + 1):
        network.now += limits.RENEW_AFTER_S + 1.0
        network.arrive(0, names[0])
        network.exchange(0)
    assert granter.count_organisations() == 1


@behave.then(
    "a share whose lease ended is not renewed by a late request to a restarted granter"
)
def check_late_request(context):
    network = support.Network(2)

    def ask(index):
        network.arrive(index)
        network.ask(index)
        return network.messages.pop()

    def deliver(message):
        network.messages.append(message)
        network.deliver(len(network.messages) - 1)
        while network.messages:
            network.deliver(0)

    deliver(ask(0))
    for _ in range(40):
        network.now += 0.2
        network.arrive(0)
        network.end(0)
        network.exchange(0)
    assert network.holders[0].get_shares("org", network.now)[0] > 0
    late = None
    # All renewals are lost but the last one, which is under way while the lease ends.
    for _ in range(7):
        network.now += 1.2
        network.arrive(0)
        network.end(0)
        network.ask(0)
        late = network.messages.pop() if network.messages else late
        network.messages.clear()
    network.now += 1.4
    for _ in range(5):
        for _ in range(10):
            network.arrive(1)
            network.end(1)
        network.exchange(1)
        network.now += 0.6
    network.start_granter("home-0")
    deliver(late)
    check_shares(network)
    assert network.holders[1].get_shares("org", network.now)[0] > 0
    rate, _ = network.holders[0].get_shares("org", network.now)
    assert rate == 0.0, "the share was renewed although it was given away"

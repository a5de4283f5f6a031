import collections
import random
import sys
import time

import behave
from support import explorer
from support import hostshares as support

from lycheegauge.internal.coordination import coldratelimit, repeatbudget, sharegrants
from lycheegauge.internal.protocol import roster

MAX_STATES = 100_000
RULES = {
    "if a new leader does not wait for the former leases": support.Rules(
        waits_for_leases=False
    ),
    "if a lease is counted from the receipt of its grant": support.Rules(
        counts_from_demand=False
    ),
    "if grants are forgotten before they are replaced": support.Rules(
        counts_unacknowledged=False
    ),
    "if what an uninformed host holds is renewed": support.Rules(
        renews_informed_only=False
    ),
    "if grants do not state the age of their proof": support.Rules(
        states_proof_age=False
    ),
}
RATIO, SLACK, WINDOW_S = 0.2, 94.0, 10.0
COLD_RATE, COLD_RATE_MAX = 38.0, 38.0 * 1.5 + 5.0
PULL_INTERVAL_S = 0.3


def print_figure(text):
    print(f"figure: {text}", file=sys.__stdout__, flush=True)


@behave.then("the fractions add up to at most one in all reachable states")
def check_all_states(context):
    for ticks, faults in ((2, 1), (1, 2)):
        world = support.World(ticks=ticks, faults=faults, loses_messages=False)
        world.settle(busy_requests=100)
        found = explorer.search(world, MAX_STATES)
        print_figure(f"states explored {found.states} (host shares)")
        assert not found.problem, (found.problem, found.trace)
        assert found.complete, "the search reached the limit on states"


@behave.then(
    "in random walks with lost and late messages, restarts and changes of the leader"
)
def check_walks(context):
    def build():
        return support.World(hosts=4, asks=60, ticks=30, faults=12)

    walked = explorer.walk(build, random.Random(1), walks=1500, max_steps=200)
    assert not walked.problem, (walked.problem, walked.trace)


@behave.then("a search finds more than one whole limit in use {broken}")
def check_refuted(context, broken):
    def build():
        return support.World(hosts=3, asks=60, ticks=30, faults=12, rules=RULES[broken])

    walked = explorer.walk(build, random.Random(1), walks=5000, max_steps=200)
    assert walked.problem, "the rule is not needed"
    print_figure(f"refuted in {len(walked.trace)} steps {broken}")


@behave.then("after any faults the fractions add up to one again within two leases")
def check_not_wasted(context):
    source = random.Random(2)
    for _ in range(200):
        world = support.World(hosts=4, asks=60, ticks=30, faults=12)
        for _ in range(source.randrange(150)):
            world.act(explorer.choose_action(world.list_actions(), source))
        world.be_calm(2 * (support.LEASE_S + sharegrants.CLOCK_MARGIN_S))
        granted = 1.0 - sharegrants.NEW_HOSTS_FRACTION
        assert world.sum_fractions() > granted - 1e-6, world.sum_fractions()


@behave.then("the fractions follow the demand and leave every host some")
def check_demand(context):
    world = support.World(hosts=9)
    for busy in (0, 5):
        for _ in range(400):
            world.pass_time(0.05)
            world.hosts[busy].holder.note_request(world.now)
            world.exchange()
        fractions = [host.holder.get_fraction(world.now) for host in world.hosts]
        assert fractions[busy] > 3 / 9, fractions
        assert min(fractions) > 0.9 * sharegrants.EQUAL_FRACTION / 9, fractions


@behave.then(
    "a host that starts beside others gets its part at once, for the whole window"
)
def check_new_host(context):
    world = support.World(hosts=9)
    world.be_calm(3 * support.WINDOW_S)
    world.restart(0)
    world.exchange()
    holder = world.hosts[0].holder
    assert holder.get_lowest_fraction(0.0, world.now) > 0.5 / 9
    for _ in range(40):
        world.pass_time(0.1)
        world.exchange()
        world.check_rest()
        assert not world.problem, world.problem
        assert holder.get_lowest_fraction(0.0, world.now) > 0.5 / 9


class FailingFleet(support.World):
    """Hosts whose requests all fail; they restart, join and are cut off at random."""

    def __init__(self, seed, hosts=9):
        window_s = WINDOW_S + repeatbudget.TRANSIT_S
        super().__init__(hosts, asks=10**9, ticks=0, faults=10**9, window_s=window_s)
        self.source = random.Random(seed)
        self.requests, self.retries = [], []
        self.pulled_at = self.now
        self.changes = collections.Counter()

    def run(self, duration_s, per_s, change_probability):
        until = self.now + duration_s
        while self.now < until:
            self.now += self.source.expovariate(per_s)
            if self.now - self.pulled_at > PULL_INTERVAL_S:
                self.pulled_at = self.now
                self.pull()
                self.check_rest()
                assert not self.problem, self.problem
                self.pass_time(0.0)
                if self.source.random() < change_probability:
                    self.change()
            self.fail_request()

    def pull(self):
        for n, host in enumerate(self.hosts):
            if host.budget is None:
                host.use_budget(RATIO, SLACK, WINDOW_S)
            if not host.is_cut_off:
                self.ask(n)
        self.source.shuffle(self.messages)
        while self.messages:
            if self.source.random() < 0.1:
                self.lose(0)
            else:
                self.deliver(0)

    def change(self):
        kind = self.source.choice(("restart", "herd", "join", "leader", "cut"))
        self.changes[kind] += 1
        if kind == "restart":
            self.restart(self.source.randrange(len(self.hosts)))
        elif kind == "herd":
            for n in range(len(self.hosts)):
                if self.source.random() < 0.6:
                    self.restart(n)
        elif kind == "join" and len(self.hosts) < 12:
            self.join(0)
        elif kind == "leader":
            self.replace_leader(0)
        elif kind == "cut":
            host = self.source.choice(self.hosts)
            host.is_cut_off = not host.is_cut_off

    def fail_request(self):
        host = self.source.choice(self.hosts)
        self.requests.append(self.now)
        if host.budget is None:
            return
        host.holder.note_request(self.now)
        host.budget.note_request(self.now)
        for _ in range(4):
            if host.budget.spend(self.now):
                self.retries.append(self.now)

    def check_windows(self):
        for start in self.retries:
            inside = count_between(self.retries, start, start + WINDOW_S)
            requests = count_between(self.requests, start, start + WINDOW_S)
            assert inside <= RATIO * requests + SLACK, (start, inside, requests)


def count_between(times, start, end):
    return sum(start <= at < end for at in times)


@behave.then(
    "no window has more retries than the budget while hosts restart, join and are"
    " cut off"
)
def check_budget(context):
    changes = collections.Counter()
    for seed in range(12):
        fleet = FailingFleet(seed)
        fleet.be_calm(10.0)
        fleet.run(40.0, per_s=40.0, change_probability=0.1)
        fleet.check_windows()
        changes += fleet.changes
    assert min(changes.values()) > 10 and len(changes) == 5, changes


@behave.then("a restarted host does not retry with the slack of the process before it")
def check_restart(context):
    fleet = FailingFleet(seed=3)
    fleet.run(20.0, per_s=40.0, change_probability=0.0)
    used = len(fleet.retries)
    for n in range(len(fleet.hosts)):
        fleet.restart(n)
    fleet.run(5.0, per_s=40.0, change_probability=0.0)
    # The requests of these five seconds earn a part, and some is kept for new hosts.
    kept = sharegrants.NEW_HOSTS_FRACTION * SLACK
    assert len(fleet.retries) - used <= RATIO * 5.0 * 40.0 * 1.3 + kept


@behave.then("at least half of the budget is used while all requests fail")
def check_used(context):
    fleet = FailingFleet(seed=4)
    fleet.run(20.0, per_s=40.0, change_probability=0.0)
    began_at = fleet.now
    fleet.run(60.0, per_s=40.0, change_probability=0.0)
    retries = count_between(fleet.retries, began_at, fleet.now)
    allowed = RATIO * count_between(fleet.requests, began_at, fleet.now) + 6 * SLACK
    print_figure(f"retry budget used while all requests fail: {retries / allowed:.2f}")
    assert retries >= allowed / 2


@behave.then(
    "no second has more requests than a cold server can take while hosts change"
)
def check_cold(context):
    for seed in range(8):
        fleet = FailingFleet(seed)
        limiters = collections.defaultdict(coldratelimit.ColdRateLimiter)
        taken = []

        def send(fleet=fleet, limiters=limiters, taken=taken):
            host = fleet.source.choice(fleet.hosts)
            limiter = limiters[host.incarnation]
            fraction = host.holder.get_fraction(fleet.now)
            if limiter.may_take("cold", COLD_RATE, fraction, fleet.now):
                limiter.take("cold")
                taken.append(fleet.now)

        fleet.fail_request = send
        fleet.run(15.0, per_s=1500.0, change_probability=0.2)
        for start in taken:
            assert count_between(taken, start, start + 1.0) <= COLD_RATE_MAX
        assert len(taken) > 15.0 * COLD_RATE / 2, len(taken)


def measure_grant(hosts, rounds):
    """Returns the processor time of one grant while all hosts pull in turn."""
    granter = sharegrants.ShareGranter(2.5, 0.0, is_first=True)
    shares = [None] * hosts
    began_at = 0.0
    for number in range(rounds):
        if number == 2:
            began_at = time.process_time()
        for host in range(hosts):
            now = 1.0 + PULL_INTERVAL_S * (number + host / hosts)
            held = shares[host]
            demand = roster.HostDemand(
                number + 1, 5.0, number if held else 0,
                held.fraction if held else 0.0, WINDOW_S,
            )  # fmt: skip
            shares[host] = granter.grant(f"host-{host}", demand, True, 0.0, now)
    return (time.process_time() - began_at) / (rounds - 2) / hosts


@behave.then(
    "{many:d} hosts cost less than {factor:d} times as much for each grant as {few:d} "
    "hosts"
)
def check_grant_cost(context, many, factor, few):
    costs = {hosts: measure_grant(hosts, 12) for hosts in (few, many)}
    print_figure(
        "a grant costs "
        + ", ".join(f"{1e6 * cost:.0f} us with {n} hosts" for n, cost in costs.items())
    )
    assert costs[many] < factor * costs[few], costs

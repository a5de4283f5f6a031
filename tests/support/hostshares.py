"""Simulates entry hosts and leaders that divide the limits of all hosts.

Demands and grants can be lost, delayed and delivered in any order. Hosts restart, join
and stay away, and a leader that was replaced answers for as long as a proof from before
its replacement counts.
"""

import dataclasses
import math

from lycheegauge.internal.coordination import (
    hostshares,
    leases,
    repeatbudget,
    sharegrants,
)

LEASE_S = 1.0
WINDOW_S = 2.1
TICK_S = 0.7
TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True)
class Rules:
    """Which of the rules that keep the sum within one are followed."""

    waits_for_leases: bool = True
    counts_from_demand: bool = True
    counts_unacknowledged: bool = True
    states_proof_age: bool = True
    renews_informed_only: bool = True


class Host:
    def __init__(self, name, number, window_s):
        self.name = name
        self.incarnation = f"{name}/{number}"
        self.holder = hostshares.HostShareHolder(window_s)
        self.died_at = math.inf
        self.known_leader = 0
        self.budget = None
        self.is_cut_off = False

    def get_fraction_at(self, at):
        """Returns what counts as held at an earlier time; nothing after its end."""
        if at >= min(self.died_at, self.holder._ends_at):
            return 0.0
        periods = [item for item in self.holder._periods if item.starts_at <= at]
        return periods[-1].fraction if periods else 0.0

    def use_budget(self, ratio, slack, window_s):
        self.budget = repeatbudget.RepeatBudget(ratio, slack, window_s, self.holder)


class World:
    """Every interleaving of a few hosts, leaders and messages; see ``explorer``.

    Args:
        hosts: The number of entry hosts at the start.
        asks: The most demands sent.
        ticks: How often the clock advances.
        faults: The most restarts, joins and changes of the leader together.
        rules: The rules that the leaders and hosts follow.
        loses_messages: Whether messages are lost. In a search over all states one that
            is never delivered is the same.
    """

    def __init__(
        self, hosts=2, asks=2, ticks=2, faults=1, rules=None, loses_messages=True,
        window_s=WINDOW_S,
    ):  # fmt: skip
        self.window_s = window_s
        self.rules = rules or Rules()
        self.loses_messages = loses_messages
        self.now = 100.0
        self.asks, self.ticks, self.faults = asks, ticks, faults
        self.number = 0
        self.hosts = [Host(f"h{n}", 0, window_s) for n in range(hosts)]
        self.dead = []
        self.times = [self.now]
        self.leader = self.make_leader(self.now - 100.0, is_first=True)
        self.term = 1
        self.former = None
        self.replaced_at = 0.0
        self.messages = []
        self.problem = ""
        self.steps, self.waiting, self.told = (), (), {}

    def make_leader(self, started_at, is_first=False):
        if not self.rules.waits_for_leases:
            started_at -= 100.0
        return sharegrants.ShareGranter(LEASE_S, started_at, is_first)

    def list_actions(self):
        actions = []
        if self.asks:
            actions += [("step", ("ask", n)) for n in range(len(self.hosts))]
        for n in range(len(self.messages)):
            actions.append(("step", ("deliver", n)))
            if self.loses_messages:
                actions.append(("fault", ("lose", n)))
            if self.former is not None and self.messages[n][0] == "demand":
                actions.append(("fault", ("deliver to former", n)))
        if self.ticks:
            actions.append(("step", ("tick", 0)))
        if self.faults:
            actions += [("fault", ("restart", n)) for n in range(len(self.hosts))]
            actions += [("fault", ("join", 0)), ("fault", ("replace leader", 0))]
        return actions

    def act(self, action):
        kind, n = action[1]
        getattr(self, kind.replace(" ", "_"))(n)

    def ask(self, n):
        self.asks -= 1
        host = self.hosts[n]
        demand = host.holder.make_demand(self.now)
        if not self.rules.counts_unacknowledged:
            demand = dataclasses.replace(demand, held_sequence=demand.sequence)
        self.messages.append(("demand", host, demand, host.known_leader))

    def lose(self, n):
        del self.messages[n]

    def deliver(self, n):
        kind, host, message, term = self.messages.pop(n)
        if kind == "demand":
            self.answer(self.leader, host, message, term, 0.0)
            return
        if not self.rules.counts_from_demand:
            host.holder._sent_at = self.now
        host.known_leader = term
        host.holder.apply_share(message, self.now)

    def deliver_to_former(self, n):
        proof_age_s = self.now - self.replaced_at
        _, host, demand, term = self.messages.pop(n)
        if proof_age_s <= leases.MAX_CONFIRMATION_AGE_S:
            stated_s = proof_age_s if self.rules.states_proof_age else 0.0
            self.answer(self.former, host, demand, term, stated_s)

    def answer(self, leader, host, demand, known_term, proof_age_s):
        term = self.term if leader is self.leader else self.term - 1
        is_informed = known_term == term or not self.rules.renews_informed_only
        share = leader.grant(
            host.incarnation, demand, is_informed, proof_age_s, self.now
        )
        self.messages.append(("share", host, share, term))

    def tick(self, _):
        self.ticks -= 1
        self.pass_time(TICK_S)

    def pass_time(self, duration_s):
        self.now += duration_s
        self.times = [at for at in self.times if at >= self.now - self.window_s]
        self.times.append(self.now)

    def restart(self, n):
        self.faults -= 1
        self.number += 1
        self.hosts[n].died_at = self.now
        self.dead = [h for h in self.dead if h.died_at > self.now - self.window_s]
        self.dead.append(self.hosts[n])
        self.hosts[n] = Host(self.hosts[n].name, self.number, self.window_s)

    def join(self, _):
        self.faults -= 1
        self.number += 1
        self.hosts.append(Host(f"new{self.number}", self.number, self.window_s))

    def replace_leader(self, _):
        self.faults -= 1
        self.former, self.replaced_at = self.leader, self.now
        self.term += 1
        self.leader = self.make_leader(self.now)

    def sum_fractions(self):
        return sum(host.holder.get_fraction(self.now) for host in self.hosts)

    def check_rest(self):
        if self.sum_fractions() > 1.0 + TOLERANCE:
            self.problem = f"the hosts may use {self.sum_fractions()} of a limit"
        for at in self.times:
            held = sum(h.get_fraction_at(at) for h in (*self.hosts, *self.dead))
            if held > 1.0 + TOLERANCE:
                self.problem = f"{held} of a limit counts as held {self.now - at} s ago"

    # A calm time, in which no message is lost.

    def exchange(self):
        """Lets every host ask once and delivers everything."""
        self.asks += len(self.hosts)
        for n in range(len(self.hosts)):
            self.ask(n)
            while self.messages:
                self.deliver(0)

    def settle(self, busy_requests):
        """Divides the limits, and gives the first host requests afterwards."""
        asks = self.asks
        self.be_calm(2 * LEASE_S, interval_s=0.5)
        self.asks = asks
        for _ in range(busy_requests):
            self.hosts[0].holder.note_request(self.now)

    def be_calm(self, duration_s, interval_s=0.1):
        self.messages.clear()
        for _ in range(round(duration_s / interval_s)):
            self.pass_time(interval_s)
            self.exchange()

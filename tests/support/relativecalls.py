"""Orders of one operator to log hosts that stand still at random, in virtual time.

Each step of a call runs at a host when that runs. What is under way may be late, up to
what the bound on a call's age allows before it is read.
"""

import dataclasses
import heapq
import itertools
import random

from lycheegauge.internal.coordination import arrivals
from lycheegauge.internal.daemons import relativecalls
from lycheegauge.internal.protocol import changes
from lycheegauge.internal.state import routing

HOSTS = 3
LEADER = 0
ROUND_S = 0.05
END_S = 40.0
DELAYS_S = (*[0.002] * 9, 0.3, 0.9, 1.1, 4.0)
PAUSES_S = (0.2, 0.6, 1.2, 4.0, 7.9)


@dataclasses.dataclass(frozen=True)
class Rules:
    """The parts of the rule for calls without a version, each of which can be off."""

    resolves: bool = True
    bounds_age: bool = True


class Host:
    """When a host runs."""

    def __init__(self, source):
        self.pauses = []
        at = 0.0
        while (at := at + source.uniform(0.5, 6.0)) < END_S:
            self.pauses.append((at, at + source.choice(PAUSES_S)))
            at = self.pauses[-1][1]

    def find_running(self, at):
        """Returns when something that is due at a time is done."""
        return next((end for start, end in self.pauses if start <= at < end), at)

    def find_earliest_arrival(self, read_at):
        bounds, at = arrivals.ArrivalBounds(), max(0.0, read_at - 12.0)
        while at <= read_at:
            bounds.note_round(at)
            at = max(at + ROUND_S, self.find_running(at + ROUND_S))
        return bounds.find_earliest(read_at)


class Play:
    """One operator, who sends orders one after the other until each is acknowledged."""

    def __init__(self, seed, rules):
        self.random, self.rules = random.Random(seed), rules
        self.hosts = [Host(self.random) for _ in range(HOSTS)]
        self.part = routing.RoutingPart()
        self.events, self.number = [], itertools.count()
        # Until an order is acknowledged, the zone may be as it was.
        self.allowed = {False}

    def schedule(self, at, call, *arguments):
        heapq.heappush(self.events, (at, next(self.number), call, arguments))

    def run(self):
        self.schedule(1.0, self.send, [True, False, True, False, True])
        while self.events:
            at, _, call, arguments = heapq.heappop(self.events)
            call(at, *arguments)
        return bool(self.part.restrictions.zones_out) in self.allowed

    def send(self, at, orders):
        """Sends the first of the orders to any host; waits for a second."""
        if not orders or at > END_S:
            return
        # Until it is acknowledged, an order may or may not be in force.
        self.allowed.add(orders[0])
        host = self.random.randrange(HOSTS)
        answer = {}
        read_at = self.hosts[host].find_running(at + 0.002)
        self.schedule(read_at, self.read, host, orders[0], answer)
        self.schedule(
            at + relativecalls.CLIENT_WAIT_S, self.stop_waiting, orders, answer
        )

    def stop_waiting(self, at, orders, answer):
        if answer:
            self.allowed = {orders[0]}
            orders = orders[1:]
        self.schedule(at, self.send, orders)

    def travel(self, at, host):
        """Returns when a message sent at a time is handled at a host."""
        return self.hosts[host].find_running(at + self.random.choice(DELAYS_S))

    def read(self, at, host, order, answer):
        # The operator's closed connection is not seen, as behind a cut link.
        earliest_at = self.hosts[host].find_earliest_arrival(at)
        self.schedule(
            self.travel(at, LEADER), self.resolve, host, order, answer, earliest_at
        )

    def resolve(self, at, host, order, answer, earliest_at):
        version = self.part.get_zone_version("z") if self.rules.resolves else 0
        change = changes.SetZoneOut("z", order, version)
        self.schedule(
            self.travel(at, host), self.check, change, answer, earliest_at, host
        )

    def check(self, at, change, answer, earliest_at, host):
        is_young = at - earliest_at < relativecalls.CLIENT_WAIT_S
        if is_young or not self.rules.bounds_age:
            # The host may stand still between this check and the call.
            sent_at = self.hosts[host].find_running(at + 0.001)
            self.schedule(self.travel(sent_at, LEADER), self.commit, change, answer)

    def commit(self, at, change, answer):
        outcome = self.part.apply(change)
        if outcome.status is changes.ChangeStatus.ACCEPTED:
            self.schedule(at + 0.002, self.acknowledge, answer)

    def acknowledge(self, at, answer):
        answer["at"] = at


def play(seed, rules=Rules()):
    """Returns whether the newest acknowledged order is in force at the end."""
    return Play(seed, rules).run()

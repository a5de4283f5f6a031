"""A model of map switches with late reports and coordinators that interleave.

In contrast to ``mapworld.World``, a coordinator reads the ranks one after the other and
has the orders of one poll under way at the same time; passes, other coordinators and
late orders come between. A report may show the rank's state of up to ``LAG_S`` earlier,
as engines' reports do when they are read from another host.
"""

import collections
import dataclasses

from support import mapworld

from lycheegauge.internal.coordination.groups import mapswitch

ACTION_S = 0.02
LAG_S = 8 * ACTION_S
HISTORY_ACTIONS = 10
POLLS = 60
PASSES = 40
TARGETS = 3
COORDINATORS_MAX = 3
NONE = mapswitch.NONE


@dataclasses.dataclass
class Coordinator:
    """One coordinator and the poll that it is in.

    Attributes:
        unread: Ranks that the current poll has not read yet; empty between polls.
        reports: The reports of the current poll.
        as_of: When each report's state was current at the earliest, in seconds.
        orders: Orders under way, with their outcomes; ``None`` until carried out.
    """

    switch: mapswitch.MapSwitch
    targets: int = TARGETS
    unread: list = dataclasses.field(default_factory=list)
    reports: dict = dataclasses.field(default_factory=dict)
    as_of: dict = dataclasses.field(default_factory=dict)
    orders: list = dataclasses.field(default_factory=list)


class LateWorld(mapworld.World):
    """Ranks with late reports, and up to three coordinators.

    Args:
        switch_class: The map switch of the coordinators.
        faults: The most faults.
        lag_s: The lag that coordinators assume for a report that may be late.
    """

    def __init__(self, switch_class=mapswitch.MapSwitch, faults=4, lag_s=LAG_S):
        super().__init__(switch_class, faults=faults)
        self.appointments = 1
        self.lag_s = lag_s
        self.polls, self.passes = POLLS, PASSES
        self.coordinators = [Coordinator(switch_class(1))]
        self.history = collections.deque(maxlen=HISTORY_ACTIONS + 1)
        self.record_state()

    def record_state(self):
        self.history.append((self.now, self.make_reports()))

    def act(self, action):
        super().act(action)
        self.now += ACTION_S
        self.record_state()

    def list_actions(self):
        actions = [("fault", f"late {number}") for number in range(len(self.late))]
        for number, coordinator in enumerate(self.coordinators):
            actions += self.list_moves(number, coordinator)
        if self.passes and not self.is_held():
            actions.append(("step", "pass"))
        if self.faults:
            actions += [("fault", "crash"), ("fault", "wait")]
            if len(self.coordinators) < COORDINATORS_MAX:
                actions.append(("fault", "add_coordinator"))
            count = len(self.coordinators)
            actions += [("fault", f"restart {number}") for number in range(count)]
        return actions

    def list_moves(self, number, coordinator):
        if any(outcome is None for _, outcome in coordinator.orders):
            moves = [("step", f"carry {number}")]
            if self.faults:
                kinds = ("lose_order", "lose_reply", "delay_order")
                moves += [("fault", f"{kind} {number}") for kind in kinds]
            return moves
        if coordinator.orders:
            return [("step", f"finish {number}")]
        if not coordinator.unread and not self.polls:
            return []
        moves = [("step", f"read {number}"), ("step", f"read_late {number}")]
        if self.faults:
            moves.append(("fault", f"miss {number}"))
        return moves

    # Reading.

    def do_read(self, number):
        self.read(self.coordinators[number], self.make_reports(), self.now)

    def do_read_late(self, number):
        # The state in force LAG_S ago is the last one recorded until then.
        reports = next(
            (
                reports
                for at, reports in reversed(self.history)
                if at <= self.now - LAG_S
            ),
            self.history[0][1],
        )
        self.read(self.coordinators[number], reports, self.now - self.lag_s)

    def do_miss(self, number):
        """Has a rank fail to answer in this poll."""
        self.faults -= 1
        self.read(self.coordinators[number], {}, self.now)

    def read(self, coordinator, reports, as_of):
        if not coordinator.unread:
            self.polls -= 1
            coordinator.unread = list(range(mapworld.RANKS))
            coordinator.reports, coordinator.as_of = {}, {}
        rank = coordinator.unread.pop(0)
        if rank in reports:
            coordinator.reports[rank] = reports[rank]
            coordinator.as_of[rank] = as_of
        if not coordinator.unread:
            orders = self.decide(coordinator)
            coordinator.orders = [(order, None) for order in orders]

    def decide(self, coordinator):
        switch, reports = coordinator.switch, coordinator.reports
        orders = switch.decide(reports, self.now, coordinator.as_of)
        if switch.is_ready and coordinator.targets:
            coordinator.targets -= 1
            version = switch.allocate_version(reports)
            layers = (f"content {id(coordinator)} {version}",)
            switch.set_target(mapswitch.Target(version, layers), self.now)
        return orders

    # Orders.

    def take_order(self, number, outcome=None):
        """Gives the first order under way an outcome, and returns the order."""
        orders = self.coordinators[number].orders
        index = next(n for n, (_, known) in enumerate(orders) if known is None)
        order = orders[index][0]
        orders[index] = (order, outcome or self.carry_out(order))
        return order

    def do_carry(self, number):
        self.take_order(number)

    def do_finish(self, number):
        coordinator = self.coordinators[number]
        for order, outcome in coordinator.orders:
            coordinator.switch.handle_reply(order, outcome, self.now)
        coordinator.orders = []

    def do_lose_order(self, number):
        self.faults -= 1
        self.take_order(number, mapworld.Outcome.UNANSWERED)

    def do_lose_reply(self, number):
        self.faults -= 1
        self.carry_out(self.take_order(number, mapworld.Outcome.UNANSWERED))

    def do_delay_order(self, number):
        self.faults -= 1
        self.late.append(self.take_order(number, mapworld.Outcome.UNANSWERED))

    def do_restart(self, number):
        """Restarts a coordinator, which is appointed anew with a higher number."""
        self.faults -= 1
        former = self.coordinators[number]
        self.late += [order for order, outcome in former.orders if outcome is None]
        self.coordinators[number] = self.appoint()

    def do_add_coordinator(self):
        self.faults -= 1
        self.coordinators.append(self.appoint())

    def appoint(self):
        self.appointments += 1
        return Coordinator(self.switch_class(self.appointments))

    def finish_undisturbed(self, polls=400):
        """Runs the newest coordinator alone, with late reports, and then passes."""
        self.passes = self.polls = 10 * polls
        newest = self.appoint()
        newest.targets, number = 0, len(self.coordinators)
        self.coordinators.append(newest)
        for _ in range(polls):
            for _ in range(mapworld.RANKS):
                self.act(("step", f"read_late {number}"))
            while any(outcome is None for _, outcome in newest.orders):
                self.act(("step", f"carry {number}"))
            self.act(("step", f"finish {number}"))
            if not self.is_held():
                self.act(("step", "pass"))


class TrustingSwitch(mapswitch.MapSwitch):
    """Takes every report for the state at the time of the decision."""

    def decide(self, reports, now, as_of=None):
        return super().decide(reports, now, dict.fromkeys(reports, now))

"""A model of map switches whose orders are answered with the rank's state.

In contrast to ``latereports.LateWorld``, a coordinator decides on the states in the
answers to its orders, together with the reports that it already has of other ranks. It
reads only the ranks whose order was not answered. Passes, other coordinators and late
orders come between an order, its answer and the next decision.
"""

import dataclasses

from support import latereports

from lycheegauge.internal.coordination.groups import mapswitch


@dataclasses.dataclass
class Coordinator(latereports.Coordinator):
    """A coordinator that keeps the reports of earlier polls and answers.

    Attributes:
        replied: Reports in the answers to the orders under way, by rank.
        may_decide: Whether all reports that a decision needs are there.
        is_planning: Whether it plans a map, after which it decides on the same reports.
    """

    replied: dict = dataclasses.field(default_factory=dict)
    may_decide: bool = False
    is_planning: bool = False


class ReplyWorld(latereports.LateWorld):
    """Ranks whose answers to orders hold their state.

    Args:
        reads_first: Whether agents read the state before they carry out the order, as
            the protocol forbids.
    """

    def __init__(self, switch_class=mapswitch.MapSwitch, faults=4, reads_first=False):
        super().__init__(switch_class, faults)
        self.reads_first = reads_first
        self.coordinators = [Coordinator(switch_class(1))]

    def list_moves(self, number, coordinator):
        if coordinator.is_planning:
            return [("step", f"plan {number}")]
        if coordinator.may_decide:
            moves = [("step", f"decide {number}")]
            if not coordinator.orders:
                # It may also poll again before it decides.
                moves += super().list_moves(number, coordinator)
            return moves
        return super().list_moves(number, coordinator)

    def take_order(self, number, outcome=None):
        coordinator = self.coordinators[number]
        item = next(order for order, known in coordinator.orders if known is None)
        before = self.make_reports()[item.rank]
        order = super().take_order(number, outcome)
        if outcome is None:
            after = self.make_reports()[item.rank]
            coordinator.replied[item.rank] = before if self.reads_first else after
        return order

    def do_finish(self, number):
        coordinator = self.coordinators[number]
        ordered = [item.rank for item, _ in coordinator.orders]
        super().do_finish(number)
        for rank, report in coordinator.replied.items():
            coordinator.reports[rank] = report
            coordinator.as_of[rank] = self.now
        coordinator.unread = [r for r in ordered if r not in coordinator.replied]
        coordinator.replied = {}
        coordinator.may_decide = not coordinator.unread

    def do_decide(self, number):
        coordinator = self.coordinators[number]
        coordinator.may_decide = False
        coordinator.unread = []
        orders = self.decide(coordinator)
        coordinator.orders = [(order, None) for order in orders]

    def decide(self, coordinator):
        switch, reports = coordinator.switch, coordinator.reports
        orders = switch.decide(reports, self.now, coordinator.as_of)
        coordinator.is_planning = switch.is_ready and coordinator.targets > 0
        return orders

    def do_plan(self, number):
        coordinator = self.coordinators[number]
        coordinator.is_planning = False
        # Only the target is set: the orders to prepare follow at once.
        super().decide(coordinator)
        orders = super().decide(coordinator)
        coordinator.orders = [(order, None) for order in orders]

    def read(self, coordinator, reports, as_of):
        if coordinator.unread:
            # The report of an unanswered order's rank replaces the earlier one.
            coordinator.reports.pop(coordinator.unread[0], None)
        coordinator.may_decide = False
        super().read(coordinator, reports, as_of)

    def appoint(self):
        self.appointments += 1
        return Coordinator(self.switch_class(self.appointments))

    def finish_undisturbed(self, polls=400):
        """Runs the newest coordinator alone; its orders are answered with states."""
        self.passes = self.polls = 10 * polls
        number = len(self.coordinators)
        newest = self.appoint()
        newest.targets = 0
        self.coordinators.append(newest)
        for _ in range(polls):
            if newest.may_decide:
                self.act(("step", f"decide {number}"))
            else:
                self.act(("step", f"read_late {number}"))
            while any(outcome is None for _, outcome in newest.orders):
                self.act(("step", f"carry {number}"))
            if newest.orders:
                self.act(("step", f"finish {number}"))
            if not self.is_held():
                self.act(("step", "pass"))

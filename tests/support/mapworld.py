"""Simulates ranks, late orders and two coordinators for the real ``MapSwitch``.

Bounds: two ranks, ``FAULTS`` faults, ``POLLS`` polls by all coordinators together and
``PASSES`` passes. Each order is carried out and answered, or (as a fault) lost, carried
out without an answer, or carried out at any later time. The other faults: a rank cannot
be reached in a poll; a rank crashes, so that the group is formed again; a second
coordinator starts while the first one continues; a long time passes.
"""

import dataclasses

from lycheegauge.internal.coordination.groups import mapswitch
from lycheegauge.internal.protocol import maporders

RANKS = 2
POLLS = 9
PASSES = 8
FAULTS = 2
LONG_WAIT_S = 10.0
NONE = mapswitch.NONE
Kind = maporders.MapOrderKind
Outcome = maporders.MapOrderOutcome


@dataclasses.dataclass
class Rank:
    """A model of an engine that follows only the published rules for its orders."""

    fence: int = 0
    highest: int = 0
    map: tuple = (0, "in turn")
    prepared: tuple = ()
    armed: tuple = ()
    held: int = NONE

    def report(self, number, epoch, step):
        return maporders.EngineReport(
            server=f"server-{number}", group="group", epoch=epoch, rank=number,
            size=RANKS, is_open=True, is_busy=False, pace=1.0, step=step,
            map_version=self.map[0],
            prepared_version=self.prepared[0] if self.prepared else NONE,
            armed_version=self.armed[0] if self.armed else NONE,
            armed_step=self.armed[1] if self.armed else NONE,
            held_step=self.held,
        )  # fmt: skip

    def take(self, order, epoch, step, fences):
        if order.epoch != epoch:
            return Outcome.CONFLICT
        if fences and order.fence < self.fence:
            return Outcome.FENCED
        self.fence = max(self.fence, order.fence)
        return getattr(self, f"take_{order.kind}")(order, step)

    def take_prepare(self, order, step):
        if order.version <= self.highest or self.armed:
            return Outcome.CONFLICT
        self.highest = order.version
        self.prepared = (order.version, order.layers)
        return Outcome.BEGUN

    def take_arm(self, order, step):
        if not self.prepared or self.prepared[0] != order.version:
            return Outcome.CONFLICT
        if order.step <= step:
            return Outcome.CONFLICT
        self.armed = (order.version, order.step)
        return Outcome.DONE

    def take_disarm(self, order, step):
        if self.map[0] == order.version:
            return Outcome.CONFLICT
        if self.armed and self.armed[0] == order.version:
            self.armed = ()
        return Outcome.DONE

    def take_hold(self, order, step):
        if order.step <= step:
            return Outcome.CONFLICT
        self.held = order.step
        return Outcome.DONE

    def take_go(self, order, step):
        if self.held == order.step:
            self.held = NONE
        return Outcome.DONE


class World:
    def __init__(
        self,
        switch_class=mapswitch.MapSwitch,
        fences=True,
        faults=FAULTS,
        allows_partial_polls=True,
    ):
        self.switch_class = switch_class
        self.allows_partial_polls = allows_partial_polls
        self.fences = fences
        self.faults = faults
        self.ranks = [Rank() for _ in range(RANKS)]
        self.switches = [switch_class(1)]
        self.targets = [1]
        self.now = 0.0
        self.step = 0
        self.epoch = 1
        self.polls = POLLS
        self.passes = PASSES
        self.pending = []  # (switch, rank order)
        self.late = []
        self.problem = ""
        self.told = {}
        self.steps = True
        self.waiting = False

    def list_actions(self):
        if self.pending:
            actions = [("step", "answer")]
            if self.faults:
                actions += [
                    ("fault", kind) for kind in ("lose", "lose_answer", "delay")
                ]
            return actions
        actions = [("fault", f"late {number}") for number in range(len(self.late))]
        if self.polls:
            actions += [("step", f"poll {n}") for n in range(len(self.switches))]
        if self.passes and not self.is_held():
            actions.append(("step", "pass"))
        if self.faults:
            actions += [("fault", "crash"), ("fault", "wait")]
            if len(self.switches) == 1:
                actions.append(("fault", "add_coordinator"))
            if self.polls and self.allows_partial_polls:
                poll_count = len(self.switches) * RANKS
                actions += [
                    ("fault", f"partial_poll {number}") for number in range(poll_count)
                ]
        return actions

    def act(self, action):
        name, _, number = action[1].partition(" ")
        getattr(self, f"do_{name}")(*([int(number)] if number else []))

    def check_rest(self):
        pass

    def is_held(self):
        return any(r.held != NONE and self.step + 1 >= r.held for r in self.ranks)

    def make_reports(self):
        return {
            number: rank.report(number, self.epoch, self.step)
            for number, rank in enumerate(self.ranks)
        }

    def do_partial_poll(self, number):
        """Has a coordinator poll while one rank cannot be reached."""
        self.faults -= 1
        number, missing = divmod(number, RANKS)
        self.do_poll(number, missing)

    def do_poll(self, number, missing=NONE):
        self.polls -= 1
        switch, reports = self.switches[number], self.make_reports()
        reports.pop(missing, None)
        as_of = dict.fromkeys(reports, self.now)
        orders = switch.decide(reports, self.now, as_of)
        if switch.is_ready and self.targets[number]:
            self.targets[number] -= 1
            version = switch.allocate_version(reports)
            layers = (f"content {number}",)
            switch.set_target(mapswitch.Target(version, layers), self.now)
            orders = switch.decide(reports, self.now, as_of)
        self.pending = [(number, order) for order in orders]

    def carry_out(self, order):
        rank = self.ranks[order.rank]
        return rank.take(order.order, self.epoch, self.step, self.fences)

    def do_answer(self):
        number, order = self.pending.pop(0)
        outcome = self.carry_out(order)
        self.switches[number].handle_reply(order, outcome, self.now)

    def do_lose(self):
        self.leave_unanswered()

    def do_lose_answer(self):
        order = self.leave_unanswered()
        self.carry_out(order)

    def do_delay(self):
        self.late.append(self.leave_unanswered())

    def leave_unanswered(self):
        self.faults -= 1
        number, order = self.pending.pop(0)
        self.switches[number].handle_reply(order, Outcome.UNANSWERED, self.now)
        return order

    def do_late(self, number):
        self.carry_out(self.late.pop(number))

    def do_crash(self):
        self.faults -= 1
        self.epoch += 1
        self.ranks = [Rank() for _ in range(RANKS)]

    def do_wait(self):
        self.faults -= 1
        self.now += LONG_WAIT_S

    def do_add_coordinator(self):
        self.faults -= 1
        self.switches.append(self.switch_class(2))
        self.targets.append(1)

    def do_pass(self):
        self.passes -= 1
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.map = rank.prepared
                rank.armed = rank.prepared = ()
        if len({rank.map for rank in self.ranks}) > 1:
            maps = " and ".join(str(rank.map) for rank in self.ranks)
            self.problem = f"pass {self.step} begins with the maps {maps}"

    def settle(self, poll_count=80):
        """Runs the newest coordinator without further faults."""
        self.pending.clear()
        self.polls = self.passes = 10 * poll_count
        newest = len(self.switches) - 1
        self.targets[newest] = 0
        for _ in range(poll_count):
            self.now += 0.05
            self.do_poll(newest)
            while self.pending:
                self.do_answer()
            if not self.is_held():
                self.do_pass()


class IgnoresUnansweredOrders(mapswitch.MapSwitch):
    """Assumes that an order without an answer will never be carried out."""

    def _is_in_doubt(self, rank):
        return False


class ReleasesBeforeArmed(mapswitch.MapSwitch):
    """Releases the pass as soon as all ``ARM`` orders have been sent."""

    def _arm(self, reports, now):
        orders = super()._arm(reports, now)
        if any(item.order.kind is Kind.ARM for item in orders):
            step = orders[0].order.step
            holder = min(reports)
            orders.append(self._make_order(holder, Kind.GO, step=step))
        return orders


class IgnoresMissingRanks(mapswitch.MapSwitch):
    """Releases the pass while a rank is missing, although a rank may be armed."""

    def _release_early(self, reports, now):
        self._is_unarmed = True
        return super()._release_early(reports, now)


class SkipsHold(mapswitch.MapSwitch):
    """Arms the ranks without holding the pass."""

    def _arm(self, reports, now):
        orders = super()._arm(reports, now)
        holds = [item for item in orders if item.order.kind is Kind.HOLD]
        if not holds:
            return orders
        step = holds[0].order.step
        version = self._target.version
        return [
            self._make_order(rank, Kind.ARM, version=version, step=step)
            for rank in reports
        ]

"""Simulates a group of lock-step engines, its agents, a log and coordinators.

Messages in flight may be delivered in any order, twice or never.
"""

import dataclasses
import random

from returns import result

from lycheegauge.internal.coordination.groups import (
    coordinator,
    effects,
    rank,
)
from lycheegauge.internal.protocol import changes, codec, expertmaps
from lycheegauge.internal.state import epochs

GROUP = "danish-quotes"
TICK_S = coordinator.RESEND_INTERVAL_S
SETTINGS = coordinator.PermitSettings(horizon_steps=12, cut_steps=1)


def make_map(version, experts=4, ranks=2, shift=0):
    placements = tuple(
        expertmaps.ExpertPlacement(
            0, expert, (expertmaps.Share((expert + shift) % ranks, 1.0),)
        )
        for expert in range(experts)
    )
    return expertmaps.ExpertMap(GROUP, version, placements)


@dataclasses.dataclass
class StartedStep:
    """A step that a rank's engine started, with the map it used."""

    step: int
    rank: int
    expert_map: expertmaps.ExpertMap


class ReferenceCoordinator:
    """Reference model: a single coordinator that never fails, with a list of maps."""

    def __init__(self):
        self.switches = []

    def switch(self, commit):
        wanted = codec.unpack(commit.expert_map)
        if (commit.first_step, wanted) not in self.switches:
            self.switches.append((commit.first_step, wanted))

    def find_map(self, step):
        due = [wanted for first, wanted in self.switches if first <= step]
        return due[-1] if due else None


class FakeRank:
    """An agent's core and its engine, which may outlive the agent."""

    def __init__(self, number):
        self.number = number
        self.starts = 0
        self.position = None
        self.held = ()
        self.restart_agent(engine_too=True)

    def restart_agent(self, engine_too):
        self.starts += 1
        if engine_too:
            self.position = None
            self.held = ()
        next_step = 0 if self.position is None else self.position + 1
        name = f"{self.number}/{self.starts}"
        self.core = rank.RankCore(GROUP, self.number, name, next_step, self.held)
        self.loading = []

    def take(self, message):
        if isinstance(message, expertmaps.RankQuestion):
            return self.core.answer(message)
        if isinstance(message, expertmaps.PermitOffer):
            return self.core.handle_offer(message)
        answer = self.core.handle_prepare(message)
        if isinstance(answer, result.Failure):
            return None
        if isinstance(answer.unwrap(), rank.PendingLoad):
            self.loading.append(answer.unwrap())
            return None
        return answer.unwrap()


class World:
    """All components of one group; ``started`` records each step of each rank."""

    def __init__(self, ranks=2, coordinators=2, rank_class=FakeRank):
        self.log = epochs.Epochs()
        self.ranks = [rank_class(number) for number in range(ranks)]
        self.coordinators = []
        self.in_flight = []
        self.started = []
        self.reference = ReferenceCoordinator()
        self.now = 0.0
        for _ in range(coordinators):
            self.add_coordinator()

    def add_coordinator(self):
        name = f"entry-{len(self.coordinators)}-{self.now}"
        made = coordinator.Coordinator(GROUP, len(self.ranks), name, SETTINGS)
        self.coordinators.append(made)
        return len(self.coordinators) - 1

    # Events.

    def start_coordinator(self, coordinator_number):
        epoch = self.log.find_record(GROUP).epoch
        self.perform(
            coordinator_number,
            self.coordinators[coordinator_number].start(
                f"{coordinator_number}-{epoch}-{self.now}", self.now
            ),
        )

    def propose(self, coordinator_number, shift):
        current = self.coordinators[coordinator_number].current_map
        version = current.version + 1 if current else 1
        wanted = make_map(version, ranks=len(self.ranks), shift=shift)
        answer = self.coordinators[coordinator_number].propose_map(wanted, self.now)
        if isinstance(answer, result.Success):
            self.perform(coordinator_number, answer.unwrap())

    def tick(self, coordinator_number):
        self.now += TICK_S
        self.perform(
            coordinator_number, self.coordinators[coordinator_number].tick(self.now)
        )

    def learn_epoch(self, number):
        epoch = self.log.find_record(GROUP).epoch
        self.ranks[number].core.learn_epoch(epoch)

    def finish_load(self, number):
        fake = self.ranks[number]
        for loading in fake.loading:
            prepared = fake.core.finish_load(loading)
            if prepared is not None:
                self.send_to_coordinators(prepared)
        fake.loading = []

    def push_state(self, number):
        self.send_to_coordinators(self.ranks[number].core.report_state())

    def run_step(self, number):
        """Starts the rank's next step if its peers and its agent allow it."""
        fake = self.ranks[number]
        step = self.find_step(fake)
        if step is None:
            return False
        answer = fake.core.start_step(step)
        if not isinstance(answer, result.Success):
            return False
        fake.position = step
        fake.held = tuple(fake.core._loaded.values())
        used = fake.core._loaded[answer.unwrap().map_version]
        self.started.append(StartedStep(step, number, used))
        return True

    def find_step(self, fake):
        """Returns the next step; no rank starts one before all started the last."""
        positions = [other.position for other in self.ranks]
        known = [position for position in positions if position is not None]
        if not known:
            return self.find_first_step()
        if fake.position is None:
            return max(known)
        if None in positions or min(known) < fake.position:
            return None
        return fake.position + 1

    def find_first_step(self):
        """Returns the first step of new engines: the first one that all may start."""
        permits = [other.core.report_state().permits for other in self.ranks]
        if not all(permits):
            return None
        return max(held[0].first_step for held in permits)

    # Message delivery.

    def perform(self, coordinator_number, wanted):
        for effect in wanted:
            if isinstance(effect, changes.TakeEpoch | changes.CommitMap):
                self.in_flight.append(("log", coordinator_number, effect))
            elif isinstance(effect, effects.Ask):
                self.in_flight.append(("rank", effect.rank, effect.question))
            elif isinstance(effect, effects.Offer):
                self.in_flight.append(("rank", effect.rank, effect.offer))
            elif isinstance(effect, effects.Prepare):
                self.in_flight.append(("rank", effect.rank, effect.prepare))

    def send_to_coordinators(self, message):
        if message is not None:
            for coordinator_number in range(len(self.coordinators)):
                self.in_flight.append(("coordinator", coordinator_number, message))

    def deliver(self, index, keep=False):
        if not self.in_flight:
            return
        place = index % len(self.in_flight)
        kind, number, message = (
            self.in_flight[place] if keep else self.in_flight.pop(place)
        )
        if kind == "log":
            self.apply(number, message)
        elif kind == "rank":
            self.send_to_coordinators(self.ranks[number].take(message))
        else:
            self.perform(number, self.notify_coordinator(number, message))

    def apply(self, coordinator_number, change):
        outcome = self.log.apply(codec.unpack(codec.pack(change)))
        if isinstance(outcome, changes.MapOutcome) and outcome.status == "accepted":
            self.reference.switch(change)
        record = self.log.find_record(GROUP)
        self.in_flight.append(("coordinator", coordinator_number, (outcome, record)))

    def notify_coordinator(self, coordinator_number, message):
        informed = self.coordinators[coordinator_number]
        if isinstance(message, tuple):
            outcome, record = message
            if isinstance(outcome, changes.EpochOutcome):
                return informed.handle_epoch_outcome(outcome, record, self.now)
            return informed.handle_map_outcome(outcome, self.now)
        if isinstance(message, expertmaps.RankState):
            return informed.handle_rank_state(message, self.now)
        return informed.handle_map_prepared(message, self.now)

    # Recovery without faults, and checks.

    def replace_coordinators(self):
        """Replaces all coordinators by a new one; the old ones receive nothing more."""
        self.coordinators = []
        self.in_flight = [entry for entry in self.in_flight if entry[0] == "rank"]
        coordinator_number = self.add_coordinator()
        self.start_coordinator(coordinator_number)
        self.settle(coordinator_number)
        return coordinator_number

    def settle(self, coordinator_number, rounds=60):
        for _ in range(rounds):
            for number in range(len(self.ranks)):
                self.learn_epoch(number)
                self.finish_load(number)
            while self.in_flight:
                self.deliver(0)
            for number in range(len(self.ranks)):
                self.run_step(number)
            self.tick(coordinator_number)

    def find_disagreement(self):
        """Returns two starts of one step with different maps, or ``None``."""
        first = {}
        for started in self.started:
            earlier = first.setdefault(started.step, started)
            if earlier.expert_map != started.expert_map:
                return earlier, started
        return None

    def find_difference(self):
        """Returns a start whose map differs from the reference model's, or ``None``."""
        for started in self.started:
            if started.expert_map != self.reference.find_map(started.step):
                return started, self.reference.find_map(started.step)
        return None


def run_random_walk(world, seed, length=150, faults=True):
    """Runs a seeded random walk over all possible events."""
    draw = random.Random(seed)
    world.start_coordinator(0)
    world.settle(0)
    world.propose(0, 0)
    world.settle(0)
    for _ in range(length):
        perform_random_event(world, draw, faults)


def perform_random_event(world, draw, faults):
    coordinator_number = draw.randrange(len(world.coordinators))
    number = draw.randrange(len(world.ranks))
    actions = [
        (60, lambda: world.deliver(draw.randrange(1 << 16))),
        (20, lambda: world.run_step(number)),
        (6, lambda: world.tick(coordinator_number)),
        (10, lambda: world.finish_load(number)),
        (10, lambda: world.learn_epoch(number)),
        (8, lambda: world.propose(coordinator_number, draw.randrange(4))),
        (2, lambda: world.push_state(number)),
    ]
    if faults:
        actions += [
            (8, lambda: world.deliver(draw.randrange(1 << 16), keep=True)),
            (6, lambda: drop(world, draw)),
            (0.4, lambda: world.start_coordinator(coordinator_number)),
            (0.6, lambda: world.ranks[number].restart_agent(engine_too=False)),
            (0.6, lambda: world.ranks[number].restart_agent(engine_too=True)),
        ]
    weights = [weight for weight, _ in actions]
    draw.choices(actions, weights)[0][1]()


def drop(world, draw):
    if world.in_flight:
        world.in_flight.pop(draw.randrange(len(world.in_flight)))

"""Simulation of replicas with a lossy network and disks that lose unsynced writes.

Time, losses, delays and crashes come from one seeded random generator, so a run is
reproducible. Each effect is compared with a reference log that has a single copy.
"""

import dataclasses
import random

from lycheegauge.internal.coordination.agreement import repair, replica, timing
from lycheegauge.internal.protocol import agreement

STEP_S = 0.05
STALL_S = 4.0
SNAPSHOT_EVERY = 8
TRAILING_ENTRIES = 2


@dataclasses.dataclass(frozen=True)
class Faults:
    """Fault probabilities per message or step, and maximum durations in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.01
    sync_s: float = 0.01
    crash: float = 0.0
    stall: float = 0.0
    isolated: frozenset[int] = frozenset()


class ReferenceLog:
    """The reference log: one copy, in which each index is written once."""

    def __init__(self):
        self.entries = {}
        self.acknowledged = {}
        self.leaders = {}

    def check_applied(self, entry):
        known = self.entries.setdefault(entry.index, entry)
        assert known == entry, f"index {entry.index} changed: {known} to {entry}"

    def check_acknowledged(self, proposal_id, index):
        entry = self.entries[index]
        assert entry.payload.decode() == proposal_id, "acknowledged another change"
        assert proposal_id not in self.acknowledged, "acknowledged twice"
        self.acknowledged[proposal_id] = index

    def check_read(self, commit_index, floor):
        assert commit_index >= floor, f"read {commit_index} after ack of {floor}"

    def check_leader(self, term, identity):
        known = self.leaders.setdefault(term, identity)
        assert known == identity, f"two leaders in term {term}"

    def check_first_leader(self, term):
        earlier = [item for item in self.entries.values() if item.term < term]
        assert not earlier, f"the leader of term {term} is not the first: {earlier}"

    def count_memberships(self):
        kinds = [entry.kind for entry in self.entries.values()]
        return kinds.count(agreement.EntryKind.MEMBERSHIP)

    def check_complete(self):
        changes = [
            entry.payload
            for _, entry in sorted(self.entries.items())
            if entry.kind is agreement.EntryKind.CHANGE
        ]
        assert len(changes) == len(set(changes)), "a proposal has two outcomes"
        assert sorted(self.entries) == list(range(1, len(self.entries) + 1))
        return changes


class Disk:
    """The synced state of a replica; ``unsynced`` is the write in progress."""

    def __init__(self, identity):
        self.stored = agreement.StoredState(identity)
        self.unsynced = None
        self.due = 0.0

    def sync(self):
        write, self.unsynced = self.unsynced, None
        snapshot = write.snapshot or self.stored.snapshot
        hard_state = write.hard_state or self.stored.hard_state
        entries = [
            entry
            for entry in self.stored.entries
            if not write.truncate_from or entry.index < write.truncate_from
        ]
        covered = snapshot.last_index if snapshot else 0
        kept = tuple(e for e in [*entries, *write.entries] if e.index > covered)
        self.stored = agreement.StoredState(
            self.stored.identity, hard_state, snapshot, kept
        )

    def crash(self, generator):
        """Loses the write in progress, or completes it without reporting that."""
        if self.unsynced is not None and generator.random() < 0.5:
            self.sync()
        self.unsynced = None


class Host:
    """One replica, its disk and the indexes that it applied."""

    def __init__(self, cluster, identity):
        self.cluster = cluster
        self.disk = Disk(identity)
        self.stalled_until = 0.0
        self.restart()

    @property
    def is_stalled(self):
        return self.cluster.now < self.stalled_until

    @property
    def now(self):
        """The host's clock; while stalled, the time at which the stall began."""
        return self.stalled_until - STALL_S if self.is_stalled else self.cluster.now

    def restart(self):
        self.stalled_until = 0.0
        self.disk.crash(self.cluster.random)
        stored = self.disk.stored
        self.applied = []
        if stored.snapshot:
            self.restore(stored.snapshot)
        self.replica = replica.Replica(
            stored,
            self.cluster.membership,
            timing.Timing(),
            random.Random(self.cluster.random.random()),
            self.cluster.now,
        )

    def restore(self, snapshot):
        self.applied = [int(index) for index in snapshot.state.split()]

    def perform(self, effects):
        for effect in effects:
            match effect:
                case agreement.Send():
                    self.cluster.send(self, effect)
                case agreement.Persist():
                    assert self.disk.unsynced is None and effect is effects[-1]
                    self.disk.unsynced = effect
                    pause = self.cluster.random.random() * self.cluster.faults.sync_s
                    self.disk.due = self.cluster.now + pause
                case agreement.Apply():
                    self.apply(effect.entries)
                case agreement.Restore():
                    self.restore(effect.snapshot)
                case agreement.ProposalDone(proposal_id="repair"):
                    pass
                case agreement.ProposalDone(error=""):
                    self.cluster.reference.check_acknowledged(
                        effect.proposal_id, effect.index
                    )
                case agreement.ReadDone(error=""):
                    floor = int(effect.read_id.split("-")[1])
                    self.cluster.reads.append(effect)
                    self.cluster.reference.check_read(effect.commit_index, floor)

    def apply(self, entries):
        for entry in entries:
            assert entry.index == (self.applied[-1] if self.applied else 0) + 1
            self.applied.append(entry.index)
            self.cluster.reference.check_applied(entry)

    def step(self):
        now = self.now
        if self.disk.unsynced is not None and now >= self.disk.due:
            self.disk.sync()
            self.perform(self.replica.report_synced(now))
        self.perform(self.replica.tick(now))
        if self.replica.is_leader:
            self.cluster.reference.check_leader(
                self.replica.term, self.replica.identity
            )
            if self.replica.is_first_leader:
                self.cluster.reference.check_first_leader(self.replica.term)
            if self.cluster.repairs:
                self.repair()
        behind = self.replica.commit_index - self.replica.snapshot_index
        if behind >= SNAPSHOT_EVERY:
            state = " ".join(map(str, self.applied)).encode()
            self.perform(self.replica.store_snapshot(state, now, TRAILING_ENTRIES))

    def repair(self):
        contacts = self.replica.describe_contacts(self.now)
        membership = self.cluster.repair.decide(contacts)
        if membership is not None:
            done = self.replica.propose_membership("repair", membership, self.now)
            self.perform(done)


class Cluster:
    """Hosts, the messages in flight between them, and the reference log."""

    def __init__(self, voters, spares=0, seed=0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self.reference = ReferenceLog()
        self.in_flight = []
        self.reads = []
        self.proposal_count = 0
        self.size = voters
        self.repairs = False
        self.changes_membership = False
        identities = [
            agreement.Voter(f"host-{number}", "disk") for number in range(voters)
        ]
        self.membership = agreement.Membership(tuple(identities))
        spare_identities = [
            agreement.Voter(f"spare-{n}", "disk") for n in range(spares)
        ]
        names = frozenset(item.host for item in [*identities, *spare_identities])
        self.repair = repair.Repair(voters, names)
        self.hosts = [Host(self, voter) for voter in [*identities, *spare_identities]]

    def send(self, sender, effect):
        if self.random.random() < self.faults.loss:
            return
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            due = self.now + self.random.random() * self.faults.delay_s
            self.in_flight.append((due, sender, effect))

    def is_isolated(self, host):
        return host not in self.hosts or self.hosts.index(host) in self.faults.isolated

    def find_host(self, voter):
        return next(
            (host for host in self.hosts if host.replica.identity == voter), None
        )

    def step(self):
        self.now += STEP_S
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, sender, effect in sorted(due, key=lambda item: item[0]):
            host = self.find_host(effect.receiver)
            if host and host.is_stalled:
                self.in_flight.append((host.stalled_until, sender, effect))
            elif host and not (self.is_isolated(host) or self.is_isolated(sender)):
                host.perform(host.replica.receive(effect.message, self.now))
        for host in self.hosts:
            if self.random.random() < self.faults.crash:
                host.restart()
            if self.random.random() < self.faults.stall:
                host.stalled_until = self.now + STALL_S
            if not host.is_stalled:
                host.step()

    def run(self, faults, steps, load=0.3):
        """Runs steps with faults, proposals on random hosts and reads on all hosts."""
        self.faults = faults
        for _ in range(steps):
            if self.random.random() < load:
                self.propose(self.random.choice(self.hosts))
                for host in self.hosts:
                    self.read(host)
            if self.changes_membership and self.random.random() < 0.05:
                self.change_membership(self.random.choice(self.hosts))
            self.step()

    def change_membership(self, host):
        """Has the leader propose to add, promote or remove one replica."""
        leader = self.find_leader()
        if leader is None:
            return
        member, membership = host.replica.identity, leader.replica.membership
        voters = tuple(item for item in membership.voters if item != member)
        learners = tuple(item for item in membership.learners if item != member)
        if member in membership.learners:
            voters = (*voters, member)
        elif member not in membership.voters:
            learners = (*learners, member)
        proposed = agreement.Membership(voters, learners)
        done = leader.replica.propose_membership("repair", proposed, leader.now)
        leader.perform(done)

    def propose(self, host):
        self.proposal_count += 1
        proposal_id = f"change-{self.proposal_count}"
        payload = proposal_id.encode()
        host.perform(host.replica.propose(proposal_id, payload, host.now))
        return proposal_id

    def read(self, host):
        floor = max(self.reference.acknowledged.values(), default=0)
        host.perform(host.replica.read(f"read-{floor}", host.now))

    def find_leader(self):
        leaders = [host for host in self.hosts if host.replica.is_leader]
        return max(leaders, key=lambda host: host.replica.term, default=None)

    def run_until(self, condition, limit_s=60.0):
        end = self.now + limit_s
        while not condition():
            assert self.now < end, "the condition was not met within the time limit"
            self.step()

    def commit(self):
        """Proposes changes until one is acknowledged."""
        before = len(self.reference.acknowledged)

        def is_acknowledged():
            leader = self.find_leader()
            if leader and round(self.now / STEP_S) % 10 == 0:
                self.propose(leader)
            return len(self.reference.acknowledged) > before

        self.run_until(is_acknowledged)

    def heal(self):
        """Ends all faults; commits must then resume and reach every member."""
        self.faults = Faults()
        self.commit()
        last = max(self.reference.entries)

        def is_everywhere():
            leader = self.find_leader()
            members = leader.replica.membership if leader else self.membership
            hosts = [self.find_host(v) for v in (*members.voters, *members.learners)]
            return leader and all(len(host.applied) >= last for host in hosts)

        self.run_until(is_everywhere)
        self.reference.check_complete()

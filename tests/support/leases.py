"""A leader, entry hosts and agents on a simulated lossy network and clock."""

import functools
import heapq
import itertools

from lycheegauge.internal.coordination import (
    deltas,
    directory,
    enforcement,
    followers,
    leases,
)
from lycheegauge.internal.protocol import agreement, freshness, intents, work

ZONES = ("dk-east-a", "dk-east-b", "dk-east-c")
PULL_INTERVAL_S = 0.5
BOUND_S = 3.0
LOAD = work.LoadReport("", "", "", 0, 0, 4, 1.0, 0.0)


class Cluster:
    """The decision objects of one leader, its entry hosts and agents.

    The generator decides whether a message is lost, duplicated or delayed. Parties
    in ``partitioned`` are silently isolated from all others, and pairs of parties in
    it from each other.
    """

    def __init__(self, generator, entries=9, agents=15, loss=0.0, slow=0.0):
        self.generator, self.loss, self.slow = generator, loss, slow
        self.now, self.partitioned, self.queue = 0.0, set(), []
        self.order = itertools.count()
        self.committed = self.applied = intents.Configuration()
        self.isolated = False
        self.delta_log = deltas.DeltaLog()
        self.committed_at = {0: 0.0}
        self.issuer = leases.ProofIssuer()
        self.directory = directory.Directory("leader")
        self.entries = [self.make_entry(i) for i in range(entries)]
        self.agents = [followers.AgentFollower() for _ in range(agents)]
        self.servers = [self.make_server(i) for i in range(agents)]
        self.zones = [server.availability_zone for server in self.servers]
        for i in range(entries):
            self.post(generator.uniform(0, 0.5), functools.partial(self.pull_entry, i))
        for i in range(agents):
            self.post(generator.uniform(0, 0.5), functools.partial(self.pull_agent, i))

    def make_entry(self, i):
        host = freshness.EntryHost(f"entry-{i}", ZONES[i % 3], "", "", "", "1")
        return followers.EntryFollower(host)

    def make_server(self, i):
        return freshness.BackendServer(
            f"server-{i}", "", ZONES[i % 3], "chat", "1", "1", 4, "fake"
        )

    def post(self, delay, action):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def send(self, ends, action):
        """Delivers a message on time, late, twice or not at all."""
        if self.partitioned.intersection(ends) or ends in self.partitioned:
            return
        if self.generator.random() < self.loss:
            return
        copies = 2 if self.generator.random() < self.slow else 1
        for _ in range(copies):
            late = self.generator.random() < self.slow
            # Messages in flight when a partition begins still arrive.
            self.post(self.generator.uniform(0.5, 6.0) if late else 0.002, action)

    def run_until(self, end, check=lambda: None):
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
            check()
        self.now = end
        check()

    def commit(self, *zones_out):
        revision = self.committed.revision + 1
        intent = intents.Intent(availability_zones_out=zones_out)
        self.committed = intents.Configuration(revision, intent)
        if not self.isolated:
            self.delta_log.add(self.applied, self.committed)
            self.applied = self.committed
        self.committed_at[revision] = self.now

    # The leader's replica applies commits immediately. An isolated leader still
    # communicates with entry hosts, while the quorum has another leader and commits
    # without it.

    def begin_read(self):
        read_id = self.issuer.begin_read(self.now)
        if read_id is not None:
            done = agreement.ReadDone(read_id, self.applied.revision)
            confirm = functools.partial(self.issuer.finish_read, done)
            self.send((), functools.partial(self.confirm_read, confirm))

    def confirm_read(self, confirm):
        if not self.isolated:
            self.send((), confirm)

    def pull_entry(self, i):
        self.post(PULL_INTERVAL_S, functools.partial(self.pull_entry, i))
        pull = self.entries[i].begin_pull("leader", self.now)
        ends = (f"entry-{i}", "leader")
        self.send(ends, lambda: self.answer_entry(i, pull, ends))

    def answer_entry(self, i, pull, ends):
        self.begin_read()
        held = self.applied
        state = leases.AppliedState(held.revision, held.revision, 0.0)
        proof = self.issuer.make_proof(state, self.now)
        full, delta = followers.choose_configuration_update(
            pull.message.revision, held, self.delta_log
        )
        update = self.directory.handle_pull(pull.message, self.now)
        reply = freshness.EntryPullReply(
            proof, full, self.directory.source, update, configuration_delta=delta
        )
        self.send(ends, lambda: self.entries[i].apply_reply(pull, reply, self.now))

    def pull_agent(self, i):
        self.post(PULL_INTERVAL_S, functools.partial(self.pull_agent, i))
        agent = self.agents[i]
        named = [int(host.name.split("-")[1]) for host in agent.entry_hosts]
        named = named or range(len(self.entries))
        entry = named[int(self.now / PULL_INTERVAL_S) % len(named)]
        request_number, pull = agent.begin_pull(self.servers[i], LOAD, self.now)
        ends = (f"agent-{i}", f"entry-{entry}")
        self.send(ends, lambda: self.answer_agent(i, entry, request_number, pull, ends))

    def answer_agent(self, i, entry, request_number, pull, ends):
        reply = self.entries[entry].handle_agent_pull(pull, self.now)
        self.send(
            ends, lambda: self.agents[i].apply_reply(request_number, reply, self.now)
        )

    # Invariants.

    def list_started(self, zone):
        """Lists the agents of a zone that may start new work now."""
        return [
            i
            for i, agent in enumerate(self.agents)
            if self.zones[i] == zone and agent.allows_start(self.now)
        ]

    def check_no_stale_start(self):
        """Checks that no work starts under a revision replaced over ``BOUND_S`` ago."""
        held = [entry.lease for entry in self.entries]
        held += [agent.lease for agent in self.agents]
        for lease in held:
            replaced_at = self.committed_at.get(lease.revision + 1)
            if replaced_at is not None and self.now > replaced_at + BOUND_S:
                assert not lease.allows_start(self.now), (self.now, lease.revision)
        for zone in self.committed.intent.availability_zones_out:
            if self.now > self.committed_at[self.committed.revision] + BOUND_S:
                assert not self.list_started(zone), (self.now, zone)

    def check_enforcement(self):
        revision = self.committed.revision
        enforced = enforcement.check_enforcement(
            revision,
            self.committed_at[revision],
            self.directory.list_applied(),
            self.now,
        )
        if enforced.in_force:
            held = [entry.lease for entry in self.entries]
            held += [agent.lease for agent in self.agents]
            for lease in held:
                assert lease.revision >= revision or not lease.allows_start(self.now)
        return enforced

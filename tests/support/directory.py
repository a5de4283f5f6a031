"""Agents, entry hosts and log replicas with lost, duplicated and reordered pulls."""

import dataclasses

from lycheegauge.internal.coordination import directory, memberviews
from lycheegauge.internal.protocol import freshness, work

LOAD = work.LoadReport("", "", "", 0, 0, 4, 1.0, 0.0)
REPLICAS, ENTRIES, AGENTS, MAX_TOMBSTONES = 3, 4, 6, 3


def make_server(i, start):
    return freshness.BackendServer(
        f"server-{i}", "", "a", "chat", f"{start:04d}", "1", 4, "fake"
    )


def make_host(i):
    return freshness.EntryHost(f"entry-{i}", "a", "", "", "", "1")


class Replica:
    """A directory with a record of its full content at each cursor."""

    def __init__(self, name):
        self.name, self.starts = name, 0
        self.history = {}
        self.restart()

    def restart(self):
        self.starts += 1
        source = f"{self.name} start {self.starts}"
        self.directory = directory.Directory(source, MAX_TOMBSTONES)

    def handle_pull(self, pull, now):
        update = self.directory.handle_pull(pull, now)
        content = list_members(self.directory)
        position = memberviews.DirectoryPosition(
            self.directory.source, self.directory.cursor
        )
        assert self.history.setdefault(position, content) == content
        return self.directory.source, update


def list_members(known):
    return {*known.list_backend_servers(), *known.list_entry_hosts()}


class Network:
    """All parties; ``in_flight`` holds undelivered messages, taken in any order."""

    def __init__(self, generator):
        self.generator, self.now, self.starts = generator, 0.0, AGENTS
        self.replicas = [Replica(f"replica-{i}") for i in range(REPLICAS)]
        self.views = [directory.MemberView() for _ in range(ENTRIES)]
        # Each observer pulls from one replica only and announces no agents.
        self.observers = [directory.MemberView() for _ in range(REPLICAS)]
        self.servers = {i: make_server(i, i) for i in range(AGENTS)}
        self.in_flight = []
        self.reached = {}

    def ask_replica(self, view, host, replica):
        requested_position = view.get_position(replica.name)
        announcements = view.make_announcements(replica.name, self.now)
        pull = freshness.EntryPull(
            host,
            0,
            requested_position.source,
            requested_position.cursor,
            announcements.attested,
            announcements.alive,
            announcements.applied,
        )

        def answer():
            source, update = replica.handle_pull(pull, self.now)

            def apply():
                if view.apply_update(
                    replica.name, requested_position, source, update, self.now
                ):
                    view.confirm_announcements(replica.name, announcements)

            self.in_flight.append(apply)

        self.in_flight.append(answer)

    def ask_entry(self, i, entry):
        pull = freshness.AgentPull(self.servers[i], 0, LOAD)
        view = self.views[entry]
        self.in_flight.append(lambda: view.handle_agent_pull(pull, self.now))

    def deliver(self, lossless=False):
        while self.in_flight:
            at = 0 if lossless else self.generator.randrange(len(self.in_flight))
            message = self.in_flight.pop(at)
            fate = 1.0 if lossless else self.generator.random()
            if fate < 0.15:
                continue
            if fate < 0.3 and len(self.in_flight) < 50:
                self.in_flight.append(message)
            message()
            if not lossless and self.generator.random() < 0.1:
                break

    def ask_all(self):
        for i in self.servers:
            self.ask_entry(i, (i + int(self.now * 2)) % ENTRIES)
        for j, view in enumerate(self.views):
            replica = self.replicas[int(self.now * 2) % REPLICAS]
            self.ask_replica(view, make_host(j), replica)
        for j, observer in enumerate(self.observers):
            self.ask_replica(observer, make_host(ENTRIES + j), self.replicas[j])

    def disturb(self):
        i = self.generator.randrange(AGENTS)
        action = self.generator.choice(["restart", "change", "leave", "die", "replica"])
        if action == "replica" and self.generator.random() < 0.3:
            self.generator.choice(self.replicas).restart()
        elif action == "die":
            self.servers.pop(i, None)
        elif action == "restart" or i not in self.servers:
            self.starts += 1
            self.servers[i] = make_server(i, self.starts)
        else:
            held = self.servers[i]
            self.servers[i] = dataclasses.replace(
                held,
                version=held.version + 1,
                capacity=held.capacity + 1,
                leaving=held.leaving or action == "leave",
            )

    def run(self, rounds, lossless=False):
        for _ in range(rounds):
            self.now += 0.5
            if not lossless and self.generator.random() < 0.5:
                self.disturb()
            self.ask_all()
            self.deliver(lossless)
            self.check_observers()

    def check_observers(self):
        """Checks that a view built from deltas is the full content at its cursor."""
        for replica, observer in zip(self.replicas, self.observers, strict=True):
            position = observer.get_position(replica.name)
            held = self.reached.get(position.source, 0)
            assert position.cursor >= held, (position, held)
            self.reached[position.source] = position.cursor
            if position.source and observer.count_sources() == 1:
                assert list_members(observer) == replica.history[position], position

"""Simulates entry hosts that send requests to servers, some of which fail them."""

import heapq
import itertools
import random

from lycheegauge.internal.coordination import (
    hostshares,
    outcomeregistry,
    serverchoice,
    serverevidence,
    serverselection,
    sharegrants,
)
from lycheegauge.internal.protocol import roster

PULL_S = 0.3
PULLS_MAX_PER_S = 75.0
ANSWER_S = 0.2
ATTEMPTS_MAX = 3
SLOTS = 5


def make_listing(number, born_ms=1):
    name = f"server-{number}"
    return roster.ServerListing(name, born_ms, 1, "s", f"{name}:1", "zone-a", SLOTS, 0)


class Host:
    def __init__(self, name, from_servers, interval):
        self.name = name
        self.share = hostshares.HostShareHolder(11.0)
        position, length = interval
        demand = self.share.make_demand(0.0)
        self.share.apply_share(
            roster.HostShare(demand.sequence, length, 1e6, 0.0, position), 0.0
        )
        self.choice = serverchoice.ServerChoice()
        self.evidence = serverevidence.ServerEvidence(from_servers, self.share)
        self.has_broken_link = False
        self.is_lost = False


class Fleet:
    """Hosts, servers and a leader; ``fails`` maps a server's number to its failures.

    Attributes:
        failed: Times and servers of the attempts that failed.
        sent: Times and servers of all attempts.
        answered: Number of requests that were answered.
    """

    def __init__(self, hosts, servers, from_servers=1, rate=1.0, seed=1):
        self.source = random.Random(seed)
        self.now = 0.0
        self.servers = {n: make_listing(n) for n in range(servers)}
        width = (1.0 - sharegrants.NEW_HOSTS_FRACTION) / hosts
        self.hosts = [
            Host(f"host-{n}", from_servers, (n * width, width)) for n in range(hosts)
        ]
        self.fails = {}
        self.rate = rate * servers
        self.refuses_connections = False
        self.leader = outcomeregistry.OutcomeRegistry()
        self.source_name = "first"
        self.has_leader = True
        self.failed, self.sent = [], []
        self.answered = self.requests = 0
        self.open_suspected, self.probes_at_once = {}, 0
        self._order = itertools.count()
        self._events = []
        self.set_roster()
        pull_s = max(PULL_S, hosts / PULLS_MAX_PER_S)
        for host in self.hosts:
            self.at(self.source.uniform(0, pull_s), self.pull, host, pull_s)
        self.at(0.0, self.arrive)

    def at(self, delay_s, function, *arguments):
        event = (self.now + delay_s, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_s):
        until = self.now + duration_s
        while self._events and self._events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = until

    def set_roster(self):
        for host in self.hosts:
            host.evidence.update_servers(list(self.servers.values()), self.now)

    def restart(self, number):
        born_ms = self.servers[number].born_ms + 1
        self.servers[number] = make_listing(number, born_ms)
        self.set_roster()

    def replace_leader(self):
        self.leader = outcomeregistry.OutcomeRegistry()
        self.source_name += "+"
        self.has_leader = True

    def pull(self, host, pull_s):
        self.at(pull_s, self.pull, host, pull_s)
        if not self.has_leader or host.is_lost:
            return
        outcomes = host.evidence.list_outcomes(self.now)
        self.leader.record_outcomes(host.name, outcomes, self.now)
        suspects = self.leader.list_suspects(self.servers.values, self.now)
        host.evidence.apply_suspects(self.source_name, suspects, self.now)

    def arrive(self):
        self.at(self.source.expovariate(self.rate), self.arrive)
        host = self.source.choice([item for item in self.hosts if not item.is_lost])
        self.requests += 1
        self.send(host, set())

    def select(self, host, tried):
        listings = list(self.servers.values())
        out = host.evidence.list_out(listings, self.now)
        candidates = []
        for listing in listings:
            key = serverevidence.get_key(listing)
            candidates.append(
                serverselection.Candidate(
                    listing,
                    host.choice.estimate(listing, SLOTS, self.now),
                    is_tried=listing.name in tried,
                    has_failed=host.choice.has_failed(listing.name, self.now),
                    is_out=key in out,
                    is_probe_due=key in out
                    and not tried
                    and host.evidence.is_probe_due(key, self.now),
                )
            )
        return serverselection.select_server(candidates, False, self.source).chosen

    def send(self, host, tried):
        chosen = self.select(host, tried)
        listing = chosen.server
        if chosen.is_probe_due:
            host.evidence.take_probe(listing, self.now)
        host.evidence.note_sent(listing, self.now)
        host.choice.note_sent(listing.name)
        number = int(listing.name.rpartition("-")[2])
        self.sent.append((self.now, number, host.name, chosen.is_probe_due))
        self.count_probes(number, chosen.is_probe_due)
        has_failed = self.source.random() < self.fails.get(number, 0.0)
        has_failed = has_failed or host.has_broken_link
        self.at(
            ANSWER_S, self.end, host, listing, self.now, tried, has_failed,
            chosen.is_probe_due,
        )  # fmt: skip

    def count_probes(self, number, is_probe, change=1):
        if is_probe:
            self.open_suspected[number] = self.open_suspected.get(number, 0) + change
            at_once = self.open_suspected[number]
            self.probes_at_once = max(self.probes_at_once, at_once)

    def end(self, host, listing, sent_at, tried, has_failed, is_probe):
        number = int(listing.name.rpartition("-")[2])
        self.count_probes(number, is_probe, -1)
        host.choice.note_ended(listing.name)
        if not has_failed:
            host.choice.note_success(listing.name)
            host.evidence.note_answer(listing, sent_at, self.now)
            self.answered += 1
        else:
            host.choice.note_failure(listing.name, self.now)
            host.evidence.note_failure(listing, self.now)
            self.failed.append((self.now, number, host.name, is_probe))
            if len(tried) + 1 < ATTEMPTS_MAX:
                self.send(host, {*tried, listing.name})
        host.evidence.note_ended(listing)

    # Findings.

    def list_out(self, host):
        out = host.evidence.list_out(list(self.servers.values()), self.now)
        return {int(name.rpartition("-")[2]) for name, _ in out}

    def count_sent(self, number, since, probes=None):
        return sum(
            at >= since and to == number and probes in (None, is_probe)
            for at, to, _, is_probe in self.sent
        )

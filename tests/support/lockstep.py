"""A lock-step group under load, with entry hosts that choose ranks by their own views.

All ranks run each pass together, so it takes as long as the part of its slowest rank.
"""

import collections
import dataclasses
import math
import random

from lycheegauge.internal.coordination import (
    coldratelimit,
    hostshares,
    requestwork,
    rosterview,
    servercandidates,
    serverchoice,
    serverevidence,
    serverstatements,
)
from lycheegauge.internal.protocol import controlcalls, freshness, roster, routetables

ZONES = ("zone-a", "zone-b", "zone-c")
SLOTS = 5
PROFILE = routetables.EngineProfile(
    step_s=0.00484, stream_step_s=0.00087, prompt_tokens_per_s=74_800.0,
    chunk_tokens=512, steps_per_event=7, memory_tokens=30_000,
    mean_prompt_tokens=900.0, mean_answer_tokens=160.0,
)  # fmt: skip
TODAY = servercandidates.Preferences()


def prefer(zone_tolerance=None):
    return servercandidates.Preferences("", zone_tolerance, True)


@dataclasses.dataclass(eq=False)
class Stream:
    host: int
    zone: str
    prompt: int
    answer: int
    stated: controlcalls.RequestSize
    arrived_at: float
    unread: int = 0
    written: int = 0
    work: requestwork.RequestWork | None = None


class Host:
    """An entry host's view of the group."""

    def __init__(self, number, preferences, servers, seed):
        self.name, self.zone = f"h{number}", ZONES[number % 3]
        self.source = random.Random(seed * 1000 + number)
        self.choice = serverchoice.ServerChoice()
        view = rosterview.RosterView(1e9)
        reply = roster.RosterReply(
            freshness.Proof(1, 0.0, 1.0), "", (), whole=True, servers=tuple(servers)
        )
        view.apply_reply(view.begin_pull(None, 0.0), reply, 0.0)
        self.choice.update_servers(servers)
        self.candidates = servercandidates.ServerCandidates(
            view, self.choice, serverstatements.ServerStatements(self.source),
            coldratelimit.ColdRateLimiter(), hostshares.HostShareHolder(10.0),
            lambda _: -1, dataclasses.replace(preferences, availability_zone=self.zone),
            serverevidence.ServerEvidence(0, hostshares.HostShareHolder(10.0)),
        )  # fmt: skip

    def choose(self, declared, size, now):
        return self.candidates.select(declared, (), size, self.source, now)


class Group:
    """Simulates the group with one policy; ``rate`` maps a time and a zone to 1/s.

    News of loads is sent every ``news_passes`` passes and known one pass later.

    Attributes:
        passes: The duration of each pass, in seconds.
        extra: How much longer the slowest rank's part was than the mean, for each pass.
        counts: Of all streams: ``waited`` although another rank had a free slot,
            ``in_zone`` of their host, ``overfull``: made a rank hold too many tokens.
    """

    def __init__(
        self, preferences, rate, ranks=24, hosts=12, paces=None, profile=PROFILE,
        spread=0.8, seed=1, news_passes=1,
    ):  # fmt: skip
        self.rate, self.spread, self.profile = rate, spread, profile
        self.source, self.news_passes = random.Random(seed), news_passes
        self.paces = paces or {}
        self.servers = [
            roster.ServerListing(
                f"s{n}", 1, 1, "s", f"10.0.0.{n}:1", ZONES[n % 3], SLOTS, 0.0,
                pace=self.paces.get(n, 0.0),
            )
            for n in range(ranks)
        ]  # fmt: skip
        layout = routetables.ExpertLayout(1, 1, 1, 1)
        self.declared = routetables.ServiceDeclaration(
            "s", 0.0, SLOTS, layout, engine=profile
        )
        self.model = requestwork.make_model(self.declared)
        self.hosts = [Host(n, preferences, self.servers, seed) for n in range(hosts)]
        self.open = collections.defaultdict(list)
        self.now, self.number, self.news = 0.0, 0, []
        self.passes, self.extra, self.counts = [], [], collections.Counter()

    def run(self, duration_s):
        self.arrivals = self.draw_arrivals(duration_s)
        while self.now < duration_s:
            self.exchange_news()
            self.run_pass()
        return self

    def exchange_news(self):
        names = {host.name for host in self.hosts}
        for host in self.hosts:
            for item in self.news:
                if item.host != host.name:
                    host.choice.news.apply(item, self.now)
            host.choice.update_hosts(names - {host.name}, self.now)
        self.number, self.news = self.number + 1, []
        if self.number % self.news_passes == 0:
            self.news = [
                roster.LoadNews(h.name, self.number, h.choice.list_own_requests())
                for h in self.hosts
            ]

    def run_pass(self):
        parts = [self.compute_part(n) for n in range(len(self.servers))]
        pass_s = self.profile.steps_per_event * self.profile.step_s + max(parts)
        self.passes.append(pass_s)
        self.extra.append(max(parts) - sum(parts) / len(parts))
        while self.arrivals and self.arrivals[0].arrived_at < self.now + pass_s:
            self.send(self.arrivals.popleft())
        for name, streams in self.open.items():
            for stream in streams[:SLOTS]:
                self.advance(name, stream)
        self.now += pass_s

    def compute_part(self, rank):
        """Returns the time that one rank's own part of the next pass takes."""
        profile, running = self.profile, self.open[f"s{rank}"][:SLOTS]
        chunks = profile.steps_per_event * profile.chunk_tokens
        read = min(chunks, sum(stream.unread for stream in running))
        per_event_s = profile.steps_per_event * profile.stream_step_s
        own_s = per_event_s * len(running) + read / profile.prompt_tokens_per_s
        return own_s * self.paces.get(rank, 1.0)

    def draw_arrivals(self, duration_s):
        """Draws the same requests for every policy."""
        drawn = []
        for zone in ZONES:
            hosts = [n for n, host in enumerate(self.hosts) if host.zone == zone]
            most = max(self.rate(t / 10, zone) for t in range(int(duration_s * 10)))
            at = self.source.expovariate(most)
            while at < duration_s:
                if self.source.random() * most < self.rate(at, zone):
                    drawn.append(self.draw_stream(self.source.choice(hosts), zone, at))
                at += self.source.expovariate(most)
        return collections.deque(sorted(drawn, key=lambda item: item.arrived_at))

    def draw_stream(self, host, zone, at):
        prompt = self.draw(self.profile.mean_prompt_tokens, 4.0)
        answer = self.draw(self.profile.mean_answer_tokens, 6.0)
        hint = max(1, int(answer * self.source.lognormvariate(0.0, 0.7)))
        stated = controlcalls.RequestSize(prompt, 1000, hint)
        return Stream(host, zone, prompt, answer, stated, at, prompt)

    def draw(self, mean, most):
        """Draws a length with the given mean; few are far longer."""
        sigma = math.sqrt(math.log(1.0 + self.spread**2))
        drawn = self.source.lognormvariate(-(sigma**2) / 2, sigma)
        return max(1, int(mean * min(most, drawn)))

    def send(self, stream):
        host, size = self.hosts[stream.host], self.model.expect_size(stream.stated)
        chosen = host.choose(self.declared, size, stream.arrived_at).chosen
        if chosen is None:
            return
        server, at_server = chosen.server, self.open[chosen.server.name]
        host.choice.note_sent(server.name)
        stream.work = requestwork.RequestWork(server.incarnation, size, self.model)
        host.choice.memory.add(stream.work)
        fewest = min(len(self.open[item.name]) for item in self.servers)
        held = sum(item.prompt + item.answer for item in at_server[:SLOTS])
        needed = held + stream.prompt + stream.answer
        self.counts.update(
            streams=1,
            waited=len(at_server) >= SLOTS > fewest,
            in_zone=server.availability_zone == stream.zone,
            overfull=needed > self.profile.memory_tokens,
        )
        at_server.append(stream)

    def advance(self, name, stream):
        choice = self.hosts[stream.host].choice
        if stream.unread:
            chunks = self.profile.steps_per_event * self.profile.chunk_tokens
            stream.unread = max(0, stream.unread - chunks)
            return
        stream.written += self.profile.steps_per_event
        choice.memory.note_events(stream.work, 1)
        if stream.written >= stream.answer:
            self.open[name] = [s for s in self.open[name] if s is not stream]
            choice.note_ended(name)
            choice.memory.remove(stream.work)

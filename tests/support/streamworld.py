"""Simulates entry hosts that admit streams to a lock-step group, in virtual time.

The group is that of a deployment with 72 ranks. The hosts' gates are the real ones; the
engines, the callers and the news between hosts are simple models. With ``is_new`` unset
the hosts decide as without stream admission: by slots and the forecast of their wait.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from lycheegauge.internal.coordination import (
    streamadmission,
    streamcapacity,
    streamgate,
    streamwaiting,
    waitforecast,
)
from lycheegauge.internal.daemons import loadsharing
from lycheegauge.internal.protocol import routetables

SERVERS, SLOTS = 72, 5
PROFILE = routetables.EngineProfile(
    0.00484, 0.00087, 0.0, 74_800.0, 512, 7, 0, 850.0, 161.0
)
TARGET_GAP_S = 0.12
LATENCY_S = 0.002
NEWS_TRANSIT_S = 0.01


@dataclasses.dataclass(frozen=True)
class Kind:
    name: str
    per_s: float
    target_first_s: float
    deadline_s: float
    priority: int


KINDS = (
    Kind("summaries", 46.2, 0.406, 8.127, 0),
    Kind("read-backs", 61.1, 0.407, 8.144, 1),
    Kind("night queries", 20.4, 0.807, 8.067, 2),
)


@dataclasses.dataclass(eq=False)
class Call:
    """A caller's request, over all its attempts."""

    kind: Kind
    at: float
    events: int
    hint: float
    attempts: int = 0
    attempt_at: float = 0.0
    readable_at: float = 0.0
    host: int = 0
    server: int = -1
    written: int = 0
    stream: object = None
    first_at: float | None = None
    last_at: float = 0.0
    is_late: bool = False
    outcome: str = ""

    @property
    def is_in_time(self):
        return self.outcome == "served" and not self.is_late


class World:
    def __init__(
        self, hosts=44, skew=2.7, is_new=True, seed=1, rates=None, pace=None,
        place=None, fractions=None, queue_length=64, length_spread=0.7,
    ):  # fmt: skip
        """``rates``, ``pace``, ``place`` and ``fractions`` are functions of time.

        They return the factor of a kind's rate, that of a pass, the host of a new
        request and a host's fraction of the limits.
        """
        self.source = random.Random(seed)
        self.hosts, self.skew, self.is_new = hosts, skew, is_new
        self.rates = rates or (lambda kind, now: 1.0)
        self.pace = pace or (lambda now: 1.0)
        self.place = place or (lambda now: self.source.randrange(hosts))
        self.fractions = fractions or (lambda host, now: 0.9 / hosts)
        self.length_spread = length_spread
        rules = streamgate.GateRules(
            PROFILE, TARGET_GAP_S, (0, 1, 2), queue_length, 1.5
        )
        self.gates = [
            streamgate.StreamGate(rules, random.Random(f"{seed} {n}"))
            for n in range(hosts)
        ]
        self.forecasts = [waitforecast.WaitForecast() for _ in range(hosts)]
        self.others = [0.0] * hosts
        self.news_s = [0.6] * hosts
        self.busy = [0] * SERVERS
        self.seen_busy = [list(self.busy) for _ in range(hosts)]
        self.queues = [collections.deque() for _ in range(SERVERS)]
        self.running, self.calls, self.highest = [], [], 0
        self.passes, self.opens, self.now = [], [], 0.0
        self.waiting = {}
        self.numbers = itertools.count()
        self.events = []

    def schedule(self, at, act, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), act, arguments))

    def run(self, duration_s, drain_s=12.0):
        self.ends_at = duration_s
        for kind in KINDS:
            self.schedule_arrival(kind)
        for host in range(self.hosts):
            self.schedule(self.source.uniform(0.0, 0.15), self.receive_news, host)
        self.schedule(0.0, self.end_pass, 0.034)
        while self.events and self.now < duration_s + drain_s:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)

    def schedule_arrival(self, kind):
        at = self.now
        # Thinning: the highest factor of a rate is 3.
        while True:
            at += self.source.expovariate(3.0 * kind.per_s)
            if self.source.random() * 3.0 < self.rates(kind, at):
                break
        if at < self.ends_at:
            self.schedule(at, self.arrive_first, kind)

    def arrive_first(self, kind):
        self.schedule_arrival(kind)
        spread = self.length_spread
        mean = 23.0 * self.source.lognormvariate(-spread * spread / 2, spread)
        events = max(1, min(92, round(mean)))
        # Right at the median, often far off.
        hint = events * self.source.lognormvariate(0.0, 0.5)
        call = Call(kind, self.now, events, min(92.0, max(1.0, hint)))
        self.calls.append(call)
        self.arrive(call)

    def arrive(self, call):
        call.attempts += 1
        call.attempt_at = self.now
        call.host = self.place(self.now)
        self.schedule(self.now + 2.0, self.abandon, call, call.attempts)
        if self.is_new:
            self.enter(call)
            return
        sampled = self.source.sample(range(SERVERS), 5)
        seen = self.seen_busy[call.host]
        server = min(sampled, key=lambda item: seen[item])
        wait_s = self.forecasts[call.host].predict_wait(seen[server] / SLOTS, SLOTS)
        after_s = waitforecast.compute_retry_after(wait_s, call.kind.target_first_s)
        if after_s is not None:
            self.refuse(call, after_s)
        else:
            self.send(call, server)

    # Admission.

    def view(self, host):
        return streamgate.GateView(
            SERVERS,
            SERVERS * SLOTS,
            self.others[host],
            self.fractions(host, self.now),
            self.news_s[host],
        )

    def enter(self, call):
        gate, kind = self.gates[call.host], call.kind
        call.stream = streamwaiting.Stream(
            next(self.numbers), kind.name, "", kind.priority,
            streamadmission.Work(850.0, call.hint), kind.target_first_s, TARGET_GAP_S,
            self.now, call.at + kind.deadline_s, 4000, lambda: str(id(call)),
        )  # fmt: skip
        ruling = gate.arrive(call.stream, self.view(call.host), self.now)
        for other in ruling.displaced:
            displaced = self.waiting.pop(other.number)
            after_s = gate.refuse(other, self.view(call.host), self.now)
            self.refuse(displaced, after_s)
        verdict = ruling.decision.verdict
        if verdict is streamadmission.Verdict.START:
            self.start(call)
        elif verdict is streamadmission.Verdict.REFUSE:
            expected_s = ruling.decision.expected_s
            after_s = gate.compute_retry_after(call.stream, expected_s, self.now)
            self.refuse(call, after_s)
        else:
            self.waiting[call.stream.number] = call
            until = call.stream.waits_until
            self.schedule(until, self.expire, call, call.stream)
            self.pump(call.host)

    def pump(self, host):
        gate = self.gates[host]
        for stream in gate.start_waiting(self.view(host), self.now):
            self.start(self.waiting.pop(stream.number))
        if len(gate.waiting):
            due_at = max(gate.get_next_renewal(), self.now + 0.05)
            self.schedule(due_at, self.pump, host)

    def start(self, call):
        seen = self.seen_busy[call.host]
        sampled = self.source.sample(range(SERVERS), 5)
        server = min(sampled, key=lambda item: seen[item])
        if seen[server] >= SLOTS:
            server = min(range(SERVERS), key=lambda item: seen[item])
        self.send(call, server)

    def expire(self, call, stream):
        if stream.is_waiting:
            gate = self.gates[call.host]
            self.waiting.pop(stream.number)
            after_s = gate.refuse(stream, self.view(call.host), self.now)
            self.refuse(call, after_s)

    def refuse(self, call, after_s):
        left_s = call.at + call.kind.deadline_s - self.now
        if call.attempts < 2 and after_s <= left_s / 3:
            call.attempt_at = self.now
            self.schedule(self.now + after_s, self.arrive, call)
        else:
            call.outcome = "refused"

    def receive_news(self, host):
        """Applies the other hosts' counts; they are sent often while crowded."""
        owns = [gate.own for gate in self.gates]
        seen = list(self.busy)
        self.schedule(self.now + NEWS_TRANSIT_S, self.apply_news, host, sum(owns), seen)
        is_crowded = sum(owns) > 60 or sum(self.busy) > SERVERS * SLOTS / 2
        interval_s = loadsharing.compute_interval(self.hosts - 1)
        self.news_s[host] = interval_s if is_crowded else 0.6
        if self.now < self.ends_at + 10.0:
            self.schedule(self.now + self.news_s[host], self.receive_news, host)

    def apply_news(self, host, total, seen):
        self.others[host] = total - self.gates[host].own
        self.seen_busy[host] = seen
        if self.is_new:
            self.pump(host)

    # Engines.

    def send(self, call, server):
        if self.busy[server] >= SLOTS:
            # It says that the request did not run, and another server gets it.
            server = min(range(SERVERS), key=lambda item: self.busy[item])
        call.server = server
        self.seen_busy[call.host][server] += 1
        self.queues[server].append(call)
        call.readable_at = self.now + LATENCY_S + 850 / PROFILE.prompt_tokens_per_s
        self.fill_slots(server)

    def fill_slots(self, server):
        while self.queues[server] and self.busy[server] < SLOTS:
            call = self.queues[server].popleft()
            self.busy[server] += 1
            self.running.append(call)
        opened = len(self.running) + sum(map(len, self.queues))
        self.highest = max(self.highest, opened)

    def end_pass(self, pass_s):
        self.passes.append((self.now, pass_s))
        self.opens.append((self.now, len(self.running)))
        gapped = collections.defaultdict(int)
        for call in tuple(self.running):
            if call.readable_at <= self.now - pass_s:
                self.write_event(call, pass_s, gapped)
        for host in gapped if self.is_new else ():
            if len(self.gates[host].waiting):
                self.pump(host)
        stream_s = PROFILE.steps_per_event * PROFILE.stream_step_s / SERVERS
        base_s = PROFILE.steps_per_event * PROFILE.step_s
        next_s = base_s + self.skew * stream_s * len(self.running)
        next_s *= self.pace(self.now) * self.source.uniform(0.96, 1.04)
        if self.now < self.ends_at + 12.0:
            self.schedule(self.now + next_s, self.end_pass, next_s)

    def write_event(self, call, pass_s, gapped):
        call.written += 1
        if call.first_at is None:
            call.first_at = self.now
            call.is_late = self.now - call.at > call.kind.target_first_s
        else:
            gap_s = self.now - call.last_at
            call.is_late = call.is_late or gap_s > TARGET_GAP_S
            self.gates[call.host].meter.note_gap(gap_s, 1, self.now)
            gapped[call.host] += 1
        call.last_at = self.now
        if call.written >= call.events:
            self.end(call, "served")
        elif self.now > call.at + call.kind.deadline_s:
            self.end(call, "abandoned")

    def abandon(self, call, attempt):
        if call.attempts != attempt or call.outcome or call.first_at is not None:
            return
        if self.now - call.attempt_at < 1.99:
            return
        self.end(call, "abandoned")

    def end(self, call, outcome):
        call.outcome = outcome
        if call in self.running:
            self.running.remove(call)
            self.busy[call.server] -= 1
            self.forecasts[call.host].note_served(self.now - call.attempt_at)
            self.fill_slots(call.server)
        elif call.server >= 0:
            self.queues[call.server].remove(call)
        if call.stream is not None:
            self.waiting.pop(call.stream.number, None)
            self.gates[call.host].leave(call.stream, self.now)
            self.pump(call.host)

    # Results.

    def rate(self, kind, is_counted, since=0.0, until=1e9):
        chosen = [
            call
            for call in self.calls
            if call.kind.name == kind and since <= call.at < until
        ]
        return sum(map(is_counted, chosen)) / max(1, len(chosen))

    def summarise(self, since=0.0, until=1e9):
        return {
            kind.name: (
                round(self.rate(kind.name, lambda c: c.is_in_time, since, until), 3),
                round(
                    self.rate(kind.name, lambda c: c.outcome == "served", since, until),
                    3,
                ),
            )
            for kind in KINDS
        }


assert streamcapacity

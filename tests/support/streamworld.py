"""Simulates entry hosts that admit streams to a lock-step group, in virtual time.

The group has 72 ranks. The hosts' gates are the real ones; engines, callers and the
news between hosts are simple models. With ``is_new`` unset the hosts decide as without
stream admission: by slots and the forecast of their wait.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from lycheegauge.internal.coordination import (
    streamadmission,
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
BASE_S, STREAM_S = 7 * PROFILE.step_s, 7 * PROFILE.stream_step_s / SERVERS
TARGET_GAP_S, PATIENCE_S, PULL_S, NEWS_TRANSIT_S = 0.12, 2.0, 0.6, 0.01
PREFILL_S = 0.002 + 850 / PROFILE.prompt_tokens_per_s
START, REFUSE = streamadmission.Verdict.START, streamadmission.Verdict.REFUSE
Kind = collections.namedtuple("Kind", "name per_s target_first_s deadline_s priority")
KINDS = (
    Kind("summaries", 46.2, 0.406, 8.127, 0),
    Kind("read-backs", 61.1, 0.407, 8.144, 1),
    Kind("night queries", 20.4, 0.807, 8.067, 2),
)


@dataclasses.dataclass(eq=False)
class Call:
    """A caller's request, over both of its attempts."""

    kind: Kind
    at: float
    events: int
    hint: float
    attempts: int = 0
    sent_at: float = 0.0
    host: int = 0
    server: int = -1
    written: int = 0
    stream: object = None
    last_at: float = 0.0
    is_late: bool = False
    outcome: str = ""

    @property
    def is_in_time(self):
        return self.outcome == "served" and not self.is_late


class World:
    """``rate``, ``pace``, ``place`` and ``fraction`` are functions of time.

    They return the factor of a kind's rate and of a pass, the host of a new request,
    and a host's fraction of the limits.
    """

    def __init__(
        self, skew=2.7, is_new=True, seed=1, hosts=44, rate=lambda kind, now: 1.0,
        pace=lambda now: 1.0, place=None, fraction=lambda host, now: 0.9 / 44,
    ):  # fmt: skip
        self.source = random.Random(seed)
        self.skew, self.is_new, self.hosts = skew, is_new, hosts
        self.rate, self.pace, self.fraction = rate, pace, fraction
        self.place = place or (lambda now: self.source.randrange(hosts))
        rules = streamgate.GateRules(PROFILE, TARGET_GAP_S, (0, 1, 2), 64, 1.5)
        self.gates = [
            streamgate.StreamGate(rules, random.Random(f"{seed} {n}"))
            for n in range(hosts)
        ]
        self.forecasts = [waitforecast.WaitForecast() for _ in range(hosts)]
        self.others, self.news_s = [0.0] * hosts, [PULL_S] * hosts
        self.busy = [0] * SERVERS
        self.seen = [[0] * SERVERS for _ in range(hosts)]
        self.queues = [collections.deque() for _ in range(SERVERS)]
        self.running, self.calls, self.opens = [], [], []
        self.waiting, self.events = {}, []
        self.now, self.numbers = 0.0, itertools.count()

    def schedule(self, at, act, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), act, arguments))

    def run(self, duration_s, drain_s=12.0):
        self.ends_at = duration_s
        for kind in KINDS:
            self.schedule_arrival(kind)
        for host in range(self.hosts):
            self.schedule(self.source.uniform(0.0, 0.15), self.send_news, host)
        self.schedule(0.0, self.end_pass, BASE_S)
        while self.now < duration_s + drain_s:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)

    # Callers.

    def schedule_arrival(self, kind):
        at = self.now + self.source.expovariate(3.0 * kind.per_s)
        # Thinning: the highest factor of a rate is 3.
        while self.source.random() * 3.0 >= self.rate(kind, at):
            at += self.source.expovariate(3.0 * kind.per_s)
        if at < self.ends_at:
            self.schedule(at, self.begin, kind)

    def begin(self, kind):
        self.schedule_arrival(kind)
        mean = 23.0 * self.source.lognormvariate(-0.245, 0.7)
        events = max(1, min(92, round(mean)))
        # Right at the median, often far off.
        hint = events * self.source.lognormvariate(0.0, 0.5)
        self.calls.append(Call(kind, self.now, events, min(92.0, max(1.0, hint))))
        self.arrive(self.calls[-1])

    def arrive(self, call):
        call.attempts += 1
        call.host = self.place(self.now)
        self.schedule(self.now + PATIENCE_S, self.abandon, call, call.attempts)
        if self.is_new:
            self.enter(call)
            return
        server = self.choose(call.host)
        forecast, seen = self.forecasts[call.host], self.seen[call.host][server]
        wait_s = forecast.predict_wait(seen / SLOTS, SLOTS)
        after_s = waitforecast.compute_retry_after(wait_s, call.kind.target_first_s)
        if after_s is not None:
            self.refuse(call, after_s)
        else:
            self.send(call, server)

    def refuse(self, call, after_s):
        left_s = call.at + call.kind.deadline_s - self.now
        if call.attempts < 2 and after_s <= left_s / 3:
            self.schedule(self.now + after_s, self.arrive, call)
        else:
            call.outcome = "refused"

    def abandon(self, call, attempt):
        is_held = call.server >= 0 or (call.stream and call.stream.is_waiting)
        if call.attempts == attempt and is_held and not (call.outcome or call.written):
            self.end(call, "abandoned")

    # Admission.

    def view(self, host):
        fraction = self.fraction(host, self.now)
        return streamgate.GateView(
            SERVERS, SERVERS * SLOTS, self.others[host], fraction, self.news_s[host]
        )

    def enter(self, call):
        gate, kind, view = self.gates[call.host], call.kind, self.view(call.host)
        stream = call.stream = streamwaiting.Stream(
            next(self.numbers), kind.name, "", kind.priority,
            streamadmission.Work(850.0, call.hint), kind.target_first_s, TARGET_GAP_S,
            self.now, call.at + kind.deadline_s, 4000, lambda: str(id(call)),
        )  # fmt: skip
        ruling = gate.arrive(stream, view, self.now)
        for other in ruling.displaced:
            self.stop_waiting(other)
        if ruling.decision.verdict is START:
            self.send(call, self.choose(call.host))
        elif ruling.decision.verdict is REFUSE:
            expected_s = ruling.decision.expected_s
            self.refuse(call, gate.compute_retry_after(stream, expected_s, self.now))
        else:
            self.waiting[stream.number] = call
            self.schedule(stream.waits_until, self.expire, stream)
            self.pump(call.host)

    def pump(self, host):
        gate = self.gates[host]
        for stream in gate.start_waiting(self.view(host), self.now):
            if stream.is_open:
                call = self.waiting.pop(stream.number)
                self.send(call, self.choose(host))
            else:
                self.stop_waiting(stream)
        if len(gate.waiting):
            due_at = max(gate.get_next_renewal(), self.now + 0.05)
            self.schedule(due_at, self.pump, host)

    def expire(self, stream):
        if stream.is_waiting:
            self.stop_waiting(stream)

    def stop_waiting(self, stream):
        call = self.waiting.pop(stream.number)
        gate, view = self.gates[call.host], self.view(call.host)
        self.refuse(call, gate.refuse(stream, view, self.now))

    def send_news(self, host):
        """Sends the other hosts' counts to a host; often while it is crowded."""
        total = sum(gate.own for gate in self.gates)
        at = self.now + NEWS_TRANSIT_S
        self.schedule(at, self.apply_news, host, total, list(self.busy))
        is_crowded = total > 60 or sum(self.busy) > SERVERS * SLOTS / 2
        often_s = loadsharing.compute_interval(self.hosts - 1)
        self.news_s[host] = often_s if is_crowded else PULL_S
        self.schedule(self.now + self.news_s[host], self.send_news, host)

    def apply_news(self, host, total, seen):
        self.others[host] = total - self.gates[host].own
        self.seen[host] = seen
        self.pump(host)

    # Engines.

    def choose(self, host):
        sampled = self.source.sample(range(SERVERS), 5)
        return min(sampled, key=lambda item: self.seen[host][item])

    def send(self, call, server):
        if self.busy[server] >= SLOTS:
            # It says that the request did not run, and another server gets it.
            server = min(range(SERVERS), key=lambda item: self.busy[item])
        call.server, call.sent_at = server, self.now
        self.seen[call.host][server] += 1
        self.queues[server].append(call)
        self.fill_slots(server)

    def fill_slots(self, server):
        while self.queues[server] and self.busy[server] < SLOTS:
            self.busy[server] += 1
            self.running.append(self.queues[server].popleft())

    def end_pass(self, pass_s):
        self.opens.append((self.now, len(self.running)))
        for call in tuple(self.running):
            if call.sent_at + PREFILL_S <= self.now - pass_s:
                self.write_event(call)
        for host, gate in enumerate(self.gates):
            if len(gate.waiting):
                self.pump(host)
        next_s = BASE_S + self.skew * STREAM_S * len(self.running)
        next_s *= self.pace(self.now) * self.source.uniform(0.96, 1.04)
        self.schedule(self.now + next_s, self.end_pass, next_s)

    def write_event(self, call):
        call.written += 1
        gap_s = self.now - (call.last_at if call.written > 1 else call.at)
        target_s = TARGET_GAP_S if call.written > 1 else call.kind.target_first_s
        call.is_late = call.is_late or gap_s > target_s
        call.last_at = self.now
        if call.written > 1:
            self.gates[call.host].meter.note_gap(gap_s, 1, self.now)
        if call.written >= call.events:
            self.end(call, "served")
        elif self.now > call.at + call.kind.deadline_s:
            self.end(call, "abandoned")

    def end(self, call, outcome):
        call.outcome = outcome
        if call in self.running:
            self.running.remove(call)
            self.busy[call.server] -= 1
            self.forecasts[call.host].note_served(self.now - call.sent_at)
            self.fill_slots(call.server)
        elif call.server >= 0:
            self.queues[call.server].remove(call)
        if call.stream is not None:
            self.waiting.pop(call.stream.number, None)
            self.gates[call.host].leave(call.stream, self.now)
            self.pump(call.host)

    def summarise(self, since, until):
        """Returns the fractions in time and served, by kind."""
        figures = {}
        for kind in KINDS:
            calls = [c for c in self.calls if c.kind is kind and since <= c.at < until]
            in_time = sum(call.is_in_time for call in calls) / len(calls)
            served = sum(call.outcome == "served" for call in calls) / len(calls)
            figures[kind.name] = round(in_time, 3), round(served, 3)
        return figures

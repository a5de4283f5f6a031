"""Simulates nine entry hosts that saturate one fake backend server.

The server can run few requests after a start, and more with each completion.
Above its capacity it slows down, and after some time at more than twice its
capacity it fails. It may become cold without reporting it.
"""

import dataclasses
import heapq
import itertools

from lycheegauge.internal.coordination import admission, execution, executionmessages
from lycheegauge.internal.protocol import work

COLD_BEARS = 1
FULL_BEARS = 32
WARM_UP = 0.5
FIRST_TOKEN_S = 0.2
COLD_FACTOR = 10.0
RUN_S = 0.5
REBOOT_S = 5.0
FALL_AFTER_S = 5.0
MOST_SLOWED = 3.0
RETRY_S = 0.05
HOSTS = 9


@dataclasses.dataclass
class Figures:
    """The results of one trace; times in seconds."""

    completed: int = 0
    lost: int = 0
    falls: int = 0
    overruns: int = 0
    starts: int = 0
    full_at_s: float = -1.0
    excess_s: float = 0.0
    given_back: int = 0


class ColdServer:
    """Drives an agent's core with a seeded trace.

    Args:
        settings: The admission settings under test.
        source: The random source of arrival times.
        turns_s: When the server becomes cold without reporting it.
        per_host: How many requests each entry host tries to keep running.
    """

    def __init__(self, settings, source, turns_s=(), per_host=8):
        self.agent = execution.AgentCore("s", "1", "boot-0", settings)
        self.source, self.now = source, 0.0
        self.queue, self.counter = [], itertools.count()
        self.warmth, self.turned, self.boot = 0.0, False, 0
        self.turned_at_s, self.over_since_s = 0.0, None
        self.figures = Figures()
        self.settings = settings
        for _ in range(HOSTS * per_host):
            self.later(source.uniform(0, 0.5), lambda: self.arrive())
        for turn_s in turns_s:
            self.later(turn_s, self.turn_cold)

    @property
    def bears(self):
        return min(COLD_BEARS + WARM_UP * self.warmth, FULL_BEARS)

    def later(self, delay_s, action):
        heapq.heappush(self.queue, (self.now + delay_s, next(self.counter), action))

    def run(self, until_s):
        while self.queue[0][0] <= until_s:
            then_s, _, action = heapq.heappop(self.queue)
            self.watch(then_s - self.now)
            self.now = then_s
            action()
        return self.figures

    def watch(self, passed_s):
        running = self.agent.running
        self.figures.excess_s += passed_s * max(0.0, running - self.bears)
        if running <= 2 * self.bears:
            self.over_since_s = None
        elif self.over_since_s is None:
            self.over_since_s = self.now
        elif self.now - self.over_since_s > FALL_AFTER_S:
            self.fall()

    def turn_cold(self):
        self.warmth, self.turned, self.turned_at_s = 0.0, True, self.now

    def arrive(self):
        name = f"r{next(self.counter)}"
        request = work.Request(name, "o", "assistant", b"", name, 30.0)
        order = work.WorkOrder(request, 1, "host", 1)
        effects = self.agent.take_order(order, self.now, True)
        self.perform(effects)
        if executionmessages.StartEngine(order) in effects:
            self.start(name)

    def perform(self, effects):
        for effect in effects:
            if isinstance(effect, executionmessages.Reply) and effect.reply.refusal:
                given_back = effect.reply.refusal.run_state is work.RunState.UNKNOWN
                self.figures.given_back += given_back
                delay_s = self.source.uniform(0.5, 1.5) * RETRY_S
                self.later(delay_s, self.arrive)

    def start(self, name):
        self.figures.starts += 1
        if self.agent.running > self.bears:
            self.figures.overruns += 1
        factor = COLD_FACTOR if self.turned and self.warmth < 4 else 1.0
        load = min(max(1.0, self.agent.running / self.bears), MOST_SLOWED)
        first_s = FIRST_TOKEN_S * factor * load
        boot, started_s = self.boot, self.now
        self.later(first_s, lambda: self.output(name, boot))
        self.later(first_s + RUN_S * load, lambda: self.end(name, boot, started_s))

    def output(self, name, boot):
        if boot == self.boot:
            chunk = work.AnswerChunk(name, 1, 0, 0, ("token",))
            self.agent.take_engine_chunk(chunk, self.now)

    def end(self, name, boot, started_s):
        if boot != self.boot:
            return
        if not self.agent.take_engine_end(name, 1, self.now):
            return
        self.figures.completed += 1
        self.warmth += started_s >= self.turned_at_s
        if self.figures.full_at_s < 0 and not self.agent.limit.is_cold:
            self.figures.full_at_s = self.now
        self.arrive()

    def fall(self):
        self.figures.falls += 1
        self.figures.lost += self.agent.running
        waiting = self.agent.running
        self.boot += 1
        self.warmth, self.turned, self.over_since_s = 0.0, False, None
        self.agent.take_boot_id(f"boot-{self.boot}", self.now)
        # Entry hosts get "no backend server" and retry after the reboot.
        for _ in range(waiting):
            self.later(REBOOT_S + self.source.uniform(0, 0.5), self.arrive)


def build_settings(cold_limit, full_limit):
    return admission.AdmissionSettings(
        cold_limit, full_limit, first_token_target_s=0.86, growth=WARM_UP
    )

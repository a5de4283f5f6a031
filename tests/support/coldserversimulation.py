"""Simulates nine entry hosts that saturate one fake backend server.

The server can run few requests after a start, and more with each completion.
Above its capacity it slows down, and after some time at more than twice its
capacity it fails. It may become cold without reporting it.
"""

import dataclasses
import heapq
import itertools

from lycheegauge.internal.coordination import admission, agentcore, agenteffects
from lycheegauge.internal.protocol import work

COLD_CAPACITY = 1
FULL_CAPACITY = 32
WARM_UP = 0.5
FIRST_TOKEN_S = 0.2
COLD_FACTOR = 10.0
RUN_S = 0.5
REBOOT_S = 5.0
FAIL_AFTER_S = 5.0
MAX_SLOWDOWN = 3.0
RETRY_S = 0.05
HOSTS = 9


@dataclasses.dataclass
class TraceResults:
    """The results of one trace; times in seconds."""

    completed: int = 0
    lost: int = 0
    failures: int = 0
    overloaded_starts: int = 0
    starts: int = 0
    warm_at_s: float = -1.0
    excess_s: float = 0.0
    returned: int = 0


class ColdServer:
    """Drives an agent's core with a seeded trace.

    Args:
        settings: The admission settings under test.
        source: The random source of arrival times.
        cold_at_s: When the server becomes cold without reporting it.
        per_host: How many requests each entry host tries to keep running.
    """

    def __init__(self, settings, source, cold_at_s=(), per_host=8):
        self.agent = agentcore.AgentCore("s", "1", "boot-0", settings)
        self.source, self.now = source, 0.0
        self.queue, self.counter = [], itertools.count()
        self.warmth, self.became_cold, self.boot = 0.0, False, 0
        self.became_cold_at_s, self.overloaded_since_s = 0.0, None
        self.figures = TraceResults()
        self.settings = settings
        for _ in range(HOSTS * per_host):
            self.schedule(source.uniform(0, 0.5), lambda: self.arrive())
        for at_s in cold_at_s:
            self.schedule(at_s, self.become_cold)

    @property
    def capacity(self):
        return min(COLD_CAPACITY + WARM_UP * self.warmth, FULL_CAPACITY)

    def schedule(self, delay_s, action):
        heapq.heappush(self.queue, (self.now + delay_s, next(self.counter), action))

    def run(self, until_s):
        while self.queue[0][0] <= until_s:
            event_at_s, _, action = heapq.heappop(self.queue)
            self.track_load(event_at_s - self.now)
            self.now = event_at_s
            action()
        return self.figures

    def track_load(self, elapsed_s):
        running = self.agent.running
        self.figures.excess_s += elapsed_s * max(0.0, running - self.capacity)
        if running <= 2 * self.capacity:
            self.overloaded_since_s = None
        elif self.overloaded_since_s is None:
            self.overloaded_since_s = self.now
        elif self.now - self.overloaded_since_s > FAIL_AFTER_S:
            self.fail()

    def become_cold(self):
        self.warmth, self.became_cold, self.became_cold_at_s = 0.0, True, self.now

    def arrive(self):
        name = f"r{next(self.counter)}"
        request = work.Request(name, "o", "assistant", b"", name, 30.0)
        order = work.WorkOrder(request, 1, "host", 1)
        effects = self.agent.handle_order(order, self.now, True)
        self.perform(effects)
        if agenteffects.StartRun(order) in effects:
            self.start(name)

    def perform(self, effects):
        for effect in effects:
            if isinstance(effect, agenteffects.Reply) and effect.reply.refusal:
                returned = effect.reply.refusal.run_state is work.RunState.UNKNOWN
                self.figures.returned += returned
                delay_s = self.source.uniform(0.5, 1.5) * RETRY_S
                self.schedule(delay_s, self.arrive)

    def start(self, name):
        self.figures.starts += 1
        if self.agent.running > self.capacity:
            self.figures.overloaded_starts += 1
        factor = COLD_FACTOR if self.became_cold and self.warmth < 4 else 1.0
        load = min(max(1.0, self.agent.running / self.capacity), MAX_SLOWDOWN)
        first_s = FIRST_TOKEN_S * factor * load
        boot, started_s = self.boot, self.now
        self.schedule(first_s, lambda: self.output(name, boot))
        self.schedule(first_s + RUN_S * load, lambda: self.end(name, boot, started_s))

    def output(self, name, boot):
        if boot == self.boot:
            chunk = work.AnswerChunk(name, 1, 0, 0, ("token",))
            self.agent.handle_engine_chunk(chunk, self.now)

    def end(self, name, boot, started_s):
        if boot != self.boot:
            return
        if not self.agent.handle_engine_end(name, 1, self.now):
            return
        self.figures.completed += 1
        self.warmth += started_s >= self.became_cold_at_s
        if self.figures.warm_at_s < 0 and not self.agent.limit.is_cold:
            self.figures.warm_at_s = self.now
        self.arrive()

    def fail(self):
        self.figures.failures += 1
        self.figures.lost += self.agent.running
        waiting = self.agent.running
        self.boot += 1
        self.warmth, self.became_cold, self.overloaded_since_s = 0.0, False, None
        self.agent.handle_boot_id(f"boot-{self.boot}", self.now)
        # Entry hosts get "no backend server" and retry after the reboot.
        for _ in range(waiting):
            self.schedule(REBOOT_S + self.source.uniform(0, 0.5), self.arrive)


def build_settings(cold_limit, full_limit):
    return admission.AdmissionSettings(
        cold_limit, full_limit, first_token_target_s=0.86, limit_increase=WARM_UP
    )

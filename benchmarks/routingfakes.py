"""Simulated clock, backend servers and entry hosts for the routing benchmark."""

import bisect
import collections
import dataclasses
import heapq
import random

from returns import pipeline

from lycheegauge.internal.coordination import queueing, retries, routing
from lycheegauge.internal.protocol import freshness, work

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE = "drafting"
BLOCK_TOKENS = 64
PREFILL_TOKENS_PER_S = 5000.0
TOKEN_S = 0.02
REPORT_LAG_S = 0.5
EVENT_LAG_S = 0.5
EVENT_LOSS = 0.1
CACHE_BLOCKS = 256


class Clock:
    """A simulated clock that runs callbacks in the order of their times."""

    def __init__(self):
        self.now = 0.0
        self._queue = []
        self._count = 0

    def after(self, delay, callback, *arguments):
        """Schedules a callback ``delay`` seconds from now."""
        self._count += 1
        entry = (self.now + delay, self._count, callback, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, until):
        """Runs all callbacks that are due up to the time ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)


class SimulatedServer:
    """A simulated backend server and agent with a limit, a speed and a prefix cache."""

    def __init__(self, clock, index, capacity=8, slowness=1.0, cold=False):
        self.clock = clock
        self.name = f"server-{index}"
        self.zone = ZONES[index % len(ZONES)]
        self.capacity = capacity
        self.slowness = slowness
        self.service_s = 1.5
        self.boot = 0
        self.is_zone_out = False
        self.running = 0
        self.cache = collections.OrderedDict()
        self.sequence = 0
        self.times, self.counts = [0.0], [0]
        self.limit = capacity
        self.done = 0
        if cold:
            self.restart()

    def restart(self):
        """Restarts the server cold: a limit of 1 and an empty cache."""
        self.boot += 1
        self.limit, self.done, self.sequence = 1, 0, 0
        self.cache.clear()

    def describe(self):
        """Returns the server as it announces itself."""
        return freshness.BackendServer(
            self.name,
            "",
            self.zone,
            SERVICE,
            "1",
            f"boot-{self.boot}",
            self.capacity,
            "fake",
        )

    def report(self):
        """Returns a load report that is ``REPORT_LAG_S`` old."""
        measured_at = self.clock.now - REPORT_LAG_S
        running = self.counts[max(0, bisect.bisect_right(self.times, measured_at) - 1)]
        speed = self.capacity / self.service_s
        cold = self.limit < self.capacity
        return work.LoadReport(
            self.name,
            "1",
            f"boot-{self.boot}",
            running,
            0,
            self.limit,
            speed,
            REPORT_LAG_S,
            cold,
        )

    def admit(self):
        """Returns the reason for which the agent refuses, or ``None`` if it accepts."""
        if self.is_zone_out:
            return work.RefusalReason.AVAILABILITY_ZONE_OUT
        if self.running >= self.limit:
            cold = self.limit < self.capacity
            reasons = work.RefusalReason
            return reasons.COLD_LIMIT if cold else reasons.OVERLOADED
        return None

    def start(self, request, tokens):
        """Returns the seconds to the first token and to the end."""
        cached = 0
        for block in request.prefix_blocks:
            if block not in self.cache:
                break
            cached += 1
        prompt = request.prompt_tokens - cached * BLOCK_TOKENS
        load_factor = 1.0 + self.running / self.capacity
        cold = 2.0 if self.limit < self.capacity else 1.0
        factor = self.slowness * load_factor * cold
        first_s = prompt / PREFILL_TOKENS_PER_S * factor
        self.count(1)
        return first_s, first_s + tokens * TOKEN_S * factor

    def finish(self, seconds):
        """Ends a request; a cold server raises its limit by 1 every two requests."""
        self.count(-1)
        self.done += 1
        self.service_s += (seconds - self.service_s) / 8
        if self.limit < self.capacity and self.done % 2 == 0:
            self.limit += 1

    def count(self, change):
        """Records the number of running requests over time."""
        self.running += change
        self.times.append(self.clock.now)
        self.counts.append(self.running)

    def store(self, blocks):
        """Stores blocks in the prefix cache and returns the cache event."""
        stored = [block for block in blocks if block not in self.cache]
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > CACHE_BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        self.sequence += 1
        return work.CacheEvent(
            self.name,
            f"boot-{self.boot}",
            self.sequence - 1,
            tuple(stored),
            tuple(evicted),
        )


@dataclasses.dataclass
class RequestRecord:
    """The outcome of one request; times are in seconds, -1 if not reached."""

    organisation: str
    arrived_at: float
    tokens: int
    first_token_at: float = -1.0
    ended_at: float = -1.0
    refused: str = ""
    attempts: int = 0


class SimulatedEntryHost:
    """An entry host: router, queue and retries in front of the simulated servers."""

    def __init__(self, clock, index, policy, servers, records, seed):
        self.clock = clock
        self.random = random.Random(seed * 1000 + index)
        self.zone = ZONES[index % len(ZONES)]
        self.servers = {server.name: server for server in servers}
        self.records = records
        self.router = routing.Router(policy, self.zone, self.random)
        self.queue = queueing.FairQueue()
        self.budget = retries.RetryBudget()
        self.backoff = retries.Backoff(self.random)
        self.tried = collections.defaultdict(frozenset)
        self.deadlines = {}
        self.retries = collections.Counter()
        self.peers = [self]
        self.set_zones_out(())
        clock.after(0.05 * self.random.random(), self.tick)

    def set_zones_out(self, zones_out):
        """Applies a new configuration."""
        described = [server.describe() for server in self.servers.values()]
        self.router.set_backend_servers(described, zones_out)
        self.dispatch()

    def tick(self):
        """Expires queued requests, probes one stale server and sends what it can."""
        for refusal in self.queue.expire(self.clock.now):
            self.refuse(refusal)
        for server in self.router.list_stale(self.clock.now, 1):
            self.router.apply_load_report(
                self.servers[server.name].report(), self.clock.now
            )
        self.dispatch()
        self.clock.after(0.05, self.tick)

    def arrive(self, request):
        """Accepts a request from its caller."""
        self.deadlines[request.request_id] = self.clock.now + request.deadline_s
        self.enqueue(request)

    def enqueue(self, request):
        """Queues a request or a retry."""
        remaining_s = self.deadlines[request.request_id] - self.clock.now
        request = dataclasses.replace(request, deadline_s=remaining_s)
        outcome = self.queue.add(request, self.clock.now)
        if pipeline.is_successful(outcome):
            for refusal in outcome.unwrap():
                self.refuse(refusal)
        else:
            self.refuse(outcome.failure())
        self.dispatch()

    def refuse(self, refusal):
        """Records the final refusal of a request."""
        record = self.records[refusal.request_id]
        record.refused, record.ended_at = refusal.reason.value, self.clock.now

    def dispatch(self):
        """Sends queued requests while the router finds a server with headroom."""
        while (request := self.queue.peek()) is not None:
            exclude = self.tried[request.request_id]
            choice = self.router.choose(request, exclude, self.clock.now)
            if choice is None:
                return
            self.send(self.queue.dequeue(self.clock.now), choice.backend_server.name)

    def send(self, request, name):
        """Sends one attempt."""
        record = self.records[request.request_id]
        record.attempts += 1
        self.router.note_sent(name, request, self.clock.now)
        is_same_zone = self.servers[name].zone == self.zone
        delay = 0.0002 if is_same_zone else 0.001
        self.clock.after(
            delay, self.handle_arrival, request, name, delay, self.clock.now
        )

    def handle_arrival(self, request, name, delay, sent_at):
        """Handles the arrival of an attempt at its server, which may refuse it."""
        server = self.servers[name]
        refused = server.admit()
        if refused is not None:
            self.clock.after(delay, self.handle_refusal, request, name, refused)
            return
        record = self.records[request.request_id]
        began_at = self.clock.now
        first_s, whole_s = server.start(request, record.tokens)
        event = server.store(request.prefix_blocks)
        for peer in self.peers:
            if self.random.random() >= EVENT_LOSS:
                apply_event = peer.router.apply_cache_event
                self.clock.after(EVENT_LAG_S, apply_event, event, self.clock.now)
        record.first_token_at = self.clock.now + first_s + delay
        self.clock.after(first_s + delay, self.handle_report, server.report)
        self.clock.after(whole_s, self.finish, request, name, delay, sent_at, began_at)

    def finish(self, request, name, delay, sent_at, began_at):
        """Ends a request at its server and sends the end to the entry host."""
        self.servers[name].finish(self.clock.now - began_at)
        self.clock.after(delay, self.handle_end, request, name, sent_at)

    def handle_report(self, report):
        """Handles a load report that came with a reply."""
        self.router.apply_load_report(report(), self.clock.now)
        self.dispatch()

    def handle_end(self, request, name, sent_at):
        """Handles the end of an answer."""
        record = self.records[request.request_id]
        record.ended_at = self.clock.now
        self.budget.record_success()
        self.queue.note_served(self.clock.now - sent_at)
        first_token_s = record.first_token_at - sent_at
        self.router.note_done(name, request, first_token_s, self.clock.now)
        self.handle_report(self.servers[name].report)

    def handle_refusal(self, request, name, refused):
        """Retries a refused attempt or gives it up."""
        self.router.apply_load_report(self.servers[name].report(), self.clock.now)
        refusal = work.Refusal(
            request.request_id, 0, refused, work.RunState.NOT_RUN, 0.1
        )
        self.router.note_refused(name, request, refusal, self.clock.now)
        if refused not in routing.FULL_REASONS:
            self.tried[request.request_id] |= {name}
        record = self.records[request.request_id]
        cold = refused == work.RefusalReason.COLD_LIMIT
        reasons = work.RetryReason
        reason = reasons.COLD_LIMIT if cold else reasons.AGENT_REFUSED
        self.retries[refused.value] += 1
        planned = retries.plan_retry(
            self.budget,
            self.backoff,
            record.attempts - 1,
            reason,
            self.deadlines[request.request_id] - self.clock.now,
            0.5,
            work.RunState.NOT_RUN,
            request.request_id,
        )
        if pipeline.is_successful(planned):
            self.clock.after(planned.unwrap().delay_s, self.enqueue, request)
        else:
            self.refuse(planned.failure())

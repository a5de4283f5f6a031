"""Servers with delays for tests of second copies, and hosts that restart and join."""

import asyncio
import bisect
import collections
import random

from support import gatewayhost

from lycheegauge.internal.coordination import hedging, hostshares, sharegrants
from lycheegauge.internal.transport import clock

EVENTS = 4
HEAD = b"HTTP/1.1 200 OK\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class DelayedServer(gatewayhost.ScriptedServer):
    """Answers with its name after ``get_delay_s()``.

    Attributes:
        runs: How often each request, by its target, was sent here.
        get_turns: Returns for how many turns of the loop an answer is held then.
        aborted: How many connections were closed before the answer.
        first_faults: What to send instead of the first answers: bytes, or ``None`` for
            a reset.
    """

    def __init__(self, name, is_stream, get_delay_s, event_pause_s=0.0):
        super().__init__(None)
        self.name, self.is_stream = name, is_stream
        self.get_delay_s, self.event_pause_s = get_delay_s, event_pause_s
        self.get_turns = lambda: 0
        self.runs = collections.Counter()
        self.aborted = self.open = self.reused_after_abort = 0
        self.faults = []

    async def _serve(self, reader, writer):
        self._connections[asyncio.current_task()] = writer
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.runs[head.split(" ")[1]] += 1
                self.open += 1
                try:
                    is_kept = await self._answer(reader, writer)
                finally:
                    self.open -= 1
                if not is_kept:
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    async def _answer(self, reader, writer):
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait((closed,), timeout=self.get_delay_s())
        if done:
            # Bytes here would be another request on a connection in use.
            self.reused_after_abort += bool(
                closed.exception() is None and closed.result()
            )
            self.aborted += 1
            return False
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        for _ in range(self.get_turns()):
            await asyncio.sleep(0)
        if self.faults:
            fault = self.faults.pop()
            if fault is None:
                gatewayhost.reset_connection(writer)
                return False
            writer.write(fault)
            return True
        body = (f"{self.name};" * EVENTS).encode()
        if not self.is_stream:
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            return True
        writer.write(HEAD + EVENT_STREAM)
        for number in range(EVENTS):
            event = f"id: {number}\ndata: {self.name};\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")
        return True


def read_names(body):
    """Returns the names in an answer, one for each of its parts."""
    text = body.decode()
    if text.startswith("id:"):
        lines = [line for line in text.split("\n") if line.startswith("data: ")]
        text = "".join(line.removeprefix("data: ") for line in lines)
    return text.split(";")[:-1]


def make_host(servers, repetition, fraction=0.1, attempts_max=3, **changes):
    host = gatewayhost.GatewayHost(
        servers, repetition, attempts_max, hedging={"extra_fraction": fraction},
        repeats={"slack": 100.0}, **changes,
    )  # fmt: skip
    return host


async def send(host, count, prefix, interval_s=0.01):
    """Sends requests and returns the responses and how long each took."""

    async def ask(number):
        await asyncio.sleep(number * interval_s)
        began_at = clock.read_clock()
        received = await gatewayhost.call(host.address, f"/{prefix}-{number}")
        return received, clock.read_clock() - began_at

    return await asyncio.gather(*map(ask, range(count)))


def make_late(host, service="drafting", threshold_s=0.05):
    """Makes answers late after a time; most tests start without any answers."""
    hedger = host.forwarder.hedging
    hedger.times.get_late_after = lambda kind, now: threshold_s
    now = clock.read_clock()
    for _ in range(1000):
        hedger.note_request(service, now)


class LimitedHost:
    def __init__(self, name, limit_class, rate):
        self.name, self.rate, self.due = name, rate, 0.0
        self.share = hostshares.HostShareHolder(11.0)
        self.limit = limit_class(self.share)
        self.cut_off_until = 0.0


class LimitedFleet:
    """Hosts that send as many copies as their limits allow, at moments of trouble."""

    HOSTS, RATE, TICK_S, FRACTION = 5, 100.0, 0.1, 0.1

    def __init__(self, seed, limit_class):
        self.source = random.Random(seed)
        self.limit_class = limit_class
        self.now, self.number = 100.0, 0
        self.granter = sharegrants.ShareGranter(2.5, 0.0, is_first=True)
        self.hosts = [self.make_host() for _ in range(self.HOSTS)]
        self.requests, self.copies = [], []

    def make_host(self):
        self.number += 1
        rate = self.source.uniform(0.5, 1.5)
        return LimitedHost(f"host-{self.number}", self.limit_class, rate)

    def run(self, duration_s):
        for tick in range(int(duration_s / self.TICK_S)):
            self.now += self.TICK_S
            if self.now > 125.0 and self.source.random() < 0.05:
                self.disturb()
            total = sum(host.rate for host in self.hosts)
            for host in self.hosts:
                if tick % 3 == 0 and self.now >= host.cut_off_until:
                    self.renew(host)
                host.due += self.RATE * self.TICK_S * host.rate / total
                while host.due >= 1.0:
                    host.due -= 1.0
                    host.share.note_request(self.now)
                    host.limit.note_request(self.now)
                    self.requests.append(self.now)
            if self.source.random() < 0.05:
                self.send_copies()

    def disturb(self):
        index = self.source.randrange(len(self.hosts))
        action = self.source.choice(("restart", "join", "cut off", "move demand"))
        if action == "restart":
            self.hosts[index] = self.make_host()
        elif action == "join" and len(self.hosts) < 2 * self.HOSTS:
            self.hosts.append(self.make_host())
        elif action == "cut off":
            self.hosts[index].cut_off_until = self.now + self.source.uniform(1, 5)
        else:
            self.hosts[index].rate = self.source.uniform(0.5, 1.5)

    def renew(self, host):
        demand = host.share.make_demand(self.now)
        share = self.granter.grant(host.name, demand, True, 0.0, self.now)
        host.share.apply_share(share, self.now)

    def send_copies(self):
        for host in self.hosts:
            while host.limit.has_left(self.FRACTION, self.now):
                host.limit.spend(self.now)
                self.copies.append(self.now)

    def find_highest(self):
        """Returns the most copies in a window, as a fraction of its requests."""
        highest = 0.0
        for end in self.copies:
            since = end - hedging.WINDOW_S
            copies = sum(since < at <= end for at in self.copies)
            start = bisect.bisect_right(self.requests, since)
            requests = bisect.bisect_right(self.requests, end) - start
            highest = max(highest, copies / requests)
        return highest

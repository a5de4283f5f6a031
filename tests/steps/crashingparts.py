import concurrent.futures
import itertools
import random
import time

import behave
from support import forwardingfleet, processes

CONTACT_S = 3.0
"""Time within which hosts in contact with the log act on what others know."""

CRASHES_UNTIL_KNOWN = 5
REQUESTS_MAX_AFTER = 3
SOUND_PER_S, CRASHING_PER_S = 13.0, 4.0
SOUND_S, MIXED_S = 4.0, 14.0
PARTS_HEADER = "Lycheegauge-Prompt-Parts"


@behave.given("a forwarding deployment of three gateways and nine servers")
def start_fleet(context):
    context.fleet = fleet = forwardingfleet.Fleet(gateways=3)
    context.closers.append(fleet.close)
    fleet.start(servers=9)
    fleet.put_table(1)
    fleet.wait_until_served()


class Load:
    """Sends requests from a pool of threads and keeps when and with what result."""

    def __init__(self, fleet, pool, seed):
        self.fleet, self.pool = fleet, pool
        self.source = random.Random(seed)
        self.numbers = itertools.count()
        self.results = {}

    def send(self, middle):
        number = next(self.numbers)
        kind = "c" if middle == "bad" else "s"
        name, gateway = f"{kind}{number}", self.source.randrange(3)
        parts = f"shared:40,{middle}:200,own{number}:300"
        sent_at = time.monotonic()

        def ask():
            answer = self.fleet.request(
                f"/safe/{name}", name, gateway=gateway, **{PARTS_HEADER: parts}
            )
            self.results[name] = (sent_at, answer.status)

        self.pool.submit(ask)

    def run(self, duration_s, per_s, crashing_per_s):
        until = time.monotonic() + duration_s
        rate = per_s + crashing_per_s
        while time.monotonic() < until:
            time.sleep(self.source.expovariate(rate))
            is_crashing = self.source.random() < crashing_per_s / rate
            self.send("bad" if is_crashing else f"topic{self.source.randrange(20)}")


@behave.when("requests with a crashing part arrive among sound ones of the same caller")
def send_mixed(context):
    fleet = context.fleet
    for server in fleet.servers:
        server.crashing_part = "bad"
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        context.load = load = Load(fleet, pool, seed=1)
        load.run(SOUND_S, SOUND_PER_S, 0.0)
        context.mixed_from = time.monotonic()
        load.run(MIXED_S, SOUND_PER_S, CRASHING_PER_S)


def find_last_counted_crash(fleet):
    crashes = sorted(at for server in fleet.servers for at in server.crashed_at)
    assert crashes, "no server crashed"
    return crashes[min(len(crashes), CRASHES_UNTIL_KNOWN) - 1]


@behave.then("few requests with that part reach a server once it has crashed five")
def check_stopped(context):
    fleet = context.fleet
    known_at = find_last_counted_crash(fleet) + CONTACT_S
    late = [
        name
        for server in fleet.servers
        for at, name in server.arrivals
        if name.startswith("c") and at > known_at
    ]
    crashes = sum(server.crashes for server in fleet.servers)
    assert len(late) <= REQUESTS_MAX_AFTER, (len(late), crashes)


def measure_first_attempts(context, since, until):
    """Returns the share of sound requests that the first server answered."""
    arrivals = [name for server in context.fleet.servers for _, name in server.arrivals]
    sent = [
        (name, status)
        for name, (at, status) in context.load.results.items()
        if name.startswith("s") and since <= at < until
    ]
    assert len(sent) >= 20, len(sent)
    served = [n for n, status in sent if status == 200 and arrivals.count(n) == 1]
    return len(served) / len(sent)


@behave.then(
    "sound requests with the same first part are served at the first attempt as before"
)
def check_sound(context):
    before = measure_first_attempts(context, 0.0, context.mixed_from)
    since = find_last_counted_crash(context.fleet) + 2 * CONTACT_S
    after = measure_first_attempts(context, since, float("inf"))
    assert after >= before / 2, (before, after)


def list_refused(fleet):
    parts = fleet.call_control("/crashing-parts").document["parts"]
    return {item["part"] for item in parts if item["is_refused"]}


@behave.then("the part is listed as refused, also after every log host was killed")
def check_listed(context):
    fleet = context.fleet
    assert list_refused(fleet) == {"drafting/bad"}
    for number in range(3):
        fleet.stop(f"control-{number + 1}")
    for number in range(3):
        fleet.start_control(number)
    processes.wait_until(
        lambda: list_refused(fleet) == {"drafting/bad"}, "the list is back"
    )


@behave.then("an operator can clear it")
def check_cleared(context):
    fleet = context.fleet
    for server in fleet.servers:
        server.crashing_part = ""
    answer = fleet.call_control("/crashing-parts/drafting/bad", method="DELETE")
    assert answer.status == 200, answer
    assert list_refused(fleet) == set()
    parts = {PARTS_HEADER: "shared:40,bad:200,own:300"}
    processes.wait_until(
        lambda: (
            fleet.request("/safe/fixed", f"m{time.time_ns()}", **parts).status == 200
        ),
        "requests with the part are served",
    )


NEW_TARGET, CRASHING_TARGET = "/safe/new", "/safe/poison"
NEW_PART_S, NEW_USERS = 0.4, 18
EARLIER_S, EARLIER_PER_S = 5.0, 150.0
"""Requests without the new part, so that it is rare among the answers."""


def send_new(fleet, pool, gateways):
    """Sends requests that share a part, of which no two are alike."""
    return [
        pool.submit(
            fleet.request, f"{NEW_TARGET}?{time.time_ns()}", f"n{time.time_ns()}",
            gateway=gateways[number % len(gateways)],
            **{PARTS_HEADER: f"new:40,own{number}:300"},
        )
        for number in range(NEW_USERS)
    ]  # fmt: skip


@behave.when(
    "an application begins to use a new part while another request crashes servers"
)
def crash_beside_new_part(context):
    fleet = context.fleet
    for server in fleet.servers:
        server.delays_s[NEW_TARGET] = NEW_PART_S
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        context.load = load = Load(fleet, pool, seed=2)
        load.run(EARLIER_S, EARLIER_PER_S, 0.0)
        running = send_new(fleet, pool, (0, 1, 2))
        time.sleep(NEW_PART_S / 2)
        crashing = fleet.request(
            CRASHING_TARGET, "crashing", **{PARTS_HEADER: "bad:40,own:300"}
        )
        assert crashing.status == 502, crashing
        concurrent.futures.wait(running)
    assert sum(server.crashes for server in fleet.servers) == 2


@behave.then("requests with the new part are served by every gateway")
def check_new_part(context):
    fleet, statuses = context.fleet, []
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        for _ in range(6):
            sent = send_new(fleet, pool, (0, 1, 2))
            statuses += [future.result().status for future in sent]
    # One in 500 requests, and five more, may be refused without a reason.
    assert statuses.count(422) <= 5, statuses
    last = statuses[-NEW_USERS:]
    assert last.count(200) == NEW_USERS, statuses


@behave.then("the request that crashed servers is not")
def check_not_served(context):
    fleet = context.fleet
    parts = {PARTS_HEADER: "bad:40,own:300"}
    processes.wait_until(
        lambda: (
            fleet.request(CRASHING_TARGET, f"p{time.time_ns()}", **parts).status == 422
        ),
        "the request is refused",
    )

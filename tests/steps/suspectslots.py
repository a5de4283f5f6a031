import random

import behave

from lycheegauge.internal.coordination import suspectgrants, suspectslots
from lycheegauge.internal.protocol import roster

SERVICE = "s"
PULL_S = 0.3


class Host:
    """A host that pulls and runs one suspect after the other."""

    def __init__(self, name, leader):
        self.name, self.leader = name, leader
        self.slots = suspectslots.SuspectSlots()
        self.ends_at = None
        self.runs = 0

    def pull(self, now):
        requests = self.slots.list_requests(now)
        self.slots.apply_grants(self.leader.grant(self.name, requests, now), now)

    def step(self, now, source):
        if self.ends_at is not None:
            if now >= self.ends_at:
                self.ends_at = None
                self.slots.release(SERVICE, now, source.random() < 0.3)
        elif self.slots.take(SERVICE, now):
            self.ends_at = now + source.uniform(0.1, 6.0)
            self.runs += 1


@behave.then(
    "at most one host uses a slot at any moment, whatever they ask for and when"
)
def check_exclusion(context):
    for seed in range(30):
        source = random.Random(seed)
        leader = suspectgrants.SuspectGranter()
        hosts = [Host(f"h{n}", leader) for n in range(5)]
        for host in hosts:
            host.slots.begin_wait(SERVICE)
        now = 0.0
        for _ in range(400):
            for host in source.sample(hosts, len(hosts)):
                now += source.uniform(0.0, 0.1)
                host.pull(now)
                for other in source.sample(hosts, len(hosts)):
                    other.step(now, source)
                assert sum(other.ends_at is not None for other in hosts) <= 1
        assert all(host.runs for host in hosts)


@behave.then(
    "every host that keeps asking gets the slot, also if another never returns it"
)
def check_turns(context):
    leader = suspectgrants.SuspectGranter()
    wish = (roster.SuspectSlotRequest(SERVICE, False),)
    other = (roster.SuspectSlotRequest("other", False),)
    assert leader.grant("lost", (*wish, *other), 0.0) == (SERVICE, "other")
    granted = {}
    now = 0.0
    while now < 20.0:
        now += PULL_S
        for name in ("a", "b"):
            if leader.grant(name, wish, now) and name not in granted:
                granted[name] = now
    # The first waits until the lost host's grant expires, the second for its turn.
    assert granted["a"] <= suspectgrants.EXPIRY_S + 2 * PULL_S, granted
    assert granted["b"] <= granted["a"] + suspectgrants.TURN_S + 3 * PULL_S, granted
    # A host keeps a slot that it uses, also with a new leader.
    used = (roster.SuspectSlotRequest(SERVICE, True),)
    successor = suspectgrants.SuspectGranter()
    assert successor.grant("a", used, now) == (SERVICE,)
    assert successor.grant("b", wish, now) == ()
    now += suspectgrants.TURN_S + 0.1
    assert successor.grant("a", used, now) == (SERVICE,)
    assert successor.grant("b", wish, now) == ()
    # One that returns it lets the next have it.
    assert successor.grant("a", (), now) == ()
    assert successor.grant("b", wish, now) == (SERVICE,)


@behave.then("a slot stays taken for a while after a request in it broke off")
def check_settling(context):
    slots = suspectslots.SuspectSlots()
    slots.apply_grants((SERVICE,), 0.0)
    assert slots.take(SERVICE, 0.1) and not slots.take(SERVICE, 0.1)
    slots.release(SERVICE, 0.2, has_broken_off=True)
    assert not slots.take(SERVICE, 0.3)
    assert slots.list_requests(0.3) == (roster.SuspectSlotRequest(SERVICE, True),)
    settled_at = 0.2 + suspectslots.SETTLING_TIME_S
    assert slots.list_requests(settled_at) == ()
    slots.apply_grants((SERVICE,), settled_at)
    assert slots.take(SERVICE, settled_at)
    slots.release(SERVICE, settled_at, has_broken_off=False)
    assert slots.list_requests(settled_at) == ()
    assert not slots.take(SERVICE, settled_at + suspectslots.GRANT_S)

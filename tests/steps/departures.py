import time

import behave
from support import forwardingfleet, processes

from lycheegauge.internal.coordination import departures, rosterregistry, rosterview
from lycheegauge.internal.protocol import changes, freshness, roster
from lycheegauge.internal.state import routing

LIFETIMES = rosterregistry.EntryLifetimes(server_s=4.0, host_s=2.0)
DRAIN_S = 2.0
"""Time after the acknowledgement of a departure in which requests may still arrive."""


def make_listing(born_ms, sequence=1, name="a", service="drafting"):
    return roster.ServerListing(
        name, born_ms, sequence, service, "10.0.0.1:80", "z1", 6, 0.0
    )


class Leader:
    """A leader's routing state and registry, and one entry host."""

    def __init__(self, term=1, part=None, view=None):
        self.part = part or routing.RoutingPart()
        self.registry = rosterregistry.RosterRegistry(f"leader-{term}", LIFETIMES)
        self.view = view or rosterview.RosterView()
        self.pull(0.0)

    def announce(self, listing, now):
        self.registry.expire(now)
        self.registry.departures.update(self.part.restrictions.departures, now)
        self.registry.record_announcement(listing, now)

    def leave(self, departure, now):
        self.registry.expire(now)
        self.part.apply(
            changes.NoteDeparture(
                departure.server, departure.born_ms, departure.before_ms
            )
        )
        self.registry.remove_server(departure)

    def pull(self, now):
        pending = self.view.begin_pull(None, now)
        delta = self.registry.list_changes(
            pending.message.source, pending.message.cursor
        )
        reply = roster.RosterReply(
            freshness.Proof(1, 0.0, 0.0), "", (), None, self.part.restrictions,
            self.registry.source, delta.cursor, delta.whole, delta.servers,
            delta.servers_gone,
        )  # fmt: skip
        self.view.apply_reply(pending, reply, now)

    def list_born(self, now):
        self.pull(now)
        return [server.born_ms for server in self.view.list_usable(now)]


KNOWN = roster.Departure("a", 500)
UNKNOWN = roster.Departure("a", 0, before_ms=900)
"""How an incarnation born at 500 leaves: listed at the leader, or forgotten there."""


@behave.then("an announcement from before a departure brings no server back")
def check_late_announcements(context):
    for departure in (KNOWN, UNKNOWN):
        # Of the incarnation that left, of an earlier one, and without an incarnation.
        for born_ms in (500, 400, 0):
            for changes_leader in (False, True):
                leader = Leader()
                leader.announce(make_listing(500), 1.0)
                assert leader.list_born(1.0) == [500]
                if departure is UNKNOWN:
                    assert leader.list_born(1.0) and leader.registry.expire(6.0)
                leader.leave(departure, 6.0)
                if changes_leader:
                    leader = Leader(2, leader.part, leader.view)
                leader.announce(make_listing(born_ms, 99), 7.0)
                case = (departure, born_ms, changes_leader)
                assert leader.list_born(7.0) == [], case
                assert leader.list_born(7.0 + departures.LATE_NEWS_S / 2) == [], case


@behave.then("a later start is used at once, also of a server that nobody knew")
def check_restart(context):
    for departure in (KNOWN, UNKNOWN):
        leader = Leader()
        leader.leave(departure, 6.0)
        leader.announce(make_listing(901), 7.0)
        assert leader.list_born(7.0) == [901], departure


@behave.then("a restart whose clock was set back is used after a while")
def check_clock_set_back(context):
    for departure in (KNOWN, UNKNOWN):
        leader = Leader()
        leader.leave(departure, 6.0)
        now = 7.0
        while now < 6.0 + departures.LATE_NEWS_S + 3.0:
            leader.announce(make_listing(300, int(now * 10)), now)
            leader.pull(now)
            now += 1.0
        assert leader.list_born(now) == [300], departure


@behave.then("a departure survives a snapshot as it was")
def check_snapshot(context):
    part, copy = routing.RoutingPart(), routing.RoutingPart()
    part.apply(changes.NoteDeparture("a", 0, 900))
    part.apply(changes.NoteDeparture("b", 7))
    copy.load(part.dump())
    assert copy.restrictions == part.restrictions
    assert copy.restrictions.departures[0] == roster.Departure("a", 0, 900)


# With processes.


@behave.given("a forwarding deployment of one gateway and three servers")
def start_fleet(context):
    context.fleet = fleet = forwardingfleet.Fleet(gateways=1)
    context.closers.append(fleet.close)
    fleet.start(servers=3)
    fleet.put_table(1)
    fleet.wait_until_served()


def list_names(fleet, seconds):
    """Returns the servers that get requests in the next seconds."""
    before = {server.name: len(server.arrivals) for server in fleet.servers}
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        fleet.request("/safe/x", f"r{time.time_ns()}")
    assert number >= 20
    return {
        server.name
        for server in fleet.servers
        if len(server.arrivals) > before[server.name]
    }


@behave.when(
    "a server that its leader has forgotten leaves, and a heartbeat was held up"
)
def leave_forgotten(context):
    fleet = context.fleet
    context.leaving = leaving = fleet.servers[0]
    leaving.loop.call_soon_threadsafe(leaving.announcing.cancel)
    processes.wait_until(
        lambda: any(
            "no sign of life" in fleet.read_log(f"control-{n + 1}") for n in range(3)
        ),
        "the leader has forgotten the server",
    )
    left = fleet.call_control(f"/backend-servers/{leaving.name}", method="DELETE")
    assert left.status == 200, left
    time.sleep(DRAIN_S)
    processes.wait_until(leaving.announce, "the announcement is answered")


@behave.then("the server that left gets no request")
def check_no_request(context):
    # A server that is listed once is used until its lifetime is over.
    names = list_names(context.fleet, forwardingfleet.ANNOUNCE_INTERVAL_S * 3)
    assert context.leaving.name not in names, names
    assert names


@behave.then("it gets requests again once it has restarted")
def check_used_again(context):
    leaving = context.leaving
    leaving.born_ms = time.time_ns() // 1_000_000
    assert leaving.announce()
    processes.wait_until(
        lambda: leaving.name in list_names(context.fleet, 0.5),
        "the restarted server is used",
    )


@behave.when("an announcement of another service names the address of a sound server")
def announce_undeclared(context):
    fleet, sound = context.fleet, context.fleet.servers[0]
    other = forwardingfleet.BackendServer(
        "other", sound.zone, fleet.control_hosts, service="undeclared"
    )
    other.address = sound.address
    other.born_ms = time.time_ns() // 1_000_000
    processes.wait_until(other.announce, "the announcement is answered")
    # The sound server's next announcement would be of the older start.
    same = forwardingfleet.BackendServer(
        fleet.servers[1].name, sound.zone, fleet.control_hosts, service="undeclared"
    )
    same.address, same.born_ms = fleet.servers[1].address, fleet.servers[1].born_ms
    same.sequence = 10_000
    processes.wait_until(same.announce, "the announcement is answered")
    # The gateway pulls several times meanwhile.
    time.sleep(forwardingfleet.ANNOUNCE_INTERVAL_S)


@behave.then("all sound servers get requests")
def check_all_used(context):
    names = list_names(context.fleet, forwardingfleet.ANNOUNCE_INTERVAL_S * 2)
    assert names == {server.name for server in context.fleet.servers}, names

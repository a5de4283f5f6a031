import dataclasses
import itertools
import random

import behave
import hypothesis
from hypothesis import strategies

from lycheegauge.internal.coordination import (
    mapappointments,
    rosterregistry,
    rosterview,
)
from lycheegauge.internal.coordination.agreement import (
    quorum,
    repair,
    replica,
    timing,
)
from lycheegauge.internal.daemons import rosterhost
from lycheegauge.internal.protocol import agreement, changes, freshness, roster
from lycheegauge.internal.state import routing

LIFETIMES = rosterregistry.EntryLifetimes(server_s=4.0, host_s=2.0)


def make_server(name="a", born_ms=1, sequence=1, address="10.0.0.1:80", **fields):
    values = {
        "service": "drafting", "availability_zone": "z1", "slots": 6, "cold_s": 0.0,
        **fields,
    }  # fmt: skip
    return roster.ServerListing(
        name=name, born_ms=born_ms, sequence=sequence, address=address, **values
    )


def make_registry(source="leader-1"):
    return rosterregistry.RosterRegistry(source, LIFETIMES)


def make_reply(registry, pull, restrictions=None, proof=True):
    delta = registry.list_changes(pull.message.source, pull.message.cursor)
    return roster.RosterReply(
        freshness.Proof(1, 0.0, 0.0) if proof else None,
        "10.0.0.9:1", (), None, restrictions, registry.source,
        delta.cursor, delta.whole, delta.servers, delta.servers_gone, delta.hosts,
        delta.hosts_gone,
    )  # fmt: skip


def pull(view, registry, now, **fields):
    pending_pull = view.begin_pull(None, now)
    return view.apply_reply(
        pending_pull, make_reply(registry, pending_pull, **fields), now
    )


@behave.then("a late announcement does not replace a newer one")
def check_late(context):
    registry = make_registry()
    registry.record_announcement(make_server(sequence=5), 0.0)
    assert not registry.record_announcement(make_server(sequence=4, leaving=True), 1.0)
    assert not registry.find_server("a").leaving


@behave.then("entry hosts learn of an unreachable server and of its next announcement")
def check_silent(context):
    registry, view = make_registry(), rosterview.RosterView()
    registry.record_announcement(make_server("a"), 0.0)
    pull(view, registry, 0.0)
    assert registry.mark_silent("a", True) and not registry.mark_silent("a", True)
    assert not registry.mark_silent("unknown", True)
    pull(view, registry, 1.0)
    assert view.servers["a"].silent
    registry.record_announcement(make_server("a", sequence=2), 1.1)
    pull(view, registry, 1.2)
    assert not view.servers["a"].silent


@behave.then("an announcement of an older start does not reclaim an address")
def check_address_conflict(context):
    registry = make_registry()
    registry.record_announcement(make_server("old", born_ms=1), 0.0)
    assert registry.record_announcement(make_server("new", born_ms=2), 1.0)
    assert not registry.record_announcement(
        make_server("old", born_ms=1, sequence=9), 2.0
    )
    assert [server.name for server in registry.list_servers()] == ["new"]


@behave.then("a later start under the same id replaces the earlier one")
def check_same_id(context):
    registry = make_registry()
    registry.record_announcement(make_server(born_ms=1, sequence=50), 0.0)
    assert registry.record_announcement(make_server(born_ms=2, sequence=1), 1.0)
    assert registry.find_server("a").born_ms == 2
    registry.remove_server(roster.Departure("a", 1))
    assert registry.find_server("a") is not None, (
        "an older start's departure removed it"
    )


@behave.then("any series of changes leaves a follower with the leader's registry")
def check_following(context):
    names = strategies.sampled_from("abcd")
    event = strategies.one_of(
        strategies.tuples(
            strategies.just("announce"), names, strategies.integers(1, 3)
        ),
        strategies.tuples(strategies.just("leave"), names, strategies.integers(1, 3)),
        strategies.tuples(strategies.just("host"), names, strategies.booleans()),
        strategies.tuples(strategies.just("wait"), strategies.integers(0, 5)),
        strategies.tuples(strategies.just("pull")),
    )

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.lists(event, max_size=40))
    def check(events):
        registry, view, now = make_registry(), rosterview.RosterView(), 0.0
        for index, (kind, *rest) in enumerate(events):
            match kind:
                case "announce":
                    name, born = rest
                    listing = make_server(name, born, index, f"10.0.0.{ord(name)}:1")
                    registry.record_announcement(listing, now)
                case "leave":
                    registry.remove_server(roster.Departure(*rest))
                case "host":
                    name, leaving = rest
                    listing = roster.HostListing(name, "1", "z", "h", True, leaving)
                    registry.record_host(listing, now)
                case "wait":
                    now += rest[0]
                    registry.expire(now)
                case "pull":
                    pull(view, registry, now)
        pull(view, registry, now)
        ignored = {"sequence": 0}
        mirrored = {
            name: dataclasses.replace(server, **ignored)
            for name, server in view.servers.items()
        }
        assert mirrored == {
            server.name: dataclasses.replace(server, **ignored)
            for server in registry.list_servers()
        }
        assert set(view.hosts.values()) == set(registry.list_hosts())

    check()


@behave.then("a departed server gets no work even if a new leader lists it")
def check_departed(context):
    part = routing.RoutingPart()
    part.apply(changes.NoteDeparture("a", 7))
    view, registry = rosterview.RosterView(), make_registry("leader-2")
    registry.record_announcement(make_server(born_ms=7), 0.0)
    pull(view, registry, 0.0, restrictions=part.restrictions)
    assert view.servers and not view.list_usable(0.0)
    context.view = view


@behave.then("a server that restarts under its id gets work")
def check_restarted(context):
    registry = make_registry("leader-3")
    registry.record_announcement(make_server(born_ms=8), 0.0)
    pull(context.view, registry, 1.0)
    assert [server.born_ms for server in context.view.list_usable(1.0)] == [8]


@behave.then("route tables in any order leave the highest in force")
def check_versions(context):
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 20), min_size=1, max_size=20)
    )
    def check(versions):
        part = routing.RoutingPart()
        held = 0
        for index, version in enumerate(versions):
            part.apply(changes.PutRouteTable(version, b"%d" % index))
            assert part.table.version >= held, "an older table replaced a newer one"
            held = part.table.version
        assert part.table.version == max(versions)
        # The first table of a version is kept; other content for it is ignored.
        first = versions.index(max(versions))
        assert part.table.body == b"%d" % first

    check()


@behave.then("the routing state survives a snapshot")
def check_snapshot(context):
    part, copy = routing.RoutingPart(), routing.RoutingPart()
    part.apply(changes.PutRouteTable(3, b"table"))
    part.apply(changes.SetZoneOut("z1", True))
    part.apply(changes.SetZoneOut("z2", True))
    part.apply(changes.SetZoneOut("z1", False))
    part.apply(changes.NoteDeparture("a", 7))
    copy.load(part.dump())
    assert copy.dump() == part.dump()
    assert copy.restrictions.zones_out == ("z2",)
    assert copy.has_departed(roster.Departure("a", 7))


@behave.then("a new leader's empty registry does not empty the view immediately")
def check_mirror(context):
    view, old, new = rosterview.RosterView(), make_registry("one"), make_registry("two")
    old.record_announcement(make_server("a"), 0.0)
    old.record_announcement(make_server("b", address="10.0.0.2:80"), 0.0)
    pull(view, old, 0.0)
    new.record_announcement(make_server("b", address="10.0.0.2:80"), 1.0)
    pull(view, new, 1.0)
    assert {server.name for server in view.list_usable(1.5)} == {"a", "b"}
    late = 1.0 + rosterview.UNCONFIRMED_GRACE_S
    assert {server.name for server in view.list_usable(late)} == {"b"}


@behave.then("a response without a proof changes no view")
def check_proof(context):
    view, registry = rosterview.RosterView(), make_registry()
    registry.record_announcement(make_server(), 0.0)
    assert pull(view, registry, 0.0, proof=False) == ()
    assert not view.servers and not view.lease.allows_start(0.0)


VOTERS = tuple(agreement.Voter(f"h{number}", "first") for number in range(3))


def step_cluster(replicas, inbox, now, reachable):
    """Delivers sent messages, syncs immediately, and ticks all replicas."""
    pending, inbox[:] = inbox[:], []
    for receiver, message in pending:
        if receiver in reachable and receiver in replicas:
            perform(replicas, receiver, replicas[receiver].receive(message, now), inbox)
    for host in reachable:
        perform(replicas, host, replicas[host].tick(now), inbox)


def perform(replicas, host, effects, inbox):
    for effect in effects:
        match effect:
            case agreement.Send():
                inbox.append((effect.receiver.host, effect.message))
            case agreement.Persist():
                synced = replicas[host].report_synced(context_now["now"])
                perform(replicas, host, synced, inbox)


context_now = {"now": 0.0}


def make_replica(identity, seed, limits):
    return replica.Replica(
        agreement.StoredState(identity), agreement.Membership(VOTERS), limits,
        random.Random(seed), context_now["now"],
    )  # fmt: skip


@behave.then("a host whose voter's disk was wiped is a voter again within 4 seconds")
def check_wiped_voter(context):
    limits, inbox = rosterhost.TIMING, []
    context_now["now"] = 0.0
    replicas = {v.host: make_replica(v, n, limits) for n, v in enumerate(VOTERS)}
    decide = repair.Repair(3, None).decide
    fixed = run_repairs(replicas, inbox, decide, 3.0, set(replicas))
    leader = next(host for host, item in replicas.items() if item.is_leader)
    lost = next(host for host in replicas if host != leader)
    replacement = agreement.Voter(lost, "another disk")
    replicas[lost] = make_replica(replacement, 9, limits)
    fixed = run_repairs(replicas, inbox, decide, 4.0, set(replicas))
    assert replacement in fixed.voters, fixed
    assert agreement.Voter(lost, "first") not in fixed.voters


def grow_log(extra_hosts):
    """Starts three voters and more hosts; returns all after the log has grown."""
    limits, inbox = rosterhost.TIMING, []
    context_now["now"] = 0.0
    replicas = {v.host: make_replica(v, n, limits) for n, v in enumerate(VOTERS)}
    for number in range(3, 3 + extra_hosts):
        identity = agreement.Voter(f"h{number}", f"disk {number}")
        replicas[identity.host] = make_replica(identity, number, limits)
    decide = repair.Repair(quorum.count_voters(2), None).decide
    fixed = run_repairs(replicas, inbox, decide, 5.0, set(replicas))
    return replicas, inbox, decide, fixed


@behave.then(
    "a log of three voters grows to five and commits after the loss of any two"
)
def check_growth(context):
    for lost in itertools.combinations(range(6), 2):
        replicas, inbox, _, fixed = grow_log(extra_hosts=3)
        assert len(fixed.voters) == 5, fixed
        alive = {host: replicas[host] for host in replicas if int(host[1]) not in lost}
        run_repairs(alive, inbox, lambda _: None, 4.0, set(alive))
        leader = next(item for item in alive.values() if item.is_leader)
        before = leader.commit_index
        effects = leader.propose("p", b"x", context_now["now"])
        perform(alive, leader.identity.host, effects, inbox)
        run_repairs(alive, inbox, lambda _: None, 1.0, set(alive))
        assert leader.commit_index > before, f"nothing commits without {lost}"


@behave.then("a failed voter is replaced while the log still grows")
def check_growth_with_loss(context):
    for lost in range(3):
        replicas, inbox, decide, fixed = grow_log(extra_hosts=1)
        assert len(fixed.voters) == 4, fixed
        del replicas[f"h{lost}"]
        # Long enough for an election and until the lost voter counts as failed.
        run_repairs(replicas, inbox, decide, 5.0, set(replicas))
        arrived = [agreement.Voter(f"h{n}", f"disk {n}") for n in (8, 9)]
        for number, identity in enumerate(arrived):
            replicas[identity.host] = make_replica(identity, number, rosterhost.TIMING)
        fixed = run_repairs(replicas, inbox, decide, 6.0, set(replicas))
        assert f"h{lost}" not in {voter.host for voter in fixed.voters}, fixed
        assert set(arrived) <= set(fixed.voters) and len(fixed.voters) == 5, fixed


@behave.then(
    "after the loss of two of five voters each step keeps three copies of a commit"
)
def check_replacement_order(context):
    voters = [agreement.Voter(f"h{number}", "first") for number in range(5)]
    spares = [agreement.Voter(f"s{number}", "disk") for number in range(2)]
    decide = repair.Repair(quorum.count_voters(2), None).decide
    membership = agreement.Membership(tuple(voters), tuple(spares))
    alive = frozenset({*voters[:3], *spares})
    quorums = []
    while len(set(membership.voters) & alive) < 5:
        contacts = repair.Contacts(
            membership, alive, frozenset(voters[3:]), frozenset(spares), ()
        )
        membership = decide(contacts)
        assert len(set(membership.voters) & alive) >= quorum.count_quorum(
            len(membership.voters)
        )
        quorums.append(quorum.count_quorum(len(membership.voters)))
    assert min(quorums) >= 3, quorums


def run_repairs(replicas, inbox, decide, duration_s, reachable):
    end = context_now["now"] + duration_s
    while context_now["now"] < end:
        context_now["now"] += 0.05
        now = context_now["now"]
        step_cluster(replicas, inbox, now, reachable)
        for host, item in replicas.items():
            contacts = item.describe_contacts(now)
            proposed = decide(contacts) if contacts else None
            if proposed is not None:
                effects = item.propose_membership("repair", proposed, now)
                perform(replicas, host, effects, inbox)
    return next(item.membership for item in replicas.values() if item.is_leader)


@behave.then("a non-member announces itself to its contacts")
def check_non_member(context):
    context_now["now"] = 0.0
    non_member = make_replica(agreement.Voter("new", "disk"), 1, timing.Timing())
    non_member.set_announce_hosts(("h7", "new"))
    sent = [
        effect.receiver.host
        for effect in non_member.tick(0.0)
        if isinstance(effect, agreement.Send)
    ]
    assert sorted(sent) == ["h0", "h1", "h2", "h7"], sent


@behave.then("entry hosts pull at the interval that the leader states")
def check_pull_interval(context):
    compute = rosterregistry.compute_pull_interval
    assert compute(9, 0.3, 2.5) == 0.3
    for hosts in range(1, 60):
        interval_s = compute(hosts, 0.3, 2.5)
        assert hosts / interval_s <= rosterregistry.PULLS_MAX_PER_S + 1e-9, hosts
    # A host that loses two pulls in a row still renews its lease in time.
    for hosts in (60, 420, 5000):
        interval_s = compute(hosts, 0.3, 2.5)
        assert rosterregistry.PULLS_PER_LEASE_MIN * interval_s <= 2.5 + 1e-9, hosts


@behave.then("each entry host learns the open requests of all others")
def check_open_elsewhere(context):
    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["x", "y", "z"]),
                strategies.dictionaries(
                    strategies.sampled_from(["a", "b", "c"]), strategies.integers(1, 5)
                ),
            ),
            max_size=12,
        )
    )
    def check(reports):
        registry, reported = make_registry(), {}
        for host, counts in reports:
            registry.record_open_requests(
                host, tuple(roster.OpenRequests(*item) for item in counts.items())
            )
            reported[host] = counts
        for host in ("x", "y", "z"):
            expected = {}
            for name, counts in reported.items():
                if name != host:
                    for server, count in counts.items():
                        expected[server] = expected.get(server, 0) + count
            learned = registry.list_open_elsewhere(host)
            assert [(item.server, item.count) for item in learned] == sorted(
                expected.items()
            )

    check()


@behave.then("one follower keeps its appointment as long as it pulls")
def check_appointment_kept(context):
    appointments = mapappointments.MapAppointments(3, "leader", 0.0)
    assert appointments.appoint(0.0) == ""
    chosen = set()
    for tick in range(1, 100):
        now = tick * 0.3
        for host in ("b", "a", "c"):
            appointments.record_pull(host, "start", now)
            chosen.add(appointments.appoint(now))
    assert len(chosen) == 1 and "leader" not in chosen, chosen
    assert appointments.number == 3 * mapappointments.APPOINTMENTS_PER_TERM


@behave.then("two hosts never hold an appointment at the same time")
def check_appointments_exclusive(context):
    source = random.Random(4)
    for _ in range(200):
        appointments = mapappointments.MapAppointments(1, "leader", 0.0)
        held_until, numbers = {}, []
        for tick in range(1, 400):
            now = tick * 0.05
            for host in ("a", "b", "c"):
                if source.random() < 0.05:
                    # The pull was sent some time before the leader received it.
                    sent_at = now - source.random() * 0.3
                    appointments.record_pull(host, "start", now)
                    if appointments.appoint(now) == host:
                        held_until[host] = sent_at + mapappointments.APPOINTMENT_S
                        numbers.append(appointments.number)
            holders = [host for host, until in held_until.items() if until > now]
            if appointments.appoint(now) == "leader":
                holders.append("leader")
            assert len(holders) <= 1, (now, holders)
        assert numbers == sorted(numbers)


@behave.then("a follower that has restarted gets an appointment with a higher number")
def check_restarted_follower(context):
    appointments = mapappointments.MapAppointments(1, "leader", 0.0)
    numbers = []
    for tick in range(1, 9):
        # The process restarts every 0.6 s, sooner than its appointment ends.
        appointments.record_pull("a", f"start {tick // 2}", tick * 0.3)
        assert appointments.appoint(tick * 0.3) == "a"
        numbers.append(appointments.number)
    first = mapappointments.APPOINTMENTS_PER_TERM
    assert numbers == [first + tick // 2 for tick in range(1, 9)], numbers


@behave.then("a term's numbers are never used twice, even when they run out")
def check_numbers_run_out(context):
    appointments = mapappointments.MapAppointments(1, "leader", 0.0)
    users, now = {}, 1.0
    for turn in range(2 * mapappointments.APPOINTMENTS_PER_TERM):
        # One host after the other pulls, and the one before falls silent.
        now += mapappointments.APPOINT_AFTER_S
        host = f"host {turn % 3}"
        appointments.record_pull(host, "start", now)
        appointed = appointments.appoint(now)
        if appointed:
            number = appointments.number
            assert users.setdefault(number, (appointed, turn)) == (appointed, turn)
            assert number < 2 * mapappointments.APPOINTMENTS_PER_TERM
    assert len(users) == mapappointments.APPOINTMENTS_PER_TERM


@behave.then("a leader without followers coordinates the maps itself")
def check_lone_leader(context):
    appointments = mapappointments.MapAppointments(1, "leader", 0.0)
    assert appointments.appoint(mapappointments.FIRST_PULLS_S) == "leader"
    first = appointments.number
    appointments.record_pull("a", "start", 5.0)
    assert appointments.appoint(5.0) == "a" and appointments.number > first
    late = 5.0 + mapappointments.APPOINT_AFTER_S
    assert appointments.appoint(late) == "leader"

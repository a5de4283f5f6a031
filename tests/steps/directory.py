import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
from support import directory as support

from lycheegauge.internal.coordination import directory, members
from lycheegauge.internal.protocol import freshness

RANDOMS = strategies.randoms(use_true_random=True)
QUIET_ROUNDS = 40


@behave.then("a directory view built from deltas equals the full directory")
def check_deltas(context):
    @hypothesis.settings(max_examples=60)
    @hypothesis.given(RANDOMS)
    def check(generator):
        support.Network(generator).run(60)

    check()


@behave.then("all directory views list the live members once the network is reliable")
def check_quiet(context):
    @hypothesis.settings(max_examples=40)
    @hypothesis.given(RANDOMS)
    def check(generator):
        network = support.Network(generator)
        network.run(30)
        network.run(QUIET_ROUNDS, lossless=True)
        hosts = [support.make_host(j) for j in range(support.ENTRIES)]
        watchers = [
            support.make_host(support.ENTRIES + j) for j in range(support.REPLICAS)
        ]
        known = {*network.servers.values(), *hosts}
        for view in network.views:
            assert support.list_members(view) == {*known, *watchers}
        # Each observer pulls from one replica only, and only that one knows it.
        for observer, watcher in zip(network.observers, watchers, strict=True):
            assert support.list_members(observer) == {*known, watcher}

    check()


@behave.then("announcements to an up-to-date directory contain no full agent records")
def check_quiet_announcements(context):
    network = support.Network(random.Random(3))
    network.run(QUIET_ROUNDS, lossless=True)
    for view in network.views:
        announcements = view.make_announcements("replica-0", network.now)
        assert (
            announcements.alive
            and announcements.attested == ()
            and announcements.applied == ()
        )


@behave.then(
    "an agent that the directory shows as restarted elsewhere is not announced"
)
def check_superseded(context):
    view = directory.MemberView()
    old, new = support.make_server(0, 1), support.make_server(0, 2)
    view.handle_agent_pull(freshness.AgentPull(old, 0, support.LOAD), 0.0)
    full_update = freshness.DirectoryUpdate(1, True, (new,))
    view.apply_update("replica", view.get_position("replica"), "s", full_update, 0.1)
    announcements = view.make_announcements("replica", 0.2)
    assert announcements.attested == () and announcements.alive == ()
    assert view.list_backend_servers() == (new,)


RECORDS = strategies.builds(
    lambda start, version, leaving, capacity: dataclasses.replace(
        support.make_server(0, start),
        version=version,
        leaving=leaving,
        capacity=capacity,
    ),
    strategies.integers(1, 3),
    strategies.integers(0, 2),
    strategies.booleans(),
    strategies.integers(1, 2),
)
LEFT = dataclasses.replace(support.make_server(0, 1), leaving=True)


@behave.then("a member's record in a directory is never replaced by an older one")
def check_order(context):
    @hypothesis.given(strategies.lists(RECORDS, min_size=1, max_size=8))
    @hypothesis.example([LEFT, support.make_server(0, 1)])
    def check(records):
        known, seen = directory.Directory("source"), []
        for i, record in enumerate(records):
            pull = freshness.EntryPull(support.make_host(0), 0, "", 0, (record,), ())
            known.handle_pull(pull, i / 10)
            (held,) = known.list_backend_servers()
            seen.append((held.incarnation, held.version, held.leaving))
        assert seen == sorted(seen)
        assert seen[-1][:2] == max((it.incarnation, it.version) for it in records)

    check()


@behave.then("a restarted replica's directory removes no member from any view")
def check_replica_restart(context):
    network = support.Network(random.Random(1))
    network.run(20, lossless=True)
    expected = support.list_members(network.views[0])
    assert len(expected) == support.AGENTS + support.ENTRIES + support.REPLICAS
    for replica in network.replicas:
        replica.restart()
    for _ in range(QUIET_ROUNDS):
        network.run(1, lossless=True)
        for view in network.views:
            assert support.list_members(view) == expected


@behave.then("a requester from before the oldest tombstone gets the full directory")
def check_tombstones(context):
    known = directory.Directory("source", max_tombstones=2)
    servers = tuple(support.make_server(i, i) for i in range(4))
    host = support.make_host(0)
    known.handle_pull(freshness.EntryPull(host, 0, "", 0, servers, ()), 0.0)
    cursor = known.cursor
    nothing = known.list_changes(cursor)
    assert nothing == freshness.DirectoryUpdate(cursor, False)
    # Two members expire, then two more, which evicts the first two tombstones.
    later = members.MEMBER_LEASE_S - 1
    alive = tuple(server.name for server in servers[:2])
    known.handle_pull(freshness.EntryPull(host, 0, "source", cursor, (), alive), later)
    first = known.handle_pull(
        freshness.EntryPull(host, 0, "source", cursor, (), ()), later + 2
    )
    assert not first.whole and len(first.removed) == 2
    now = later + members.MEMBER_LEASE_S
    second = known.handle_pull(
        freshness.EntryPull(host, 0, "source", cursor, (), ()), now
    )
    assert second.whole and second.backend_servers == ()
    third = known.handle_pull(
        freshness.EntryPull(host, 0, "source", first.cursor, (), ()), now
    )
    assert not third.whole and len(third.removed) == 2


@behave.then("a pull from an entry host's earlier start does not change the directory")
def check_earlier_start(context):
    known = directory.Directory("source")
    later = dataclasses.replace(support.make_host(0), incarnation="2")
    known.handle_pull(freshness.EntryPull(later, 1, "", 0, (), ()), 0.0)
    server = support.make_server(0, 0)
    known.handle_pull(
        freshness.EntryPull(support.make_host(0), 9, "", 0, (server,), ()), 0.1
    )
    assert support.list_members(known) == {later}
    (process,) = known.list_applied()
    assert process.applied.revision == 1


@behave.then(
    "a restarted directory sends full copies to a limited number of requesters at once"
)
def check_paced(context):
    known = directory.Directory("source")
    waiting = {i: directory.MemberView() for i in range(420)}
    now, rounds = 0.0, 0
    while waiting:
        served = 0
        for i, view in list(waiting.items()):
            requested_position = view.get_position("replica")
            pull = freshness.EntryPull(
                support.make_host(i),
                0,
                requested_position.source,
                requested_position.cursor,
                (),
                (),
            )
            update = known.handle_pull(pull, now)
            if view.apply_update(
                "replica", requested_position, known.source, update, now
            ):
                served += 1
                del waiting[i]
        assert served <= directory.FULL_UPDATE_BURST
        now, rounds = now + 0.5, rounds + 1
    # Done before the requesters' records from the earlier start expire.
    assert now < members.SOURCE_LEASE_S, rounds

import math
import random

import behave
import hypothesis
from hypothesis import strategies
from support import leases as support

from lycheegauge.internal.coordination import directory, enforcement, leases
from lycheegauge.internal.protocol import agreement, freshness

RANDOMS = strategies.randoms(use_true_random=True)
ZONE = support.ZONES[1]
PROOF = freshness.Proof(3, 0.0, 0.0)
DURATIONS = strategies.floats(0, 10)


@behave.then("a zone with 9 entry leases and 15 agent leases stops and restarts work")
def check_zone_out(context):
    @hypothesis.settings(max_examples=20)
    @hypothesis.given(RANDOMS)
    def check(generator):
        cluster = support.Cluster(generator)
        cluster.run_until(4.0, cluster.check_no_stale_start)
        assert len(cluster.list_started(ZONE)) == 5
        cluster.commit(ZONE)
        cluster.run_until(8.0, cluster.check_no_stale_start)
        assert len(cluster.list_started(support.ZONES[0])) == 5
        cluster.commit()
        cluster.run_until(11.0, cluster.check_no_stale_start)
        assert len(cluster.list_started(ZONE)) == 5

    check()


@behave.then(
    "leases under lost, late and duplicated messages never allow a stale start"
)
def check_lossy(context):
    @hypothesis.settings(max_examples=40)
    @hypothesis.given(RANDOMS, strategies.sampled_from([0.0, 0.3]), DURATIONS)
    def check(generator, loss, pause):
        cluster = support.Cluster(generator, 4, 6, loss=loss, slow=0.4)
        cluster.run_until(2.0)
        for zones in ((ZONE,), (), (ZONE, support.ZONES[0])):
            cluster.commit(*zones)
            cluster.run_until(cluster.now + pause, cluster.check_no_stale_start)
        cluster.run_until(cluster.now + 4.0, cluster.check_no_stale_start)

    check()


@behave.then("leases of silently partitioned parties expire within the bound")
def check_partitioned(context):
    parties = [f"entry-{i}" for i in range(4)] + [f"agent-{i}" for i in range(6)]
    # Hosts partitioned only from the log still respond to their agents.
    parties += [(f"entry-{i}", "leader") for i in range(4)]

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(RANDOMS, strategies.sets(strategies.sampled_from(parties)))
    @hypothesis.example(random.Random(7), set(parties[10:]))
    def check(generator, partitioned):
        cluster = support.Cluster(generator, 4, 6, slow=0.2)
        cluster.run_until(4.0)
        cluster.partitioned = set(partitioned)
        cluster.run_until(4.0 + generator.random())
        cluster.commit(ZONE)
        cluster.run_until(9.0, cluster.check_no_stale_start)
        cluster.partitioned.clear()
        cluster.commit()
        cluster.run_until(20.0, cluster.check_no_stale_start)
        assert all(agent.lease.revision == 2 for agent in cluster.agents)

    check()


@behave.then("leases renewed by a leader without its quorum expire within the bound")
def check_leader_partitioned(context):
    @hypothesis.settings(max_examples=40)
    @hypothesis.given(RANDOMS)
    def check(generator):
        cluster = support.Cluster(generator, 4, 6, slow=0.2)
        cluster.run_until(4.0)
        cluster.isolated = True
        cluster.run_until(4.0 + generator.random())
        cluster.commit(ZONE)
        cluster.run_until(9.0, cluster.check_no_stale_start)
        assert not any(agent.allows_start(9.0) for agent in cluster.agents)

    check()


@behave.then(
    "a lease renewed by a late response ends as if the response had been prompt"
)
def check_late_answer(context):
    @hypothesis.given(DURATIONS, DURATIONS, strategies.floats(0, 3))
    @hypothesis.example(1.0, 2.0, 0.0)
    def check(sent_at, delay, age_s):
        lease = leases.FreshnessLease()
        request_number = lease.begin_request(sent_at)
        assert lease.apply_response(
            request_number, freshness.Proof(3, age_s, 0.0), sent_at + delay
        )
        assert lease.ends_at == sent_at - age_s + leases.LEASE_S
        passed_on = lease.make_proof(sent_at + delay)
        assert (passed_on is None) == (sent_at + delay >= lease.ends_at)
        if passed_on is not None:
            assert math.isclose(passed_on.age_s, age_s + delay, abs_tol=1e-9)

    check()


@behave.then(
    "a lease is not renewed by duplicate, unknown, future or invalid responses"
)
def check_unusable_answers(context):
    lease = leases.FreshnessLease()
    first = lease.begin_request(10.0)
    for age_s in (-1.0, math.nan, math.inf):
        other = lease.begin_request(10.0)
        assert not lease.apply_response(other, freshness.Proof(3, age_s, 0.0), 10.1)
    assert not lease.apply_response(99, PROOF, 10.1)
    assert not lease.apply_response(first, None, 10.1)
    assert not lease.apply_response(first, PROOF, 10.2)
    assert not lease.allows_start(10.2) and lease.make_proof(10.2) is None
    second = lease.begin_request(10.2)
    assert lease.apply_response(second, PROOF, 10.3)
    assert lease.allows_start(12.69) and not lease.allows_start(12.7)


@behave.then(
    "no proof is accepted ahead of the configuration or of the replica's state"
)
def check_proof_ahead(context):
    entry = support.Cluster(random.Random(0), 1, 0).entries[0]
    pull = entry.begin_pull("leader", 1.0)
    update = freshness.DirectoryUpdate(0, True)
    reply = freshness.EntryPullReply(PROOF, None, "leader", update)
    assert not entry.apply_reply(pull, reply, 1.0)
    assert not entry.lease.allows_start(1.0)
    issuer = leases.ProofIssuer()
    issuer.finish_read(agreement.ReadDone(issuer.begin_read(1.0), 7))
    assert issuer.make_proof(leases.AppliedState(6, 2, 0.0), 1.1) is None
    assert issuer.make_proof(leases.AppliedState(7, 3, 0.0), 1.1).revision == 3


@behave.then(
    "a revision reported in force under loss and partitions leaves no older lease"
)
def check_in_force(context):
    @hypothesis.settings(max_examples=30)
    @hypothesis.given(RANDOMS, strategies.booleans())
    def check(generator, isolated):
        cluster = support.Cluster(generator, 4, 6, loss=0.1, slow=0.2)
        cluster.run_until(4.0)
        cluster.partitioned = {f"entry-{generator.randrange(4)}", "agent-0"}
        cluster.run_until(4.5)
        cluster.isolated = isolated
        cluster.commit(ZONE)
        # A replica that restarts does not know any member yet.
        cluster.directory = directory.Directory("leader restarted")
        cluster.run_until(10.0, cluster.check_enforcement)

    check()


@behave.then("a revision in an undisturbed network is in force within 3 s")
def check_in_force_soon(context):
    cluster = support.Cluster(random.Random(1))
    cluster.run_until(4.0)
    cluster.commit(ZONE)
    cluster.run_until(4.4)
    assert not cluster.check_enforcement().in_force
    cluster.run_until(7.0)
    enforced = cluster.check_enforcement()
    assert enforced.in_force and enforced.applied == 24 and not enforced.missing


@behave.then(
    "a partitioned party is listed as missing, with the remaining time of its lease"
)
def check_missing(context):
    cluster = support.Cluster(random.Random(2))
    cluster.run_until(4.0)
    cluster.partitioned = {"entry-3"}
    cluster.commit(ZONE)
    cluster.run_until(5.0)
    missing = {it.process: it for it in cluster.check_enforcement().missing}
    assert missing["entry_host/entry-3"].lease_left_s == 1.5
    assert missing["entry_host/entry-3"].reachable
    cluster.run_until(7.0)
    enforced = cluster.check_enforcement()
    (last,) = enforced.missing
    assert (last.process, last.reachable) == ("entry_host/entry-3", False)
    assert enforced.in_force and last.lease_left_s == 0
    # A reachable process that does not apply it keeps it from being in force.
    behind = freshness.AppliedRevision("entry_host/entry-3", "a", 0)
    for last_seen_at, in_force in ((6.9, False), (4.0, True)):
        processes = [directory.ProcessRevision(behind, last_seen_at)]
        result = enforcement.check_enforcement(1, 4.0, processes, 7.0)
        assert result.in_force is in_force

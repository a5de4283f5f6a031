import asyncio
import random
import shutil

import behave
from support import agreement, agreementtasks, virtualtime

from lycheegauge import errors
from lycheegauge.internal.coordination.agreement import refusals, replica, timing
from lycheegauge.internal.daemons import replicationrequests
from lycheegauge.internal.protocol import agreement as protocol


def run_hosts(context, main, **options):
    async def run(clock):
        hosts = agreementtasks.Hosts(context.host_count, clock, **options)
        context.closers.append(hosts.remove)
        await main(hosts)
        await hosts.stop()

    virtualtime.run(run)


@behave.given("{count:d} replicated log hosts with real files")
def given_hosts(context, count):
    context.host_count = count


@behave.then("{count:d} log changes are applied identically on every host")
def check_commits(context, count):
    async def main(hosts):
        texts = [f"change-{number}" for number in range(count)]
        await hosts.start()
        await hosts.commit(texts)
        await hosts.wait_applied(texts)
        proven = (await hosts.find_leader().read()).unwrap()
        assert proven == count + 1, proven

    run_hosts(context, main)


@behave.then(
    "after {count:d} log changes and a restart of all hosts, snapshots every "
    "{every:d}, all hosts have one log revision"
)
def check_restart(context, count, every):
    async def main(hosts):
        texts = [f"change-{number}" for number in range(count)]
        await hosts.start()
        await hosts.commit(texts)
        await hosts.stop()
        await hosts.start()
        await hosts.wait_applied(texts)
        await hosts.commit(["next"])
        await hosts.wait_applied([*texts, "next"])
        revisions = {task.commit_index for task in hosts.tasks.values()}
        assert len(revisions) == 1, revisions

    run_hosts(context, main, snapshot_every=every)


@behave.then("a log host whose disk is wiped comes back as another voter")
def check_wiped(context):
    async def main(hosts):
        texts = [f"change-{number}" for number in range(250)]
        await hosts.start()
        await hosts.commit(texts)
        await hosts.stop("host-2")
        shutil.rmtree(hosts.root / "host-2")
        await hosts.start("host-2")
        nonmember = hosts.tasks["host-2"].identity
        assert nonmember not in hosts.voters
        await agreementtasks.wait_until(
            lambda: all(
                nonmember in task.membership.voters and len(task.membership.voters) == 3
                for task in hosts.tasks.values()
            )
        )
        await hosts.wait_applied(texts)
        await hosts.stop("host-0")
        await hosts.commit(["after"])
        await hosts.wait_applied([*texts, "after"])

    run_hosts(context, main)


def start_cluster(voters, spares, seed):
    cluster = agreement.Cluster(voters, spares, seed)
    cluster.repairs = True
    cluster.commit()
    return cluster


def remove_host(cluster, host):
    """Removes a host permanently."""
    cluster.hosts.remove(host)


def wait_voters(cluster, count):
    def has_voters():
        leader = cluster.find_leader()
        return leader and len(leader.replica.membership.voters) == count

    cluster.run_until(has_voters, limit_s=120.0)


def wait_repaired(cluster, removed):
    def is_repaired():
        leader = cluster.find_leader()
        members = leader.replica.membership.voters if leader else (removed,)
        committed = leader and leader.replica.commit_index == leader.replica.last_index
        return committed and removed not in members and len(members) == cluster.size

    cluster.run_until(is_repaired, limit_s=120.0)


@behave.then(
    "after the loss of any one of {count:d} log voters, any second one may fail"
)
def check_second_loss(context, count):
    for first in range(count):
        for second in range(count):
            cluster = start_cluster(count, 2, seed=first * count + second)
            removed = cluster.hosts[first]
            remove_host(cluster, removed)
            wait_repaired(cluster, removed.replica.identity)
            voters = cluster.find_leader().replica.membership.voters
            remove_host(cluster, cluster.find_host(voters[second]))
            cluster.commit()
            cluster.reference.check_complete()


@behave.then("the loss of a successor does not stop the log during the repair")
def check_lost_successor(context):
    for learner_lost in range(2):
        cluster = start_cluster(3, 2, seed=learner_lost)
        remove_host(cluster, cluster.hosts[0])
        wait_voters(cluster, 2)
        remove_host(cluster, cluster.hosts[-1 - learner_lost])
        cluster.commit()
        wait_voters(cluster, 3)
        cluster.commit()


@behave.then(
    "a replaced log voter that returns is a learner and does not depose the leader"
)
def check_return(context):
    cluster = start_cluster(3, 1, seed=7)
    removed = cluster.hosts[0]
    remove_host(cluster, removed)
    wait_repaired(cluster, removed.replica.identity)
    leader, term = cluster.find_leader(), cluster.find_leader().replica.term
    cluster.hosts.append(removed)
    cluster.run_until(
        lambda: removed.replica.identity in leader.replica.membership.learners
    )
    cluster.commit()
    cluster.run_until(lambda: len(removed.applied) == len(leader.applied))
    assert leader.replica.is_leader and leader.replica.term == term
    assert removed.replica.identity not in leader.replica.membership.voters


@behave.then(
    "a partitioned log leader answers no read and does not depose the new leader"
)
def check_partitioned_leader(context):
    for seed in range(10):
        cluster = start_cluster(3, 0, seed)
        old = cluster.find_leader()
        cluster.faults = agreement.Faults(
            isolated=frozenset({cluster.hosts.index(old)})
        )
        cut_at = cluster.now
        cluster.read(old)
        answered = len(cluster.reads)
        cluster.run_until(lambda old=old: not old.replica.is_leader)
        limit = old.replica._core.timing.election_max_s
        assert cluster.now - cut_at <= limit, cluster.now - cut_at
        assert len(cluster.reads) == answered, "a partitioned leader answered a read"
        cluster.commit()
        leader = cluster.find_leader()
        term = leader.replica.term
        for _ in range(200):
            cluster.step()
        cluster.faults = agreement.Faults()
        for _ in range(200):
            cluster.step()
        assert leader.replica.is_leader and leader.replica.term == term
        assert old.replica.leader == leader.replica.identity


@behave.then("a log leader stalled past an election answers no stale read")
def check_stalled_leader(context):
    for seed in range(10):
        check_stalled_read(start_cluster(3, 0, seed))


def check_stalled_read(cluster):
    old = cluster.find_leader()
    end = cluster.now + 1.0
    cluster.run_until(lambda: cluster.now >= end)
    old.stalled_until = cluster.now + agreement.STALL_S
    cluster.run_until(lambda: cluster.find_leader() is not old)
    cluster.propose(cluster.find_leader())
    cluster.run_until(lambda: len(cluster.reference.acknowledged) > 1)
    assert old.is_stalled
    answered = len(cluster.reads)
    cluster.read(old)
    cluster.run_until(lambda: not old.replica.is_leader)
    assert len(cluster.reads) == answered, "a deposed leader answered a read"


@behave.then("late entries of a deposed log leader are rejected with the newer term")
def check_late_entries(context):
    cluster = start_cluster(3, 0, 1)
    old = cluster.find_leader().replica
    remove_host(cluster, cluster.find_leader())
    cluster.commit()
    leader = cluster.find_leader()
    follower = next(host for host in cluster.hosts if host is not leader)
    last, term = follower.replica.last_index, follower.replica.term
    late = protocol.LogEntry(last, old.term, protocol.EntryKind.CHANGE, b"late")
    request = protocol.AppendRequest(old.identity, old.term, 1, 1, (late,), last, 9)
    effects = follower.replica.receive(request, cluster.now)
    replies = [effect.message for effect in effects]
    assert [(reply.accepted, reply.term) for reply in replies] == [(False, term)]
    assert follower.replica.leader == leader.replica.identity
    assert follower.replica.last_index == last


def build_replica(hard_state, entries=()):
    voters = tuple(protocol.Voter(f"host-{number}", "disk") for number in range(3))
    stored = protocol.StoredState(voters[0], hard_state, None, entries)
    membership = protocol.Membership(voters)
    built = replica.Replica(
        stored, membership, timing.Timing(), random.Random(1), now=0.0
    )
    return built, voters


def list_sent(effects, kind):
    sent = [effect.message for effect in effects if hasattr(effect, "message")]
    return [message for message in sent if isinstance(message, kind)]


@behave.then("a log replica sends its vote only after the vote is synced")
def check_vote_sync(context):
    built, voters = build_replica(protocol.HardState())
    request = protocol.VoteRequest(voters[1], 1, 0, 0, pre_vote=False)
    effects = built.receive(request, 9.0)
    assert effects == [protocol.Persist(protocol.HardState(1, voters[1]))]
    (reply,) = list_sent(built.report_synced(9.0), protocol.VoteReply)
    assert reply.granted
    rival = protocol.VoteRequest(voters[2], 1, 0, 0, pre_vote=False)
    (refusal,) = list_sent(built.receive(rival, 9.0), protocol.VoteReply)
    assert not refusal.granted


@behave.then("a log leader commits no entry of an older term by counting replicas")
def check_older_entry(context):
    older = protocol.LogEntry(1, 2, protocol.EntryKind.CHANGE, b"older")
    built, voters = build_replica(protocol.HardState(3), (older,))
    built.tick(9.0)
    built.receive(protocol.VoteReply(voters[1], 4, True, True), 9.0)
    built.report_synced(9.0)
    built.receive(protocol.VoteReply(voters[1], 4, True, False), 9.0)
    assert built.is_leader and built.term == 4
    built.report_synced(9.0)
    built.receive(protocol.AppendReply(voters[1], 4, True, 1, 1), 9.0)
    assert built.commit_index == 0
    built.receive(protocol.AppendReply(voters[1], 4, True, 2, 1), 9.0)
    assert built.commit_index == 2


@behave.then("a log request beyond the limit is refused and the waiting ones complete")
def check_request_limit(context):
    async def main(hosts):
        await hosts.start()
        await hosts.commit(["first"])
        leader = hosts.find_leader()
        limit = replicationrequests.MAX_WAITING_REQUESTS
        waiting = [asyncio.ensure_future(leader.read()) for _ in range(limit)]
        await asyncio.sleep(0)
        refused = await leader.read()
        assert isinstance(refused.failure(), errors.LogUnavailableError)
        answers = await asyncio.gather(*waiting)
        assert {answer.unwrap() for answer in answers} == {2}
        assert (await leader.read()).unwrap() == 2

    run_hosts(context, main)


@behave.then("each unsafe log membership change is refused with its reason")
def check_unsafe_memberships(context):
    built, voters = build_replica(protocol.HardState(3))
    nonmember = protocol.Voter("spare", "disk")
    with_learner = protocol.Membership(voters, (nonmember,))
    reason = refusals.Refusal

    def propose(*new_voters, learners=()):
        membership = protocol.Membership(new_voters, learners)
        effects = built.propose_membership("change", membership, 9.0)
        done = [item for item in effects if isinstance(item, protocol.ProposalDone)]
        return done[0].error if done else ""

    assert propose(*voters[:2]) is reason.NOT_LEADER
    built.tick(9.0)
    built.receive(protocol.VoteReply(voters[1], 4, True, True), 9.0)
    built.report_synced(9.0)
    built.receive(protocol.VoteReply(voters[1], 4, True, False), 9.0)
    built.report_synced(9.0)
    assert propose(*voters[:2]) is reason.TERM_NOT_STARTED
    built.receive(protocol.AppendReply(voters[1], 4, True, 1, 1), 9.0)
    assert propose() is reason.NO_VOTERS
    assert propose(voters[0]) is reason.MORE_THAN_ONE_VOTER
    assert propose(*voters, nonmember) is reason.NOT_CAUGHT_UP
    assert propose(*voters, learners=with_learner.learners) == ""
    assert propose(*voters[:2]) is reason.CHANGE_PENDING
    built.report_synced(9.0)
    built.receive(protocol.AppendReply(voters[1], 4, True, 2, 2), 9.0)
    assert built.membership == with_learner and built.commit_index == 2
    assert propose(*voters, nonmember) is reason.NOT_CAUGHT_UP
    built.receive(protocol.AppendReply(nonmember, 4, True, 2, 2), 9.0)
    assert propose(*voters, nonmember) == ""


@behave.then("the first leader after split elections knows that there was none before")
def check_first_leader(context):
    context.clusters = []
    for seed in range(40):
        cluster = agreement.Cluster(3, seed=seed)
        cluster.faults = agreement.Faults(loss=0.3)
        cluster.run_until(lambda cluster=cluster: cluster.find_leader() is not None)
        leader = cluster.find_leader()
        assert leader.replica.is_first_leader, (seed, leader.replica.term)
        context.clusters.append((leader.replica.term, cluster))
    terms = [term for term, _ in context.clusters]
    assert max(terms) > 1, "no election was split"


@behave.then("the leader after it knows that there was one")
def check_next_leader(context):
    for term, cluster in context.clusters[:10]:
        cluster.faults = agreement.Faults()
        cluster.commit()
        former = cluster.find_leader()
        cluster.faults = agreement.Faults(
            isolated=frozenset({cluster.hosts.index(former)})
        )

        def has_next(cluster=cluster, former=former):
            leader = cluster.find_leader()
            return leader not in (None, former)

        cluster.run_until(has_next)
        assert cluster.find_leader().replica.term > term
        assert not cluster.find_leader().replica.is_first_leader

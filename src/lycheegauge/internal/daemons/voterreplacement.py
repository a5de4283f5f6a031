"""Replaces a voter of the log on an operator's request: add, catch up, remove.

The replaced voter is alive, so the new one is added first: removing first would
leave one voter fewer for no reason. Only one membership change is proposed at a
time.
"""

import asyncio

from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination.agreement import repair
from lycheegauge.internal.daemons import replication
from lycheegauge.internal.protocol import agreement

CATCH_UP_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.1

Outcome = result.Result[agreement.Membership, errors.LycheegaugeError]


async def replace_voter(
    task: replication.ReplicationTask, old_host: str, new_host: str
) -> Outcome:
    """Replaces the voter on ``old_host`` by the replica on ``new_host``.

    It may be called again after a failure and continues where it stopped.
    """
    contacts = task.describe_contacts()
    if contacts is None:
        return _make_failure("this replica is not the leader; retry", task.leader)
    new = _find_replica(contacts, new_host)
    if new is None:
        return _make_failure(
            f"no replica on {new_host} has announced itself; start an entry host "
            "there with a data folder and the current voters in 'log.voters'"
        )
    added = await _add(task, new)
    if isinstance(added, result.Failure):
        return added
    return await _remove(task, old_host)


async def _add(task: replication.ReplicationTask, new: agreement.Voter) -> Outcome:
    membership = task.membership
    if new in membership.voters:
        return result.Success(membership)
    if new not in membership.learners:
        learners = (*membership.learners, new)
        outcome = await _propose(task, membership.voters, learners)
        if isinstance(outcome, result.Failure):
            return outcome
    if not await _wait_until_caught_up(task, new):
        return _make_failure(f"{new.host} has not caught up yet; retry", new)
    membership = task.membership
    learners = tuple(item for item in membership.learners if item != new)
    return await _propose(task, (*membership.voters, new), learners)


async def _remove(task: replication.ReplicationTask, old_host: str) -> Outcome:
    membership = task.membership
    voters = tuple(item for item in membership.voters if item.host != old_host)
    if voters == membership.voters:
        return result.Success(membership)
    return await _propose(task, voters, membership.learners)


async def _propose(
    task: replication.ReplicationTask,
    voters: tuple[agreement.Voter, ...],
    learners: tuple[agreement.Voter, ...],
) -> Outcome:
    membership = agreement.Membership(voters, learners)
    outcome = await task.propose_membership(membership)
    return outcome.map(lambda _: membership)


async def _wait_until_caught_up(
    task: replication.ReplicationTask, new: agreement.Voter
) -> bool:
    for _ in range(int(CATCH_UP_TIMEOUT_S / POLL_INTERVAL_S)):
        contacts = task.describe_contacts()
        if contacts is not None and new in contacts.caught_up:
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


def _find_replica(contacts: repair.Contacts, host: str) -> agreement.Voter | None:
    known = (
        *contacts.membership.voters,
        *contacts.membership.learners,
        *contacts.nonmembers,
    )
    return next((item for item in known if item.host == host), None)


def _make_failure(message: str, peer: agreement.Voter | None = None) -> Outcome:
    where = peer.host if peer else ""
    return result.Failure(errors.LogUnavailableError(message, "replace voter", where))

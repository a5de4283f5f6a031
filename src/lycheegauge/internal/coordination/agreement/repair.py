"""Automatic replacement of a voter that has not responded for a long time.

A replacement consists of two single-voter changes. With an odd number of voters the
failed voter is removed first and its successor is added second, because of what
happens if one more host fails between the two (see ``docs/design-agreement.md``). If
the successor were added first, the larger quorum would need it, so its loss would stop
the log. Removing a voter that does not respond takes nothing from the quorum. With an
even number, as after the first of two removals, adding a voter does not raise the
quorum, so the successor is added first.
"""

import dataclasses

from lycheegauge.internal.coordination.agreement import quorum
from lycheegauge.internal.protocol import agreement

MAX_LEARNERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """The leader's view of the members and of replicas that may become members.

    Attributes:
        membership: The membership in effect.
        responsive: The members that answered within the minimum election timeout,
            including the leader itself.
        failed: The members that have not answered for ``replace_after_s``, and
            those whose host now runs with another disk.
        caught_up: The learners that have synced the log up to the commit index.
        nonmembers: Replicas that contacted the leader and are not members.
    """

    membership: agreement.Membership
    responsive: frozenset[agreement.Voter]
    failed: frozenset[agreement.Voter]
    caught_up: frozenset[agreement.Voter]
    nonmembers: tuple[agreement.Voter, ...]


class Repair:
    """Decides on the next membership change.

    Args:
        voters: The intended number of voters.
        hosts: The hosts whose replicas may become members, or ``None`` for any host.
    """

    def __init__(self, voters: int, hosts: frozenset[str] | None) -> None:
        self._voters = voters
        self._hosts = hosts

    def decide(self, contacts: Contacts) -> agreement.Membership | None:
        """Returns the next membership to propose, or ``None`` if no change is due."""
        membership = contacts.membership
        successor = self._find_successor(contacts)
        grown = None
        if successor is not None and len(membership.voters) < self._voters:
            grown = _promote(membership, successor)
        if grown is not None and len(membership.voters) % 2 == 0:
            return grown
        removed = self._find_voter_to_remove(contacts, successor)
        if removed is not None:
            return _remove(membership, removed)
        return grown or self._add_learner(contacts)

    def _find_successor(self, contacts: Contacts) -> agreement.Voter | None:
        """Finds a learner that is caught up, on a host without a working voter."""
        taken = {
            voter.host
            for voter in contacts.membership.voters
            if voter not in contacts.failed
        }
        return next(
            (
                learner
                for learner in contacts.membership.learners
                if learner in contacts.caught_up
                and learner in contacts.responsive
                and learner.host not in taken
            ),
            None,
        )

    def _find_voter_to_remove(
        self, contacts: Contacts, successor: agreement.Voter | None
    ) -> agreement.Voter | None:
        """Finds a failed voter whose removal leaves a responsive quorum."""
        voters = contacts.membership.voters
        is_surplus = len(voters) > self._voters
        if successor is None and not is_surplus:
            return None
        responsive = [voter for voter in voters if voter in contacts.responsive]
        if len(responsive) < quorum.count_quorum(len(voters) - 1):
            return None
        return next((voter for voter in voters if voter in contacts.failed), None)

    def _add_learner(self, contacts: Contacts) -> agreement.Membership | None:
        """Adds a non-member as a learner; failed learners are removed."""
        membership = contacts.membership
        nonmember = next(
            (item for item in contacts.nonmembers if self._is_allowed(item)), None
        )
        if nonmember is None:
            return None
        kept = [
            learner
            for learner in membership.learners
            if learner.host != nonmember.host and learner not in contacts.failed
        ]
        if len(kept) >= MAX_LEARNERS:
            return None
        return dataclasses.replace(membership, learners=(*kept, nonmember))

    def _is_allowed(self, nonmember: agreement.Voter) -> bool:
        return self._hosts is None or nonmember.host in self._hosts


def _promote(
    membership: agreement.Membership, learner: agreement.Voter
) -> agreement.Membership:
    learners = tuple(item for item in membership.learners if item != learner)
    return agreement.Membership((*membership.voters, learner), learners)


def _remove(
    membership: agreement.Membership, removed: agreement.Voter
) -> agreement.Membership:
    voters = tuple(voter for voter in membership.voters if voter != removed)
    return agreement.Membership(voters, membership.learners)

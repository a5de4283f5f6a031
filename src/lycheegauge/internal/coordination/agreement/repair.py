"""Automatic replacement of a voter that has not responded for a long time.

A replacement consists of two single-voter changes: the failed voter is removed
first and its successor is added second. The order was chosen by what happens if
one more host fails between the two (see ``docs/design-agreement.md``). If the
successor were added first, the larger quorum would need it, so its loss would stop
the log. Removing a voter that does not respond takes nothing from the quorum.
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
        heard: The members that answered within the minimum election timeout,
            including the leader itself.
        silent: The members that have not answered for ``replace_after_s``, and
            those whose host now runs with another disk.
        caught_up: The learners that have synced the log up to the commit index.
        strangers: Replicas that contacted the leader and are not members.
    """

    membership: agreement.Membership
    heard: frozenset[agreement.Voter]
    silent: frozenset[agreement.Voter]
    caught_up: frozenset[agreement.Voter]
    strangers: tuple[agreement.Voter, ...]


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
        if len(membership.voters) < self._voters:
            if successor is not None:
                return _promote(membership, successor)
        else:
            leaving = self._find_leaving(contacts, successor)
            if leaving is not None:
                return _remove(membership, leaving)
        return self._admit(contacts)

    def _find_successor(self, contacts: Contacts) -> agreement.Voter | None:
        """Finds a learner that is caught up, on a host without a working voter."""
        taken = {
            voter.host
            for voter in contacts.membership.voters
            if voter not in contacts.silent
        }
        return next(
            (
                learner
                for learner in contacts.membership.learners
                if learner in contacts.caught_up
                and learner in contacts.heard
                and learner.host not in taken
            ),
            None,
        )

    def _find_leaving(
        self, contacts: Contacts, successor: agreement.Voter | None
    ) -> agreement.Voter | None:
        """Finds a failed voter whose removal leaves a responsive quorum."""
        voters = contacts.membership.voters
        is_surplus = len(voters) > self._voters
        if successor is None and not is_surplus:
            return None
        heard = [voter for voter in voters if voter in contacts.heard]
        if len(heard) < quorum.count_quorum(len(voters) - 1):
            return None
        return next((voter for voter in voters if voter in contacts.silent), None)

    def _admit(self, contacts: Contacts) -> agreement.Membership | None:
        """Adds a non-member as a learner; failed learners are removed."""
        membership = contacts.membership
        stranger = next(
            (item for item in contacts.strangers if self._is_allowed(item)), None
        )
        if stranger is None:
            return None
        kept = [
            learner
            for learner in membership.learners
            if learner.host != stranger.host and learner not in contacts.silent
        ]
        if len(kept) >= MAX_LEARNERS:
            return None
        return dataclasses.replace(membership, learners=(*kept, stranger))

    def _is_allowed(self, stranger: agreement.Voter) -> bool:
        return self._hosts is None or stranger.host in self._hosts


def _promote(
    membership: agreement.Membership, learner: agreement.Voter
) -> agreement.Membership:
    learners = tuple(item for item in membership.learners if item != learner)
    return agreement.Membership((*membership.voters, learner), learners)


def _remove(
    membership: agreement.Membership, leaving: agreement.Voter
) -> agreement.Membership:
    voters = tuple(voter for voter in membership.voters if voter != leaving)
    return agreement.Membership(voters, membership.learners)

"""Validation of the membership changes that a leader may append."""

from lycheegauge.internal.coordination.agreement import refusals
from lycheegauge.internal.protocol import agreement


def find_refusal(
    current: agreement.Membership,
    proposed: agreement.Membership,
    caught_up: frozenset[agreement.Voter],
) -> refusals.Refusal | None:
    """Returns the reason to refuse a membership change, or ``None`` to allow it.

    Any majorities of two memberships that differ by one voter overlap, so no joint
    consensus is needed (Ongaro 2014, section 4.1).

    Args:
        current: The membership in effect.
        proposed: The requested membership.
        caught_up: The learners that have synced the log up to the commit index.
    """
    if not proposed.voters:
        return refusals.Refusal.NO_VOTERS
    added = set(proposed.voters) - set(current.voters)
    removed = set(current.voters) - set(proposed.voters)
    if len(added) + len(removed) > 1:
        return refusals.Refusal.MORE_THAN_ONE_VOTER
    if not added <= caught_up:
        return refusals.Refusal.NOT_CAUGHT_UP
    return None

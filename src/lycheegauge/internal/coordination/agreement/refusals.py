"""Reasons for which the log refuses a proposal or a read."""

import enum


class Refusal(enum.StrEnum):
    """The ``error`` of a ``ProposalDone`` or ``ReadDone``."""

    NOT_LEADER = "this replica is not the leader"
    LEADERSHIP_LOST = "leadership ended before the outcome was known"
    CHANGE_PENDING = "another membership change is not committed yet"
    TERM_NOT_STARTED = "no entry of the leader's own term is committed yet"
    MORE_THAN_ONE_VOTER = "only one voter may be added or removed at a time"
    NOT_CAUGHT_UP = "a new voter must be a learner that has synced the whole log"
    NO_VOTERS = "a membership needs at least one voter"
    QUORUM_SILENT = "the new membership's quorum is not in contact"

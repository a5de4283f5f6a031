"""Timeouts and intervals of the replicated log."""

import dataclasses

HEARTBEAT_S = 0.4
ELECTION_MIN_S = 1.2
ELECTION_MAX_S = 2.4
READ_INTERVAL_S = 0.1
COMMIT_NOTICE_S = 0.05
REPLACE_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts and intervals of one replica, in seconds.

    Attributes:
        heartbeat_s: The interval between heartbeats of an idle leader.
        election_min_s: The minimum election timeout. A leader that has no replies
            from a quorum for this long steps down, and a replica that heard from a
            leader within this time grants no vote.
        election_max_s: The maximum election timeout. A follower waits a random time
            between ``election_min_s`` and this before it starts an election.
        first_election_min_s: The minimum election timeout of a replica that has
            just started.
        first_election_max_s: The maximum election timeout of a replica that has
            just started.
        read_interval_s: The minimum interval between heartbeat rounds that are sent
            for reads; reads within it share a round.
        commit_notice_s: How long a new commit index waits to be sent along with
            entries before it is sent on its own.
        replace_after_s: A voter that has not answered for this long is replaced.
    """

    heartbeat_s: float = HEARTBEAT_S
    election_min_s: float = ELECTION_MIN_S
    election_max_s: float = ELECTION_MAX_S
    first_election_min_s: float = ELECTION_MIN_S
    first_election_max_s: float = ELECTION_MAX_S
    read_interval_s: float = READ_INTERVAL_S
    commit_notice_s: float = COMMIT_NOTICE_S
    replace_after_s: float = REPLACE_AFTER_S

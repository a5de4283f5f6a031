"""Durations that the replicated log works with."""

import dataclasses

HEARTBEAT_S = 0.4
ELECTION_MIN_S = 1.2
ELECTION_MAX_S = 2.4
READ_INTERVAL_S = 0.1
COMMIT_NOTICE_S = 0.05
REPLACE_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations of one replica, in seconds.

    Attributes:
        heartbeat_s: An idle leader sends a heartbeat this often.
        election_min_s: A leader without replies from a quorum for so long steps
            down, and a replica that heard a leader within it gives no vote.
        election_max_s: A follower waits between ``election_min_s`` and this
            before it stands for election.
        first_election_min_s: The same two bounds for a replica that has just
            started.
        first_election_max_s: See ``first_election_min_s``.
        read_interval_s: Reads share heartbeat rounds at least so far apart.
        commit_notice_s: A new commit index waits so long for entries to travel
            with before it is sent alone.
        replace_after_s: A voter that is silent for so long is replaced.
    """

    heartbeat_s: float = HEARTBEAT_S
    election_min_s: float = ELECTION_MIN_S
    election_max_s: float = ELECTION_MAX_S
    first_election_min_s: float = ELECTION_MIN_S
    first_election_max_s: float = ELECTION_MAX_S
    read_interval_s: float = READ_INTERVAL_S
    commit_notice_s: float = COMMIT_NOTICE_S
    replace_after_s: float = REPLACE_AFTER_S

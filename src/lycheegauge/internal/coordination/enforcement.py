"""Checks whether a revision is in force everywhere, and which processes lag.

A revision is in force when every reachable process has applied it and the lease
of every other process, known or unknown, has expired. The second part needs no
message from those processes: a lease under an older revision dates from before
the newer revision was committed, so it expires at most ``leases.LEASE_S`` after
that commit.
"""

import collections.abc
import dataclasses

from lycheegauge.internal.coordination import directory, leases

REACHABILITY_TIMEOUT_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class MissingProcess:
    """A process that is not known to have applied a revision.

    ``revision`` is the one that it applied last. ``lease_left_s`` is how long it
    may still start work under that revision, in seconds; 0 if it may not.
    """

    process: str
    availability_zone: str
    revision: int
    reachable: bool
    lease_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Enforcement:
    """How far a revision is in force.

    ``lease_left_s`` is the longest time that any process, including unknown ones,
    may still start work under an older revision, in seconds.
    """

    revision: int
    in_force: bool
    applied: int
    missing: tuple[MissingProcess, ...]
    lease_left_s: float


def check_enforcement(
    revision: int,
    applied_at: float,
    processes: collections.abc.Iterable[directory.ProcessRevision],
    now: float,
) -> Enforcement:
    """Checks whether a revision is in force everywhere.

    Args:
        revision: The revision to check; it must be committed.
        applied_at: When this log replica applied it, in seconds on the same clock
            as ``now``. This is later than the commit, so the result errs towards
            "not yet in force", also after a restart of the replica.
        processes: The processes in this replica's directory.
        now: The time, in seconds.
    """
    lease_left_s = max(0.0, applied_at + leases.LEASE_S - now)
    applied = 0
    missing = []
    for process in processes:
        if process.applied.revision >= revision:
            applied += 1
            continue
        reachable = now - process.last_seen_at < REACHABILITY_TIMEOUT_S
        missing.append(
            MissingProcess(
                process.applied.process,
                process.applied.availability_zone,
                process.applied.revision,
                reachable,
                lease_left_s,
            )
        )
    all_reachable_applied = not any(process.reachable for process in missing)
    in_force = all_reachable_applied and lease_left_s == 0.0
    return Enforcement(revision, in_force, applied, tuple(missing), lease_left_s)

"""Freshness leases: new work may start only under a recent proof.

A proof states that no revision newer than its own existed at some point in time.
Its holder may start new work for ``LEASE_S`` seconds after that point. So
``LEASE_S`` seconds after a revision was committed, no process starts work under an
older one, not even a process that is partitioned or unknown to all others.

The point in time has a lower bound: when the holder sent its request, minus the
age that the response states. A network delay can therefore only shorten a lease.
A proof that arrives unsolicited, rather than in response to the holder's own
request, has no such bound, so the interface accepts none. This follows leases
(Gray and Cheriton, SOSP 1989), with the term counted at the holder as in ReadIndex
of the Raft thesis (Ongaro 2014, 6.4).
"""

import collections
import dataclasses
import math

from lycheegauge.internal.protocol import agreement, freshness

LEASE_S = 2.5
MAX_PENDING_REQUESTS = 16
CONFIRMATION_INTERVAL_S = 0.1
MAX_CONFIRMATION_AGE_S = 1.0


class FreshnessLease:
    """The lease of an entry host, a log replica or an agent.

    Args:
        lease_s: How long a proof is valid, in seconds.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self.lease_s = lease_s
        self.revision = 0
        self.log_time_s = 0.0
        self._confirmed_at = -math.inf
        self._last_request_number = 0
        self._pending_requests: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    @property
    def ends_at(self) -> float:
        """When the lease expires, in seconds of the holder's clock."""
        return self._confirmed_at + self.lease_s

    def begin_request(self, now: float) -> int:
        """Records that a request is about to be sent; returns its number.

        Must be called before the request is sent. Only responses to the newest
        ``MAX_PENDING_REQUESTS`` pending requests are accepted.
        """
        self._last_request_number += 1
        self._pending_requests[self._last_request_number] = now
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            self._pending_requests.popitem(last=False)
        return self._last_request_number

    def apply_response(
        self, request_number: int, proof: freshness.Proof | None, now: float
    ) -> bool:
        """Renews the lease with the response to a pending request.

        A proof for an older revision than the holder's still shows that nothing
        newer existed at its point in time. It may renew the lease, but the
        configuration that came with it is outdated.

        Returns:
            Whether the proof's revision is at least the holder's own. The caller
            must then apply the configuration that came with the proof before it
            starts any other work.
        """
        sent_at = self._pending_requests.pop(request_number, None)
        if sent_at is None or proof is None or not _is_valid(proof):
            return False
        if sent_at > now:
            return False
        self._confirmed_at = max(self._confirmed_at, sent_at - proof.age_s)
        self.log_time_s = max(self.log_time_s, proof.log_time_s)
        is_current = proof.revision >= self.revision
        self.revision = max(self.revision, proof.revision)
        return is_current

    def allows_start(self, now: float) -> bool:
        """Returns whether new work may start at ``now``."""
        return now < self.ends_at

    def make_proof(self, now: float) -> freshness.Proof | None:
        """Returns a proof to pass on, or ``None`` if the lease has expired."""
        if not self.allows_start(now):
            return None
        age_s = max(0.0, now - self._confirmed_at)
        return freshness.Proof(self.revision, age_s, self.log_time_s)


def _is_valid(proof: freshness.Proof) -> bool:
    # All comparisons with a NaN age are false, and a negative age would extend the
    # lease beyond the time of the request.
    return 0.0 <= proof.age_s < math.inf and math.isfinite(proof.log_time_s)


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedState:
    """How far a log replica has applied the log."""

    index: int
    revision: int
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Confirmation:
    started_at: float
    commit_index: int


class ProofIssuer:
    """Issues proofs at the log's leader, based on quorum confirmations.

    All requesters share one confirmation: a proof's age counts from the start of
    the confirmation, so later requesters may use it too. The log therefore runs
    at most one confirmation round per ``interval_s``, regardless of the number of
    requesters.

    Args:
        interval_s: The minimum time between two confirmations, in seconds.
    """

    def __init__(self, interval_s: float = CONFIRMATION_INTERVAL_S) -> None:
        self.interval_s = interval_s
        self._last_read_number = 0
        self._pending: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._last_started_at = -math.inf
        self._confirmation: _Confirmation | None = None

    def begin_read(self, now: float) -> str | None:
        """Returns the id of a read to submit to the log, or ``None`` if not yet due.

        Call this for each request and, while there are requesters, every
        ``interval_s``. A read that is never answered does not block the next one.
        """
        if now - self._last_started_at < self.interval_s:
            return None
        self._last_started_at = now
        self._last_read_number += 1
        read_id = f"proof-{self._last_read_number}"
        self._pending[read_id] = now
        while len(self._pending) > MAX_PENDING_REQUESTS:
            self._pending.popitem(last=False)
        return read_id

    def finish_read(self, done: agreement.ReadDone) -> None:
        """Processes the log's response; one with an error confirms nothing."""
        started_at = self._pending.pop(done.read_id, None)
        if started_at is None or done.error:
            return
        held = self._confirmation
        if held is None or started_at > held.started_at:
            self._confirmation = _Confirmation(started_at, done.commit_index)

    def make_proof(self, applied: AppliedState, now: float) -> freshness.Proof | None:
        """Returns a proof for the revision that the replica applied.

        Returns ``None`` if there is no recent confirmation, or if the replica has
        not yet applied all entries that were committed at the confirmation.
        """
        held = self._confirmation
        if held is None or applied.index < held.commit_index:
            return None
        age_s = max(0.0, now - held.started_at)
        if age_s > MAX_CONFIRMATION_AGE_S:
            return None
        return freshness.Proof(applied.revision, age_s, applied.log_time_s)

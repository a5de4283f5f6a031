"""Divides the limits that apply to all entry hosts together among the hosts.

The log's leader leases each entry host a fraction of every such limit. The fractions
that may be in use never add up to more than one, whichever hosts restart, join, leave
or are cut off, and while the leader changes: a grant counts as in use from when it is
made until its holder acknowledges a later one or its lease expires, whether or not it
arrived. The leader measures the lease from when it makes the grant and the holder from
when it sent its demand, which is earlier, so no clocks are compared.

A limit on a time window looks at the fractions held in the whole window. So that a host
that has just started need not wait for that time, a part is kept for such hosts, and a
grant states how much of it no host held within the window.
"""

import collections
import dataclasses
import math

from lycheegauge.internal.protocol import roster

CLOCK_MARGIN_S = 0.2
"""Maximum drift between two hosts' clocks during one lease, in seconds."""

EQUAL_FRACTION = 0.25
"""Part of what is granted that is divided equally; the rest follows the demand. A host
without recent requests can therefore serve the first ones that reach it."""

NEW_HOSTS_FRACTION = 0.1
"""Part of every limit that only hosts without a share are granted."""

BASE_WEIGHT_PER_S = 1.0
"""Requests per second added to each demand, so that the first requests after a start
don't move the fractions."""

GATHERING_S = 0.6
"""How long the first leader of a log waits for the demands of all hosts, in seconds."""

REVIEW_INTERVAL_S = 0.05
"""How often all holders are looked at, in seconds: expired grants, sums and positions.
A grant itself then costs the same with any number of hosts. Until its expiry is seen, a
grant counts as in use, which errs on the safe side."""

SAMPLE_INTERVAL_S = 0.25
"""Resolution of the history of what was in use, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    sequence: int
    fraction: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Holder:
    """One incarnation of an entry host and its grants that may be in use."""

    sequence: int = 0
    weight: float = 0.0
    present_until: float = 0.0
    grants: list[_Grant] = dataclasses.field(default_factory=list)

    @property
    def used(self) -> float:
        return max((grant.fraction for grant in self.grants), default=0.0)


@dataclasses.dataclass(slots=True)
class _Sample:
    """The highest sum of fractions in use from ``at`` until the next sample."""

    at: float
    total: float


class ShareGranter:
    """Grants fractions on behalf of the log's leader, for one term.

    The grants of the previous leader are unknown. Until their leases have expired,
    fractions are only renewed as their holders report them, which does not increase
    their sum.

    Args:
        lease_s: How long a grant is valid, in seconds.
        started_at: When this host became the leader, in seconds.
        is_first: Whether there was no leader before, and so no grant.
    """

    def __init__(
        self, lease_s: float, started_at: float, is_first: bool = False
    ) -> None:
        self._lease_s = lease_s
        waits_s = GATHERING_S if is_first else lease_s + CLOCK_MARGIN_S
        self._recovered_at = started_at + waits_s
        self._holders: dict[str, _Holder] = {}
        self._reviewed_at = -math.inf
        self._used_total = 0.0
        self._weight_total = 0.0
        self._positions: dict[str, float] = {}
        self._window_s = 0.0
        # What was in use before is unknown unless there was no leader.
        self._history = collections.deque(
            [_Sample(started_at, 0.0 if is_first else 1.0)]
        )

    def grant(
        self,
        incarnation: str,
        demand: roster.HostDemand,
        is_informed: bool,
        proof_age_s: float,
        now: float,
    ) -> roster.HostShare | None:
        """Answers a demand; returns ``None`` if it can't be answered.

        Args:
            incarnation: The entry host's process start.
            demand: Its demand.
            is_informed: Whether the entry host knew this leader when it sent the
                demand. If not, the previous leader may have given away since then
                what the demand says is held, so it can't be renewed.
            proof_age_s: How long ago this host was known to be the leader, in seconds.
                A later leader may have started since then.
            now: Current time in seconds.
        """
        is_new = incarnation not in self._holders
        if is_new or now >= self._reviewed_at + REVIEW_INTERVAL_S:
            self._review(incarnation, now)
        holder = self._holders[incarnation]
        if demand.sequence <= holder.sequence:
            return None
        self._update_holder(holder, demand, now)
        is_recovering = now < self._recovered_at
        if is_recovering and not is_informed:
            return None
        target = demand.held_fraction if is_recovering else self._compute_target(holder)
        fraction = max(0.0, min(target, self._count_free(holder, is_recovering)))
        used_before = holder.used
        unused = self._count_unused(fraction - used_before, now)
        holder.grants.append(_Grant(demand.sequence, fraction, holder.present_until))
        self._used_total += holder.used - used_before
        self._record_total(unused, now)
        lease_s = max(0.0, self._lease_s - proof_age_s)
        return roster.HostShare(
            demand.sequence, fraction, lease_s, unused, self._positions[incarnation]
        )

    def _update_holder(
        self, holder: _Holder, demand: roster.HostDemand, now: float
    ) -> None:
        weight_before, used_before = holder.weight, holder.used
        holder.sequence = demand.sequence
        holder.weight = max(0.0, demand.weight)
        self._weight_total += holder.weight - weight_before
        holder.present_until = now + self._lease_s + CLOCK_MARGIN_S
        # The holder has applied this grant, so it uses none of the earlier ones.
        holder.grants = [
            grant for grant in holder.grants if grant.sequence >= demand.held_sequence
        ]
        self._used_total += holder.used - used_before
        self._window_s = max(self._window_s, demand.window_s)

    def _compute_target(self, holder: _Holder) -> float:
        """Returns the fraction that a holder is to have."""
        count = len(self._holders)
        proportional = (holder.weight + BASE_WEIGHT_PER_S) / (
            self._weight_total + BASE_WEIGHT_PER_S * count
        )
        fraction = EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * proportional
        return (1.0 - NEW_HOSTS_FRACTION) * fraction

    def _count_free(self, holder: _Holder, is_recovering: bool) -> float:
        """Returns the highest fraction that a holder may be granted now."""
        free = 1.0 - (self._used_total - holder.used)
        if is_recovering or holder.used <= 0.0:
            return free
        # It keeps what it has, but does not take what is kept for new hosts.
        return max(free - NEW_HOSTS_FRACTION, min(free, holder.used))

    def _count_unused(self, increase: float, now: float) -> float:
        """Returns the part of an increase that was never in use in the window."""
        if increase <= 0.0:
            return 0.0
        while len(self._history) > 1 and self._history[1].at <= now - self._window_s:
            self._history.popleft()
        peak = max(sample.total for sample in self._history)
        return max(0.0, min(increase, 1.0 - peak))

    def _record_total(self, unused: float, now: float) -> None:
        """Records what is in use, and ``unused`` as if it had been in use before."""
        if unused:
            for sample in self._history:
                sample.total += unused
        last = self._history[-1]
        if now < last.at + SAMPLE_INTERVAL_S:
            last.total = max(last.total, self._used_total)
        else:
            self._history.append(_Sample(now, self._used_total))

    def _review(self, present: str, now: float) -> None:
        """Removes what has expired, and computes sums and positions anew."""
        self._reviewed_at = now
        self._remove_expired(now)
        self._holders.setdefault(present, _Holder())
        self._used_total = sum(holder.used for holder in self._holders.values())
        self._weight_total = sum(holder.weight for holder in self._holders.values())
        position, self._positions = 0.0, {}
        for incarnation, holder in sorted(self._holders.items()):
            self._positions[incarnation] = position
            position += self._compute_target(holder)

    def _remove_expired(self, now: float) -> None:
        for incarnation, holder in list(self._holders.items()):
            holder.grants = [grant for grant in holder.grants if grant.expires_at > now]
            if not holder.grants and holder.present_until <= now:
                del self._holders[incarnation]

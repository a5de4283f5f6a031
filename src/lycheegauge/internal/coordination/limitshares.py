"""Divides an organisation's limits among the entry hosts that request shares.

The sum of all shares that may be in use never exceeds the limit. A grant counts
as in use from when it is made until its holder acknowledges a later one or its
lease expires, whether or not the grant arrived. The granter measures the lease
from receipt of the request and the holder from when it sent it, which is earlier,
so no clocks are compared.
"""

import collections.abc
import itertools

from lycheegauge.internal.coordination import limitrecords
from lycheegauge.internal.coordination import limits as holders
from lycheegauge.internal.protocol import intents, limits

# Maximum drift between two hosts' clocks during one lease.
CLOCK_MARGIN_S = 0.2
# Fraction of the unrequested part of a limit that is kept for new holders.
RESERVED_FRACTION = 0.5
FORMER_HOSTS_MAX = 8
# Holders, and organisations, that are checked for expiry with each request.
SWEEP_BATCH_SIZE = 16
GRANTED_ORGANISATIONS_MAX = 8192


class ShareGranter:
    """Grants shares of the organisations whose home is this host.

    After a start, the leases of the previous granter are unknown. Until they have
    expired, shares are only renewed as their holders report them, which does not
    increase the total granted. A report that was sent before this granter started is
    not renewed: the previous granter may have given the share away since then.

    Args:
        name: This host's name.
        started_at: Monotonic time in seconds.
    """

    def __init__(self, name: str, started_at: float) -> None:
        self._name = name
        self._start = f"{name}/{started_at}"
        self._recovered_at = started_at + holders.LEASE_S + CLOCK_MARGIN_S
        self._limits: dict[str, intents.Organisation] = {}
        self._pools: dict[str, limitrecords.GrantPool] = {}
        self._sequences: dict[str, tuple[int, float]] = {}
        self._hosts: tuple[str, ...] = (name,)
        self._former_hosts: list[tuple[tuple[str, ...], float]] = []

    def set_hosts(self, hosts: collections.abc.Collection[str], now: float) -> None:
        """Replaces the log hosts, among which home hosts are chosen.

        An organisation whose home moves to this host is treated as after a start
        until the leases of its previous home have expired.
        """
        if tuple(hosts) == self._hosts:
            return
        until = now + holders.LEASE_S + CLOCK_MARGIN_S
        self._former_hosts.append((self._hosts, until))
        self._hosts = tuple(hosts)
        if len(self._former_hosts) > FORMER_HOSTS_MAX:
            self._recovered_at = max(self._recovered_at, until)
            self._former_hosts.clear()

    def set_limits(
        self, organisations: collections.abc.Iterable[intents.Organisation]
    ) -> None:
        """Replaces the limits; a lower limit takes full effect after one lease."""
        self._limits = {
            item.name: item for item in organisations if limitrecords.is_limited(item)
        }

    def handle_request(
        self, request: limits.ShareRequest, now: float
    ) -> limits.ShareGrant | None:
        """Answers a request; returns ``None`` for a duplicate or outdated one."""
        latest, _ = self._sequences.get(request.holder, (0, 0.0))
        if request.sequence <= latest:
            return None
        self._remove_expired(now)
        self._sequences[request.holder] = (request.sequence, now)
        is_informed = request.known_granter == self._start
        shares = tuple(
            self._grant(request, demand, now)
            for demand in request.demands
            if demand.organisation in self._limits
            and holders.find_home(demand.organisation, self._hosts) == self._name
            and (is_informed or not self._is_recovering(demand.organisation, now))
        )
        return limits.ShareGrant(
            self._name,
            request.holder,
            request.sequence,
            holders.LEASE_S,
            shares,
            self._start,
        )

    def count_organisations(self) -> int:
        """Returns the number of organisations with granted shares."""
        return len(self._pools)

    def _grant(
        self, request: limits.ShareRequest, demand: limits.LimitDemand, now: float
    ) -> limits.LimitShare:
        name = demand.organisation
        pool = self._pools.get(name)
        if pool is None:
            if len(self._pools) >= GRANTED_ORGANISATIONS_MAX:
                return limits.LimitShare(name, 0.0, 0)
            pool = self._pools[name] = limitrecords.GrantPool()
        pool.sweep(now)
        record = pool.withdraw(request.holder)
        record.rate, record.concurrency = demand.rate, demand.concurrency
        record.running = demand.running
        record.discard_before(demand.held_sequence, now)
        rate, concurrency = self._compute_grant(pool, request.holder, demand, now)
        expires_at = now + holders.LEASE_S + CLOCK_MARGIN_S
        record.add(limitrecords.Grant(request.sequence, rate, concurrency, expires_at))
        pool.put(request.holder, record)
        return limits.LimitShare(name, rate, concurrency)

    def _compute_grant(
        self,
        pool: limitrecords.GrantPool,
        holder: str,
        demand: limits.LimitDemand,
        now: float,
    ) -> tuple[float, int]:
        limit = self._limits[demand.organisation]
        if self._is_recovering(demand.organisation, now):
            rate: float = demand.held_rate
            concurrency = demand.held_concurrency
        else:
            others = len(pool.records)
            rate = compute_share(
                limit.rate_limit, demand.rate, pool.demanded_rate, others
            )
            concurrency = self._compute_concurrency(pool, holder, demand, now)
        return (
            max(0.0, min(rate, limit.rate_limit - pool.used_rate)),
            max(0, min(concurrency, limit.concurrency_limit - pool.used_concurrency)),
        )

    def _compute_concurrency(
        self,
        pool: limitrecords.GrantPool,
        holder: str,
        demand: limits.LimitDemand,
        now: float,
    ) -> int:
        limit = self._limits[demand.organisation].concurrency_limit
        others = pool.demanded_concurrency
        if demand.concurrency + others <= limit:
            share = compute_share(limit, demand.concurrency, others, len(pool.records))
            return int(share)
        asked = {name: record.concurrency for name, record in pool.records.items()}
        asked[holder] = demand.concurrency
        return compute_integer_share(limit, asked, holder, int(now / holders.LEASE_S))

    def _is_recovering(self, organisation: str, now: float) -> bool:
        if now < self._recovered_at:
            return True
        self._former_hosts = [item for item in self._former_hosts if item[1] > now]
        return any(
            holders.find_home(organisation, hosts) != self._name
            for hosts, _ in self._former_hosts
        )

    def _remove_expired(self, now: float) -> None:
        """Removes expired holders and organisations, checking a few per call."""
        for holder in list(itertools.islice(self._sequences, SWEEP_BATCH_SIZE)):
            entry = self._sequences.pop(holder)
            if now - entry[1] < 2 * holders.LEASE_S:
                self._sequences[holder] = entry
        for name in list(itertools.islice(self._pools, SWEEP_BATCH_SIZE)):
            pool = self._pools.pop(name)
            pool.sweep(now)
            if pool.records:
                self._pools[name] = pool


def compute_share(limit: float, demand: float, others: float, count: int) -> float:
    """Returns a holder's share of a limit.

    If the demands exceed the limit, it is divided in proportion to them. Otherwise
    each holder gets its demand and an equal part of the remainder, less a reserve
    for new holders, but at most twice its demand: without that bound the first
    holder to request a share would get half of the limit.

    Args:
        limit: The whole limit.
        demand: The holder's demand.
        others: Sum of the other holders' demands.
        count: Number of other holders.
    """
    if demand <= 0:
        return 0.0
    total = demand + others
    if total >= limit:
        return limit * demand / total
    left = (limit - total) * (1.0 - RESERVED_FRACTION)
    return demand + min(demand, left / (count + 1))


def compute_integer_share(
    limit: int, demands: collections.abc.Mapping[str, int], holder: str, rotation: int
) -> int:
    """Returns a holder's share of a limit in whole requests.

    The exact shares are accumulated in a fixed order, and each holder gets the
    whole numbers that its part of the running total crosses. Rounding each share
    by itself would give no holder anything if the limit is less than the number of
    holders.

    Args:
        limit: The whole limit.
        demands: The demand of each holder.
        holder: The holder whose share is returned.
        rotation: Rotates the order, so that another holder comes first.
    """
    demand = demands[holder]
    total = sum(demands.values())
    if total <= limit:
        return demand
    names = sorted(demands)
    first = rotation % len(names)
    before = 0
    for name in [*names[first:], *names[:first]]:
        if name == holder:
            break
        before += demands[name]
    return limit * (before + demand) // total - limit * before // total

"""Enforces organisations' limits at an entry host by leased shares.

A limit applies across all entry hosts without a message for each request: an
entry host leases a share of an organisation's rate and concurrency from the
organisation's home host and admits requests within that share. Without a valid
lease it admits no requests of an organisation that has a limit.
"""

import collections.abc
import dataclasses
import math

import xxhash
from returns import result

from lycheegauge.internal.coordination import limitrecords
from lycheegauge.internal.protocol import intents, limits, work

# A share expires after this time unless it is renewed.
LEASE_S = 10.0
RENEW_AFTER_S = LEASE_S / 2
# An unanswered share request is repeated after this time.
ANSWER_TIMEOUT_S = 1.0
# A share that was unused for this long is returned.
IDLE_AFTER_S = 5.0
# A new share is requested when demand differs from the last request by this factor.
DEMAND_CHANGE_FACTOR = 1.5
DEMAND_CHANGE_INTERVAL_S = 0.5
DEMAND_DECAY_S = 2.0
# Requests per second that are requested in addition to the measured arrivals.
EXTRA_RATE = 2.0
# Unused rate accumulates for up to this time, and to at least one request.
BURST_S = 2.0
HELD_ORGANISATIONS_MAX = 8192
RETRY_AFTER_S = 1.0


def find_home(organisation: str, hosts: collections.abc.Collection[str]) -> str:
    """Returns the host that grants an organisation's shares (rendezvous hash)."""
    return max(hosts, key=lambda host: _hash(organisation, host))


def _hash(organisation: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{organisation}\0{host}".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedRequest:
    """A request for shares and the host to which it is sent."""

    home: str
    request: limits.ShareRequest


@dataclasses.dataclass(slots=True)
class HeldShare:
    """A holder's state for one organisation; times are in seconds.

    ``requested_sequence`` is the last request sent and ``held_sequence`` the one
    whose grant is in use. ``arrival_rate`` is a moving average, ``peak_running`` the
    recent maximum of concurrent requests.
    """

    updated_at: float
    last_used_at: float
    rate: float = 0.0
    concurrency: int = 0
    valid_until: float = -math.inf
    tokens: float = 1.0
    running: int = 0
    arrival_rate: float = 0.0
    denied: int = 0
    peak_running: int = 0
    requested_sequence: int = 0
    held_sequence: int = 0
    requested_at: float = -math.inf
    requested_rate: float = 0.0
    requested_concurrency: int = 0
    home: str = ""


class ShareHolder:
    """Admits an entry host's requests within its leased shares.

    Args:
        name: The entry host's name and incarnation.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._sequence = 0
        self._limits: dict[str, intents.Organisation] = {}
        self._held: dict[str, HeldShare] = {}
        self._sent_at: dict[int, float] = {}
        self._granter_starts: dict[str, str] = {}

    def set_limits(
        self, organisations: collections.abc.Iterable[intents.Organisation]
    ) -> None:
        """Replaces the limits; organisations without a limit are always admitted."""
        self._limits = {
            item.name: item for item in organisations if limitrecords.is_limited(item)
        }

    def awaits_share(self, organisation: str, now: float) -> bool:
        """Returns whether ``admit`` must wait for the first share.

        The call also includes the organisation in the next share request.
        """
        if organisation not in self._limits:
            return False
        held = self._find_held(organisation, now)
        return held is not None and held.held_sequence == 0

    def admit(
        self, request: work.Request, now: float
    ) -> result.Result[None, work.Refusal]:
        """Admits a request within the share; call ``note_ended`` when it ends."""
        name = request.organisation
        limit = self._limits.get(name)
        if limit is None:
            return result.Success(None)
        held = self._find_held(name, now)
        if held is None:
            return result.Failure(_refuse(request, "too many organisations"))
        _refill(held, now)
        held.arrival_rate += 1.0 / DEMAND_DECAY_S
        valid = now < held.valid_until
        if limit.rate_limit > 0 and not (valid and held.tokens >= 1.0):
            held.denied += 1
            return result.Failure(_refuse(request, "rate"))
        if limit.concurrency_limit > 0:
            if not valid or held.running >= held.concurrency:
                held.denied += 1
                return result.Failure(_refuse(request, "concurrency"))
        held.tokens -= 1.0 if limit.rate_limit > 0 else 0.0
        held.running += 1
        held.peak_running = max(held.peak_running, held.running)
        return result.Success(None)

    def note_ended(self, organisation: str, now: float) -> None:
        """Records the end of an admitted request."""
        held = self._held.get(organisation)
        if held is not None:
            held.running = max(0, held.running - 1)
            held.last_used_at = now

    def make_requests(
        self, hosts: collections.abc.Collection[str], now: float
    ) -> list[AddressedRequest]:
        """Builds one request for each home host that has a share to change or renew.

        Args:
            hosts: The log hosts.
            now: Monotonic time in seconds.
        """
        by_home: dict[str, list[str]] = {}
        for name, held in list(self._held.items()):
            if not self._keep_or_remove(name, held, now):
                continue
            home = find_home(name, hosts)
            if home != held.home or self._is_due(held, now):
                held.home = home
                by_home.setdefault(home, []).append(name)
        return [
            self._build_request(home, names, now) for home, names in by_home.items()
        ]

    def apply_grant(self, grant: limits.ShareGrant, now: float) -> None:
        """Applies a grant, unless it is late, a duplicate or superseded."""
        sent_at = self._sent_at.get(grant.request_sequence)
        if sent_at is None or grant.holder != self._name:
            return
        self._granter_starts[grant.granter] = grant.granter_start
        for share in grant.shares:
            held = self._held.get(share.organisation)
            if held is None or grant.request_sequence <= held.held_sequence:
                continue
            if held.home != grant.granter or grant.request_sequence > (
                held.requested_sequence
            ):
                continue
            _refill(held, now)
            held.rate = share.rate
            held.concurrency = share.concurrency
            held.held_sequence = grant.request_sequence
            held.valid_until = sent_at + grant.lease_s

    def get_shares(self, organisation: str, now: float) -> tuple[float, int]:
        """Returns the rate and concurrency that are validly held now."""
        held = self._held.get(organisation)
        if held is None or now >= held.valid_until:
            return 0.0, 0
        return held.rate, held.concurrency

    def count_organisations(self) -> int:
        """Returns the number of organisations for which state is kept."""
        return len(self._held)

    def _find_held(self, name: str, now: float) -> HeldShare | None:
        held = self._held.get(name)
        if held is None and len(self._held) < HELD_ORGANISATIONS_MAX:
            held = self._held[name] = HeldShare(now, now)
        if held is not None:
            held.last_used_at = now
        return held

    def _keep_or_remove(self, name: str, held: HeldShare, now: float) -> bool:
        """Removes an organisation that is idle and whose lease has expired."""
        _refill(held, now)
        if name in self._limits and now - held.last_used_at < IDLE_AFTER_S:
            return True
        if held.running or now < held.valid_until:
            return True
        del self._held[name]
        return False

    def _is_due(self, held: HeldShare, now: float) -> bool:
        answered = held.held_sequence >= held.requested_sequence
        if not answered and now - held.requested_at < ANSWER_TIMEOUT_S:
            return False
        rate, concurrency = _measure_demand(held, now)
        if rate == 0.0 and concurrency == 0:
            return held.requested_rate > 0 or held.requested_concurrency > 0
        elapsed = now - held.requested_at
        # A share that is too small or too large is soon requested anew, since
        # what one holder does not use is unavailable to the others.
        changed = held.denied > 0 or _differ(rate, held.requested_rate)
        changed = changed or _differ(concurrency, held.requested_concurrency)
        return elapsed >= RENEW_AFTER_S or (
            changed and elapsed >= DEMAND_CHANGE_INTERVAL_S
        )

    def _build_request(
        self, home: str, names: list[str], now: float
    ) -> AddressedRequest:
        self._sequence += 1
        self._sent_at[self._sequence] = now
        while now - next(iter(self._sent_at.values())) > LEASE_S:
            del self._sent_at[next(iter(self._sent_at))]
        demands = tuple(self._build_demand(name, now) for name in names)
        return AddressedRequest(
            home,
            limits.ShareRequest(
                self._name,
                self._sequence,
                demands,
                self._granter_starts.get(home, ""),
            ),
        )

    def _build_demand(self, name: str, now: float) -> limits.LimitDemand:
        held = self._held[name]
        rate, concurrency = _measure_demand(held, now)
        if rate == 0.0 and concurrency == 0:
            # Returns the share; earlier grants that still arrive are ignored.
            held.rate = 0.0
            held.concurrency = 0
            held.held_sequence = self._sequence
        if now >= held.valid_until and held.held_sequence:
            held.rate = 0.0
            held.concurrency = 0
        held.requested_sequence = self._sequence
        held.requested_at = now
        held.requested_rate = rate
        held.requested_concurrency = concurrency
        held.denied = 0
        held.peak_running = max(held.running, held.peak_running - 1)
        return limits.LimitDemand(
            name,
            rate,
            concurrency,
            held.running,
            held.held_sequence,
            held.rate,
            held.concurrency,
        )


def _measure_demand(held: HeldShare, now: float) -> tuple[float, int]:
    if now - held.last_used_at >= IDLE_AFTER_S:
        return 0.0, held.running
    # Requests more than is used now, so that the next requests of an organisation
    # with little traffic are admitted before the next grant arrives.
    rate = held.arrival_rate + EXTRA_RATE
    return rate, max(held.peak_running, held.running) + held.denied + 1


def _differ(demand: float, requested: float) -> bool:
    return (
        demand > requested * DEMAND_CHANGE_FACTOR
        or demand * DEMAND_CHANGE_FACTOR < requested
    )


def _refill(held: HeldShare, now: float) -> None:
    """Adds the tokens earned since the last call and decays the demand."""
    elapsed = now - held.updated_at
    earning = min(now, held.valid_until) - held.updated_at
    if earning > 0:
        tokens_max = max(1.0, held.rate * BURST_S)
        held.tokens = min(tokens_max, held.tokens + held.rate * earning)
    held.arrival_rate *= math.exp(-elapsed / DEMAND_DECAY_S)
    held.updated_at = now


def _refuse(request: work.Request, detail: str) -> work.Refusal:
    return work.Refusal(
        request.request_id,
        0,
        work.RefusalReason.ORGANISATION_LIMIT,
        work.RunState.NOT_RUN,
        RETRY_AFTER_S,
        step="limit",
        detail=detail,
    )

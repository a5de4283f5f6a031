"""Registry of the policies that choose a backend server.

A policy gets one service's servers as a ``Pool`` and returns the candidates that
it considered with their scores; the lowest score wins.
"""

import collections.abc
import dataclasses
import random
import typing

from lycheegauge.internal.coordination import load, prefixes
from lycheegauge.internal.protocol import work

# Servers with headroom that are scored in the host's own availability zone, and as
# many in all others.
SAMPLE_SIZE = 3
# Servers examined to find them; bounds the cost when most servers are full.
EXAMINED_MAX = 16
# Servers with the prompt's prefix cached that are scored in addition to the sample.
PREFIX_HOLDERS = 2
# Round trip to another availability zone, including a penalty for its traffic cost.
OTHER_ZONE_PENALTY_S = 0.005
PREFILL_TOKENS_PER_S = 5000.0
# Time to first token of a fully cached prompt on an idle server; a higher value
# also spreads such requests more evenly.
MIN_FIRST_TOKEN_S = 0.1
# An old report may miss this many requests of other entry hosts. Without the margin,
# nine hosts that know of the same cached prefix would overload the server that
# holds it.
OLD_REPORT_MARGIN = 4.0
DEFAULT_SPEED = 1.0
# Number of requests by which the assumed headroom is reduced after a refusal and
# raised again after an answer. Their ratio sets the fraction of refusals at which
# the two balance; it is below the fraction of retries that the budget allows.
CAUTION_INCREASE = 0.5
CAUTION_DECREASE = 0.1
MAX_CAUTION = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One server's score and its components, in seconds (lower is better)."""

    name: str
    availability_zone: str
    score: float
    waiting_s: float = 0.0
    recompute_s: float = 0.0
    other_zone_s: float = 0.0


class LoadTotals:
    """Running totals over the servers that have reported."""

    def __init__(self) -> None:
        self._others = 0.0
        self._limits = 0
        self._speed = 0.0
        self._measured = 0

    def add(self, item: load.LoadEstimate, sign: int) -> None:
        """Adds a server with sign 1, subtracts it with -1."""
        if item.report is None:
            return
        self._others += sign * item.others
        self._limits += sign * item.report.limit
        speed = _get_speed_per_slot(item)
        if speed > 0:
            # A server that has completed nothing yet is left out of the mean:
            # counted as 0, it made every other server look fast and got no work.
            self._speed += sign * speed
            self._measured += sign

    def get_mean_utilisation(self) -> float:
        """Returns the other hosts' requests as a fraction of the summed limits."""
        return max(0.0, self._others / self._limits) if self._limits > 0 else 0.0

    def get_mean_speed(self) -> float:
        """Returns the mean speed, in completions per second and slot."""
        mean = self._speed / self._measured if self._measured else 0.0
        return mean if mean > 0 else DEFAULT_SPEED


class Pool:
    """The eligible servers of one service.

    Attributes:
        availability_zone: The entry host's own availability zone.
        random: Source of randomness.
        index: Prompt prefixes cached by the servers.
        loads: All loads by server name.
        same_zone: Loads of the entry host's own availability zone.
        other_zones: Loads of all other availability zones.
        caution: Number of requests by which old reports are assumed too low.
    """

    def __init__(self, availability_zone: str, random_source: random.Random) -> None:
        self.availability_zone = availability_zone
        self.random = random_source
        self.index = prefixes.PrefixIndex()
        self.loads: dict[str, load.LoadEstimate] = {}
        self.same_zone: list[load.LoadEstimate] = []
        self.other_zones: list[load.LoadEstimate] = []
        self._totals = LoadTotals()
        self.caution = 0.0

    def note_success(self) -> None:
        """Lowers ``caution`` after an admitted request."""
        self.caution = max(0.0, self.caution - CAUTION_DECREASE)

    def set_loads(self, loads: collections.abc.Sequence[load.LoadEstimate]) -> None:
        """Replaces the servers, keeping the cached prefixes of those that remain."""
        for name in self.loads.keys() - {item.server.name for item in loads}:
            self.index.forget(name)
        self.loads = {item.server.name: item for item in loads}
        zone = self.availability_zone
        self.same_zone = [
            item for item in loads if item.server.availability_zone == zone
        ]
        self.other_zones = [
            item for item in loads if item.server.availability_zone != zone
        ]
        self._totals = LoadTotals()
        for item in loads:
            self._totals.add(item, 1)

    def apply_report(self, report: work.LoadReport, now: float) -> None:
        """Applies a load report and updates the totals."""
        item = self.loads.get(report.agent)
        if item is None:
            return
        if not item.is_newer(report, now):
            return
        self._totals.add(item, -1)
        item.apply_report(report, now)
        self._totals.add(item, 1)
        self.index.update_boot_id(report.agent, report.boot_id)

    def note_full(self, item: load.LoadEstimate, now: float) -> None:
        """Records that a server is full now."""
        self._totals.add(item, -1)
        item.note_full(now)
        self.caution = min(MAX_CAUTION, self.caution + CAUTION_INCREASE)
        self._totals.add(item, 1)

    def estimate(self, item: load.LoadEstimate, now: float) -> float:
        """Estimates the number of requests at a server from all entry hosts."""
        return item.estimate(self._totals.get_mean_utilisation(), now)

    def get_speed(self, item: load.LoadEstimate) -> float:
        """Returns a server's speed in completions per second and slot."""
        speed = _get_speed_per_slot(item)
        return speed if speed > 0 else self.get_mean_speed()

    def get_mean_speed(self) -> float:
        """Returns the mean of the servers' speeds per slot."""
        return self._totals.get_mean_speed()

    def has_headroom(self, item: load.LoadEstimate, now: float) -> bool:
        """Returns whether the server's agent would probably admit a request."""
        return item.has_headroom(self.estimate(item, now), self.caution, now)

    def sample(
        self,
        loads: collections.abc.Sequence[load.LoadEstimate],
        size: int,
        exclude: frozenset[str],
        now: float,
    ) -> list[load.LoadEstimate]:
        """Samples up to ``size`` servers with headroom at bounded cost."""
        examined = self.random.sample(loads, min(len(loads), EXAMINED_MAX))
        found: list[load.LoadEstimate] = []
        for item in examined:
            if item.server.name not in exclude and self.has_headroom(item, now):
                found.append(item)
                if len(found) == size:
                    break
        return found


class Policy(typing.Protocol):
    """Returns scored candidates; an empty list means that no server has headroom."""

    def __call__(
        self, pool: Pool, request: work.Request, exclude: frozenset[str], now: float
    ) -> list[Candidate]:
        """Scores the candidates for a request."""


policies: dict[str, Policy] = {}

PolicyFunction = typing.TypeVar("PolicyFunction", bound=Policy)


def register_policy(
    name: str,
) -> collections.abc.Callable[[PolicyFunction], PolicyFunction]:
    """Registers a policy under the name used in the settings."""

    def register(policy: PolicyFunction) -> PolicyFunction:
        policies[name] = policy
        return policy

    return register


@register_policy("random")
def choose_random(
    pool: Pool, request: work.Request, exclude: frozenset[str], now: float
) -> list[Candidate]:
    """Chooses any server with headroom; the baseline of the benchmarks."""
    servers = [*pool.same_zone, *pool.other_zones]
    found = pool.sample(servers, 1, exclude, now)
    return [_make_candidate(item, 0.0) for item in found]


@register_policy("least_loaded")
def choose_least_loaded(
    pool: Pool, request: work.Request, exclude: frozenset[str], now: float
) -> list[Candidate]:
    """Scans all servers for the lowest estimated load."""
    candidates = []
    for item in pool.loads.values():
        if item.server.name not in exclude and pool.has_headroom(item, now):
            candidates.append(_make_candidate(item, pool.estimate(item, now)))
    return candidates


@register_policy("sampled_score")
def choose_sampled_score(
    pool: Pool, request: work.Request, exclude: frozenset[str], now: float
) -> list[Candidate]:
    """Scores a small sample by waiting time, prefill and availability zone.

    Choosing the best of a few random servers spreads entry hosts that have the same
    old reports over different servers, which a scan for the minimum does not (the
    power of two choices, Mitzenmacher 2001).
    """
    items = pool.sample(pool.same_zone, SAMPLE_SIZE, exclude, now)
    items += pool.sample(pool.other_zones, SAMPLE_SIZE, exclude, now)
    for name in pool.index.list_holders(request.prefix_blocks, PREFIX_HOLDERS):
        holder = pool.loads.get(name)
        if holder is None or holder in items or name in exclude:
            continue
        if pool.has_headroom(holder, now):
            items.append(holder)
    return [score(pool, item, request, now) for item in items]


def score(
    pool: Pool, item: load.LoadEstimate, request: work.Request, now: float
) -> Candidate:
    """Scores one server by the expected time to first token in seconds.

    An engine with continuous batching starts a request at once while it has a free
    slot, but shares its compute among the running requests. Running requests
    therefore slow down the request's own prefill; only requests beyond the limit
    make it wait.
    """
    estimate = pool.estimate(item, now)
    limit = item.get_limit()
    speed = pool.get_speed(item)
    margin = OLD_REPORT_MARGIN * (1.0 - item.get_report_weight(now))
    excess = max(0.0, estimate + 1.0 + min(margin, (limit - 1) / 2) - limit)
    slowness = pool.get_mean_speed() / speed
    slowdown = slowness * (1.0 + estimate / max(1, limit))
    recompute_s = estimate_uncached_tokens(pool, item, request) / PREFILL_TOKENS_PER_S
    is_same_zone = item.server.availability_zone == pool.availability_zone
    waiting_s = excess / (speed * max(1, item.server.capacity))
    waiting_s += MIN_FIRST_TOKEN_S * slowdown
    recompute_s *= slowdown
    other_zone_s = 0.0 if is_same_zone else OTHER_ZONE_PENALTY_S
    return Candidate(
        item.server.name,
        item.server.availability_zone,
        waiting_s + recompute_s + other_zone_s,
        waiting_s,
        recompute_s,
        other_zone_s,
    )


def estimate_uncached_tokens(
    pool: Pool, item: load.LoadEstimate, request: work.Request
) -> float:
    """Estimates the prompt tokens that are not in the server's prefix cache."""
    blocks = request.prefix_blocks
    if not blocks:
        return float(request.prompt_tokens)
    cached = pool.index.estimate_cached(item.server.name, blocks)
    return request.prompt_tokens * (1 - cached / len(blocks))


def _get_speed_per_slot(item: load.LoadEstimate) -> float:
    if item.report is None:
        return 0.0
    return item.report.speed / max(1, item.server.capacity)


def _make_candidate(item: load.LoadEstimate, value: float) -> Candidate:
    return Candidate(item.server.name, item.server.availability_zone, value)

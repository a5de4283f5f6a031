"""Chooses a backend server for each attempt of a request."""

import collections.abc
import dataclasses
import random

from lycheegauge.internal.coordination import load, policies
from lycheegauge.internal.protocol import freshness, work

# An idle server sends no replies, so a probe fetches its report after this time.
PROBE_AFTER_S = 1.0
FULL_REASONS = (work.RefusalReason.COLD_LIMIT, work.RefusalReason.OVERLOADED)


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Why a server was chosen; shown by the ``explain`` command."""

    policy: str
    chosen_at: float
    candidates: tuple[policies.Candidate, ...]
    excluded: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen server and the explanation."""

    backend_server: freshness.BackendServer
    explanation: Explanation


class Router:
    """Tracks the backend servers at an entry host and chooses among them.

    Args:
        policy_name: A name in ``policies.policies``.
        availability_zone: The entry host's own availability zone.
        random_source: The only source of randomness.
    """

    def __init__(
        self, policy_name: str, availability_zone: str, random_source: random.Random
    ) -> None:
        self._policy_name = policy_name
        self._policy = policies.policies[policy_name]
        self._availability_zone = availability_zone
        self._random = random_source
        self._pools: dict[str, policies.Pool] = {}
        self._services: dict[str, str] = {}

    def set_backend_servers(
        self,
        servers: collections.abc.Sequence[freshness.BackendServer],
        zones_out: collections.abc.Collection[str] = (),
        servers_out: collections.abc.Collection[str] = (),
    ) -> None:
        """Replaces the backend servers, without those that operators took out.

        A server keeps its load estimate while its agent's incarnation is unchanged.
        """
        usable: dict[str, list[load.LoadEstimate]] = {name: [] for name in self._pools}
        self._services.clear()
        for server in servers:
            if server.leaving or server.name in servers_out:
                continue
            if server.availability_zone in zones_out:
                continue
            self._services[server.name] = server.service
            usable.setdefault(server.service, []).append(
                self._keep_or_create_load(server)
            )
        for service, loads in usable.items():
            self._get_or_create_pool(service).set_loads(loads)
        for service in [name for name, loads in usable.items() if not loads]:
            del self._pools[service]

    def choose(
        self, request: work.Request, exclude: frozenset[str], now: float
    ) -> Choice | None:
        """Chooses a server; returns ``None`` if none has headroom.

        The request then waits in the queue, since a server would only refuse it.
        ``exclude`` contains the servers at which an attempt failed. A server that was
        full need not be excluded, since ``note_refused`` has recorded it.
        """
        pool = self._pools.get(request.service)
        if pool is None:
            return None
        candidates = self._policy(pool, request, exclude, now)
        if not candidates:
            return None
        best = min(candidates, key=lambda candidate: candidate.score)
        explanation = Explanation(
            self._policy_name, now, tuple(candidates), tuple(sorted(exclude))
        )
        return Choice(pool.loads[best.name].server, explanation)

    def has_backend_server(
        self, service: str, exclude: frozenset[str] = frozenset()
    ) -> bool:
        """Returns whether any server is not excluded, with or without headroom.

        A request that has excluded all of them must be refused: at the head of the
        queue it would block the others until its deadline.
        """
        pool = self._pools.get(service)
        return pool is not None and not pool.loads.keys() <= exclude

    def apply_load_report(self, report: work.LoadReport, now: float) -> None:
        """Applies a load report from a reply or probe."""
        pool = self._get_pool_of(report.agent)
        if pool is not None:
            pool.apply_report(report, now)

    def note_sent(self, name: str, request: work.Request, now: float) -> None:
        """Records an attempt sent to a server."""
        item = self._get_load(name)
        if item is not None:
            item.note_sent(now)

    def note_done(
        self, name: str, request: work.Request, first_token_s: float, now: float
    ) -> None:
        """Records a complete answer; ``first_token_s`` is measured from sending."""
        pool = self._get_pool_of(name)
        item = self._get_load(name)
        if pool is None or item is None:
            return
        item.note_ended(now)
        item.note_success()
        pool.note_success()
        pool.index.confirm(name, request.prefix_blocks)

    def note_refused(
        self, name: str, request: work.Request, refusal: work.Refusal, now: float
    ) -> None:
        """Records an agent's refusal; apply the report that came with it first."""
        pool = self._get_pool_of(name)
        item = self._get_load(name)
        if pool is None or item is None:
            return
        item.note_ended(now)
        if refusal.reason in FULL_REASONS:
            pool.note_full(item, now)
        else:
            item.avoid(now, max(0.0, refusal.retry_after_s))

    def note_failed(self, name: str, request: work.Request, now: float) -> None:
        """Records a lost connection or a broken stream."""
        item = self._get_load(name)
        if item is not None:
            item.note_ended(now)
            item.note_failure(now)

    def note_cancelled(self, name: str, request: work.Request, now: float) -> None:
        """Records an attempt cancelled by the caller; no failure of the server."""
        item = self._get_load(name)
        if item is not None:
            item.note_ended(now)

    def apply_cache_event(self, event: work.CacheEvent, now: float) -> None:
        """Applies a cache event of a known server."""
        pool = self._get_pool_of(event.backend_server)
        if pool is not None:
            pool.index.apply_event(event)

    def list_stale(self, now: float, count: int) -> list[freshness.BackendServer]:
        """Samples up to ``count`` servers whose reports are old enough for a probe."""
        found = []
        for pool in self._pools.values():
            loads = list(pool.loads.values())
            for item in self._random.sample(loads, min(count, len(loads))):
                if now - item.measured_at > PROBE_AFTER_S:
                    found.append(item.server)
        return found[:count]

    def _keep_or_create_load(
        self, server: freshness.BackendServer
    ) -> load.LoadEstimate:
        pool = self._pools.get(server.service)
        known = pool.loads.get(server.name) if pool else None
        if known is None or known.server.incarnation != server.incarnation:
            return load.LoadEstimate(server)
        known.server = server
        return known

    def _get_or_create_pool(self, service: str) -> policies.Pool:
        if service not in self._pools:
            self._pools[service] = policies.Pool(self._availability_zone, self._random)
        return self._pools[service]

    def _get_pool_of(self, name: str) -> policies.Pool | None:
        return self._pools.get(self._services.get(name, ""))

    def _get_load(self, name: str) -> load.LoadEstimate | None:
        pool = self._get_pool_of(name)
        return pool.loads.get(name) if pool else None

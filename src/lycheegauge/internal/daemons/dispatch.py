"""Assigns a backend server to each attempt, immediately or after queueing.

The dispatcher combines the organisations' limits, the fair queues, the retry
budget and the router of one entry host. These are plain objects; the dispatcher
owns the waiting callers and wakes them.
"""

import asyncio
import collections.abc
import dataclasses
import random

from returns import result

from lycheegauge import metrics, settings
from lycheegauge.internal.coordination import (
    attemptmessages,
    crashes,
    limits,
    queueing,
    retries,
    routing,
)
from lycheegauge.internal.protocol import freshness, intents, work
from lycheegauge.internal.transport import clock

EXPIRE_INTERVAL_S = 0.2
SHARE_WAIT_MAX_S = 1.0
SHARE_POLL_S = 0.02
RETRY_AFTER_S = 1.0
MIN_ATTEMPT_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequirements:
    """What an attempt requires; ``remaining_s`` is the time left to its deadline."""

    request: work.Request
    excluded: frozenset[str]
    reason: work.RetryReason | None
    attempt: int
    remaining_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What was chosen, and the reason as text for ``explain``."""

    chosen: attemptmessages.BackendServerChosen
    detail: str


class Dispatcher:
    """Owns the queues and the router of one entry host."""

    def __init__(
        self,
        part: settings.EntrySettings,
        quarantine: crashes.QuarantineView,
        counters: metrics.Metrics,
        holder: limits.ShareHolder,
    ) -> None:
        self._part = part
        self._quarantine = quarantine
        self._metrics = counters
        self.holder = holder
        random_source = random.Random()
        self.router = routing.Router(
            part.routing.policy, part.availability_zone, random_source
        )
        self._budget = retries.RetryBudget(part.routing.retry_fraction)
        self._backoff = retries.Backoff(random_source)
        self._queues: dict[str, queueing.FairQueue] = {}
        self._weights: dict[str, float] = {}
        self._waiting: dict[str, asyncio.Future[Decision]] = {}
        self._requirements: dict[str, AttemptRequirements] = {}
        self._admitted: set[str] = set()
        self._server_names: dict[str, frozenset[str]] = {}
        self._expire_at = 0.0
        self._configuration = intents.Configuration()

    def set_configuration(self, configuration: intents.Configuration) -> None:
        """Applies the configuration that came into force."""
        self._configuration = configuration
        organisations = configuration.intent.organisations
        self._weights = {item.name: item.weight for item in organisations}
        for queue in self._queues.values():
            queue.set_weights(self._weights)
        self.holder.set_limits(organisations)

    def set_backend_servers(
        self, servers: collections.abc.Sequence[freshness.BackendServer]
    ) -> None:
        """Sets the backend servers, excluding those that operators took out."""
        intent = self._configuration.intent
        services = {server.service for server in servers}
        self._server_names = {
            service: frozenset(item.name for item in servers if item.service == service)
            for service in services
        }
        self.router.set_backend_servers(
            servers, intent.availability_zones_out, intent.backend_servers_out
        )

    async def choose(self, requirements: AttemptRequirements) -> Decision:
        """Chooses a backend server, queueing for capacity within the deadline."""
        refusal = await self._admit_attempt(requirements)
        if refusal is not None:
            return refusal
        request = requirements.request
        if not self.router.has_backend_server(request.service):
            return _refuse(work.RefusalReason.NO_BACKEND_SERVER, RETRY_AFTER_S)
        now = clock.read_clock()
        if not self._has_queue(request.service):
            chosen = self._choose_now(request, self._find_excluded(requirements), now)
            if chosen is not None:
                return chosen
        return await self._wait_in_queue(requirements, now)

    def _find_excluded(self, requirements: AttemptRequirements) -> frozenset[str]:
        """Returns the servers that an attempt must not use.

        Once every server has refused or failed the request, all may be tried again.
        A suspect request may only use a few servers, the same at every entry host.
        """
        service = requirements.request.service
        excluded = requirements.excluded
        if not self.router.has_backend_server(service, excluded):
            excluded = frozenset()
        verdict = self._quarantine.get_verdict(requirements.request.fingerprint)
        if verdict is not crashes.Verdict.SUSPECT:
            return excluded
        names = self._server_names.get(service, frozenset())
        return excluded | names - {*crashes.choose_suspect_servers(service, names)}

    async def _admit_attempt(
        self, requirements: AttemptRequirements
    ) -> Decision | None:
        verdict = self._quarantine.get_verdict(requirements.request.fingerprint)
        if verdict is crashes.Verdict.REFUSED:
            return _refuse(work.RefusalReason.QUARANTINED, -1.0)
        if requirements.reason is None:
            return await self._admit(requirements.request)
        return await self._plan_retry(requirements, requirements.reason)

    async def _admit(self, request: work.Request) -> Decision | None:
        """Admits a request's first attempt within its organisation's limits."""
        give_up_at = clock.read_clock() + min(SHARE_WAIT_MAX_S, request.deadline_s)
        organisation = request.organisation
        while self.holder.awaits_share(organisation, clock.read_clock()):
            if clock.read_clock() >= give_up_at:
                break
            await asyncio.sleep(SHARE_POLL_S)
        admitted = self.holder.admit(request, clock.read_clock())
        if isinstance(admitted, result.Failure):
            refusal = admitted.failure()
            return _refuse(refusal.reason, refusal.retry_after_s)
        self._admitted.add(request.request_id)
        return None

    async def _plan_retry(
        self, requirements: AttemptRequirements, reason: work.RetryReason
    ) -> Decision | None:
        if reason is work.RetryReason.SUSPECT_BUSY:
            # The request only waits for other work to end; no server has failed.
            self._metrics.count_retry(reason)
            return None
        planned = retries.plan_retry(
            self._budget,
            self._backoff,
            requirements.attempt,
            reason,
            requirements.remaining_s,
            MIN_ATTEMPT_S,
            work.RunState.NOT_RUN,
        )
        if isinstance(planned, result.Failure):
            refusal = planned.failure()
            return _refuse(refusal.reason, refusal.retry_after_s)
        self._metrics.count_retry(reason)
        await asyncio.sleep(planned.unwrap().delay_s)
        return None

    def _choose_now(
        self, request: work.Request, excluded: frozenset[str], now: float
    ) -> Decision | None:
        choice = self.router.choose(request, excluded, now)
        if choice is None:
            return None
        self.router.note_sent(choice.backend_server.name, request, now)
        verdict = self._quarantine.get_verdict(request.fingerprint)
        chosen = attemptmessages.BackendServerChosen(
            choice.backend_server,
            self._configuration.revision,
            verdict is crashes.Verdict.SUSPECT,
            known_crashes=tuple(
                sorted(self._quarantine.list_boots(request.fingerprint))
            ),
        )
        return Decision(chosen, describe_choice(choice))

    def _give_back(self, decision: Decision, request: work.Request, now: float) -> None:
        server = decision.chosen.backend_server
        if server is not None:
            self.router.note_cancelled(server.name, request, now)

    # Queueing for capacity.

    def _has_queue(self, service: str) -> bool:
        return len(self._queues.get(service, ())) > 0

    def _get_or_create_queue(self, service: str) -> queueing.FairQueue:
        if service not in self._queues:
            queue = queueing.FairQueue(self._part.limits.queued_requests)
            queue.set_weights(self._weights)
            self._queues[service] = queue
        return self._queues[service]

    async def _wait_in_queue(
        self, requirements: AttemptRequirements, now: float
    ) -> Decision:
        request = dataclasses.replace(
            requirements.request, deadline_s=requirements.remaining_s
        )
        queued = self._get_or_create_queue(request.service).add(request, now)
        if isinstance(queued, result.Failure):
            refusal = queued.failure()
            return _refuse(refusal.reason, refusal.retry_after_s)
        for displaced in queued.unwrap():
            self._refuse_waiting(displaced)
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.request_id] = future
        self._requirements[request.request_id] = requirements
        try:
            chosen: Decision = await future
            return chosen
        finally:
            self._waiting.pop(request.request_id, None)
            self._requirements.pop(request.request_id, None)
            self._get_or_create_queue(request.service).remove(request.request_id)

    def dispatch_queued(self, now: float) -> None:
        """Dispatches queued requests; periodically refuses those that would be late."""
        expire = now >= self._expire_at
        if expire:
            self._expire_at = now + EXPIRE_INTERVAL_S
        for queue in self._queues.values():
            for refusal in queue.expire(now) if expire else ():
                self._refuse_waiting(refusal)
            while self._dispatch_next(queue, now):
                pass

    def _dispatch_next(self, queue: queueing.FairQueue, now: float) -> bool:
        request = queue.peek()
        if request is None:
            return False
        requirements = self._requirements.get(request.request_id)
        future = self._waiting.get(request.request_id)
        if requirements is None or future is None or future.done():
            queue.remove(request.request_id)
            return True
        chosen = self._choose_now(request, self._find_excluded(requirements), now)
        if chosen is None:
            return False
        queue.dequeue(now)
        future.set_result(chosen)
        return True

    def _refuse_waiting(self, refusal: work.Refusal) -> None:
        future = self._waiting.get(refusal.request_id)
        if future is not None and not future.done():
            future.set_result(_refuse(refusal.reason, refusal.retry_after_s))

    # Outcomes.

    def note_served(self, request: work.Request, seconds: float) -> None:
        """Records how long a request took after it left the queue."""
        if request.service in self._queues:
            self._queues[request.service].note_served(seconds)

    def note_ended(self, request: work.Request, is_complete: bool) -> None:
        """Records the end of a request, whatever its outcome."""
        if request.request_id in self._admitted:
            self._admitted.discard(request.request_id)
            self.holder.note_ended(request.organisation, clock.read_clock())
        if is_complete:
            self._budget.record_success()


def describe_choice(choice: routing.Choice) -> str:
    """Formats the candidates with their scores in milliseconds, best first."""
    candidates = sorted(choice.explanation.candidates, key=lambda item: item.score)
    scores = ", ".join(
        f"{item.name} {item.score * 1000:.1f} (waiting {item.waiting_s * 1000:.1f}, "
        f"recompute {item.recompute_s * 1000:.1f}, zone {item.other_zone_s * 1000:.1f})"
        for item in candidates
    )
    return f"{choice.explanation.policy} in ms: {scores}"


def _refuse(reason: work.RefusalReason, retry_after_s: float) -> Decision:
    chosen = attemptmessages.BackendServerChosen(None, 0, False, reason, retry_after_s)
    return Decision(chosen, f"none: {reason.value}")

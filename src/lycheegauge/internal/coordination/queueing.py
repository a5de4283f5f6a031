"""A bounded queue of one service's requests that is fair between organisations.

Organisations are served in proportion to their weights by start-time fair queueing
(Goyal, Vin, Cheng 1996); within an organisation, requests are ordered by priority,
then by deadline. A request is refused as soon as it is clear that it can't be served
in time, with the time after which to retry: a caller that gets no answer sends the
request again, and the queue then holds it twice.
"""

import collections.abc
import dataclasses
import heapq

from returns import result

from lycheegauge.internal.coordination import waitestimates
from lycheegauge.internal.protocol import work

QUEUE_LENGTH = 256
# A new request is admitted if its expected wait is at most this fraction of the time
# that it can spare, so that it is still served in time if the queue slows down later.
ADMISSION_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 30.0
# Assumed service time after the queue, until one has been measured.
INITIAL_SERVICE_S = 0.5
SERVICE_SAMPLES = 16


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A queued request; ``expires_at`` is its deadline, in seconds."""

    request: work.Request
    order: tuple[float, float, int]
    expires_at: float
    queued_at: float

    def __lt__(self, other: "QueuedRequest") -> bool:
        """Compares by priority, deadline and arrival."""
        return self.order < other.order


@dataclasses.dataclass(slots=True)
class Flow:
    """One organisation's requests; ``start`` is its next virtual start time."""

    weight: float
    start: float
    waiting: list[QueuedRequest] = dataclasses.field(default_factory=list)
    departure_interval: waitestimates.DepartureInterval = dataclasses.field(
        default_factory=waitestimates.DepartureInterval
    )


class FairQueue:
    """Fair queue of one service at one entry host.

    Args:
        length: Maximum number of queued requests.
        service_s: Initial estimate of the service time after the queue, in seconds.
    """

    def __init__(
        self, length: int = QUEUE_LENGTH, service_s: float = INITIAL_SERVICE_S
    ) -> None:
        self._length = length
        self._service_s = service_s
        self._weights: dict[str, float] = {}
        self._flows: dict[str, Flow] = {}
        self._starts: list[tuple[float, str]] = []
        self._organisations: dict[str, str] = {}
        self._virtual_time = 0.0
        self._arrivals = 0
        self._departure_interval = waitestimates.DepartureInterval()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._organisations)

    def set_weights(self, weights: collections.abc.Mapping[str, float]) -> None:
        """Sets the organisations' weights; the default weight is 1."""
        self._weights = dict(weights)
        for name, flow in self._flows.items():
            flow.weight = self._weights.get(name, 1.0)

    def note_served(self, seconds: float) -> None:
        """Updates the average service time with a request that was served."""
        self._service_s += (seconds - self._service_s) / SERVICE_SAMPLES

    def add(
        self, request: work.Request, now: float
    ) -> result.Result[tuple[work.Refusal, ...], work.Refusal]:
        """Queues a request or refuses it at once.

        Returns:
            The refusals of requests displaced by this one (if the queue is full, from
            the organisation furthest over its fair share), or this request's own
            refusal.
        """
        flow = self._find_flow(request.organisation)
        waiting = self._make_queued(request, now)
        wait = self._estimate_wait(
            flow, len(flow.waiting), self._snapshot_backlog(), now
        )
        if wait > ADMISSION_FRACTION * self._get_slack(waiting, now):
            return self._refuse_new(waiting, work.RefusalReason.OVERLOADED, now)
        displaced: tuple[work.Refusal, ...] = ()
        if len(self) >= self._length:
            longest = self._find_most_over_share(request.organisation)
            if longest == request.organisation:
                reason = work.RefusalReason.QUEUE_FULL
                return self._refuse_new(waiting, reason, now)
            displaced = (self._displace(longest, now),)
        self._insert(waiting, flow, now)
        return result.Success(displaced)

    def peek(self) -> work.Request | None:
        """Returns the next request without removing it, with its initial deadline."""
        name = self._find_next()
        return self._flows[name].waiting[0].request if name else None

    def dequeue(self, now: float) -> work.Request | None:
        """Removes and returns the next request with its remaining ``deadline_s``."""
        name = self._find_next()
        return self._dequeue_from(name, self._flows[name], now) if name else None

    def remove(self, request_id: str) -> bool:
        """Removes a request that its caller cancelled."""
        name = self._organisations.pop(request_id, None)
        if name is None:
            return False
        flow = self._flows[name]
        flow.waiting = [
            item for item in flow.waiting if item.request.request_id != request_id
        ]
        heapq.heapify(flow.waiting)
        return True

    def expire(self, now: float) -> list[work.Refusal]:
        """Refuses the requests that can no longer be served in time."""
        backlog = self._snapshot_backlog()
        refusals = []
        for name, flow in list(self._flows.items()):
            kept: list[QueuedRequest] = []
            for item in sorted(flow.waiting):
                wait = self._estimate_wait(flow, len(kept), backlog, now)
                if wait <= self._get_slack(item, now):
                    kept.append(item)
                else:
                    refusals.append(self._refuse_late(item, flow, now))
            flow.waiting = kept
            self._remove_if_idle(name)
        return refusals

    def _make_queued(self, request: work.Request, now: float) -> QueuedRequest:
        self._arrivals += 1
        expires_at = now + request.deadline_s
        order = (-float(request.priority), expires_at, self._arrivals)
        return QueuedRequest(request, order, expires_at, now)

    def _find_flow(self, name: str) -> Flow:
        if name not in self._flows:
            weight = self._weights.get(name, 1.0)
            self._flows[name] = Flow(weight, self._virtual_time)
        return self._flows[name]

    def _insert(self, waiting: QueuedRequest, flow: Flow, now: float) -> None:
        name = waiting.request.organisation
        if not len(self):
            self._departure_interval.note_backlog(now)
        if not flow.waiting:
            flow.start = max(flow.start, self._virtual_time)
            flow.departure_interval.note_backlog(now)
            self._push_start(flow.start, name)
        heapq.heappush(flow.waiting, waiting)
        self._organisations[waiting.request.request_id] = name

    def _find_next(self) -> str | None:
        while self._starts:
            start, name = self._starts[0]
            flow = self._flows.get(name)
            if flow is not None and flow.start == start:
                if flow.waiting:
                    return name
                # The flow is kept until now so that an organisation that empties it
                # and then queues again is not served ahead of its turn.
                self._virtual_time = max(self._virtual_time, start)
                del self._flows[name]
            heapq.heappop(self._starts)
        return None

    def _dequeue_from(self, name: str, flow: Flow, now: float) -> work.Request:
        waiting = heapq.heappop(flow.waiting)
        heapq.heappop(self._starts)
        del self._organisations[waiting.request.request_id]
        self._virtual_time = flow.start
        flow.start += 1.0 / flow.weight
        self._push_start(flow.start, name)
        self._departure_interval.note_departure(bool(self._organisations), now)
        flow.departure_interval.note_departure(bool(flow.waiting), now)
        return dataclasses.replace(
            waiting.request, deadline_s=max(0.0, waiting.expires_at - now)
        )

    def _push_start(self, start: float, name: str) -> None:
        heapq.heappush(self._starts, (start, name))
        # Cancelled requests leave stale entries.
        if len(self._starts) > 2 * len(self._flows) + 16:
            self._starts = [(flow.start, name) for name, flow in self._flows.items()]
            heapq.heapify(self._starts)

    def _snapshot_backlog(self) -> waitestimates.Backlog:
        flows = self._flows.values()
        return waitestimates.Backlog((len(flow.waiting), flow.weight) for flow in flows)

    def _get_slack(self, waiting: QueuedRequest, now: float) -> float:
        return waiting.expires_at - now - self._service_s

    def _estimate_wait(
        self, flow: Flow, ahead: int, backlog: waitestimates.Backlog, now: float
    ) -> float:
        if not len(self):
            return 0.0
        served = backlog.count_served_before(ahead, len(flow.waiting), flow.weight)
        # The current backlog does not include future arrivals of the other
        # organisations; the departure rate of the flow itself reflects them.
        wait = max(
            served * self._departure_interval.interval_s,
            ahead * flow.departure_interval.interval_s,
        )
        return wait + self._departure_interval.estimate_stall(now)

    def _find_most_over_share(self, new_organisation: str) -> str:
        lengths = {
            name: len(flow.waiting) / flow.weight for name, flow in self._flows.items()
        }
        lengths[new_organisation] += 1.0 / self._flows[new_organisation].weight
        # On equal lengths the new request is refused, as displacing gains nothing.
        return max(lengths, key=lambda name: (lengths[name], name == new_organisation))

    def _displace(self, name: str, now: float) -> work.Refusal:
        flow = self._flows[name]
        last = max(flow.waiting)
        flow.waiting.remove(last)
        heapq.heapify(flow.waiting)
        del self._organisations[last.request.request_id]
        return self._refuse(last, flow, work.RefusalReason.QUEUE_FULL, now)

    def _remove_if_idle(self, name: str) -> None:
        flow = self._flows[name]
        if not flow.waiting and flow.start <= self._virtual_time:
            del self._flows[name]

    def _refuse_new(
        self, waiting: QueuedRequest, reason: work.RefusalReason, now: float
    ) -> result.Failure[work.Refusal]:
        name = waiting.request.organisation
        refusal = self._refuse(waiting, self._flows[name], reason, now)
        self._remove_if_idle(name)
        return result.Failure(refusal)

    def _refuse_late(
        self, waiting: QueuedRequest, flow: Flow, now: float
    ) -> work.Refusal:
        del self._organisations[waiting.request.request_id]
        reason = work.RefusalReason.OVERLOADED
        if now >= waiting.expires_at:
            reason = work.RefusalReason.DEADLINE_EXCEEDED
        return self._refuse(waiting, flow, reason, now)

    def _refuse(
        self, waiting: QueuedRequest, flow: Flow, reason: work.RefusalReason, now: float
    ) -> work.Refusal:
        wait = self._estimate_wait(
            flow, len(flow.waiting), self._snapshot_backlog(), now
        )
        retry_after_s = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return work.Refusal(
            waiting.request.request_id,
            0,
            reason,
            work.RunState.NOT_RUN,
            retry_after_s,
            step="queue",
        )

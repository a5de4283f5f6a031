"""Queues orders to one engine: fenced, rate-limited and within its memory."""

import collections
import dataclasses

from returns import result

from lycheegauge.internal.coordination.groups import refusals
from lycheegauge.internal.protocol import expertmaps

MAX_QUEUED = 4096

SubmitResult = result.Result[
    None,
    refusals.EpochUnknownError | refusals.StaleEpochError | refusals.NoRoomError,
]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderQueueSettings:
    """The limits of one rank's engine.

    Attributes:
        memory_bytes: Memory for weights on the rank, in bytes.
        rate_bytes_s: This rank's share of the weight store's rate, in bytes/s.
        burst_bytes: Most that may be fetched at once after a pause, in bytes.
        checks_fencing: Whether the engine refuses older epochs itself.
    """

    memory_bytes: int
    rate_bytes_s: float
    burst_bytes: float
    checks_fencing: bool


class OrderQueue:
    """Queues orders until the engine and the weight store can take them.

    Loads run concurrently. Every other order waits until none is in flight, because
    two orders in flight may reach the engine in either sequence. An engine that ignores
    fencing numbers gets no order of a new epoch before all older ones have ended,
    because it could apply an old one last.
    """

    def __init__(self, settings: OrderQueueSettings, now: float) -> None:
        self._settings = settings
        self._epoch: int | None = None
        self._tokens = settings.burst_bytes
        self._filled_at = now
        self._queue: collections.deque[expertmaps.EngineOrder] = collections.deque()
        self._in_flight: list[expertmaps.EngineOrder] = []
        self._resident: dict[tuple[int, int], int] = {}

    @property
    def used_bytes(self) -> int:
        """Memory used by weights that are loaded or being loaded, in bytes."""
        arriving = sum(count_bytes(order) for order in self._in_flight)
        return sum(self._resident.values()) + arriving

    @property
    def queued(self) -> int:
        """The number of queued orders."""
        return len(self._queue)

    def learn_epoch(self, epoch: int) -> tuple[expertmaps.EngineOrder, ...]:
        """Adopts a newer epoch and returns the queued orders that it invalidates."""
        if self._epoch is not None and epoch <= self._epoch:
            return ()
        self._epoch = epoch
        void = tuple(order for order in self._queue if order.epoch < epoch)
        self._queue = collections.deque(
            order for order in self._queue if order.epoch >= epoch
        )
        return void

    def submit(self, order: expertmaps.EngineOrder) -> SubmitResult:
        """Queues an order, unless its epoch is old or its weights do not fit."""
        if self._epoch is None:
            message = "the agent restarted and does not know the current epoch yet"
            return result.Failure(refusals.EpochUnknownError(message, "order"))
        if order.epoch < self._epoch:
            message = f"epoch {order.epoch} is older than {self._epoch}"
            return result.Failure(refusals.StaleEpochError(message, "order"))
        self.learn_epoch(order.epoch)
        if not self._fits_in_memory(order) or len(self._queue) >= MAX_QUEUED:
            message = f"no room for {order.bytes_to_load} bytes; drop a replica first"
            return result.Failure(refusals.NoRoomError(message, "order"))
        self._queue.append(order)
        return result.Success(None)

    def tick(self, now: float) -> tuple[expertmaps.EngineOrder, ...]:
        """Returns the orders to send to the engine now."""
        earned = (now - self._filled_at) * self._settings.rate_bytes_s
        self._tokens = min(self._settings.burst_bytes, self._tokens + earned)
        self._filled_at = now
        sent = []
        while self._queue and self._may_send(self._queue[0]):
            order = self._queue.popleft()
            self._tokens -= count_bytes(order)
            self._in_flight.append(order)
            sent.append(order)
        return tuple(sent)

    def finish(
        self, order: expertmaps.EngineOrder, done: bool
    ) -> tuple[expertmaps.EngineOrder, ...]:
        """Records that the engine has carried out an order, or never will.

        Orders queued behind a failed one may depend on it, such as a load on the memory
        that a drop would free. They are returned and must be planned again.
        """
        self._in_flight.remove(order)
        expert = (order.layer, order.expert)
        if done and order.kind is expertmaps.OrderKind.LOAD_EXPERT:
            self._resident[expert] = order.bytes_to_load
        elif done and order.kind is expertmaps.OrderKind.DROP_EXPERT:
            self._resident.pop(expert, None)
        if done:
            return ()
        void = tuple(self._queue)
        self._queue.clear()
        return void

    def _fits_in_memory(self, order: expertmaps.EngineOrder) -> bool:
        """Whether an order fits once all orders before it have completed."""
        held = dict(self._resident)
        peak = 0
        for earlier in (*self._in_flight, *self._queue, order):
            expert = (earlier.layer, earlier.expert)
            if earlier.kind is expertmaps.OrderKind.LOAD_EXPERT:
                # The present copy stays in memory while an expert is loaded again.
                peak = sum(held.values()) + earlier.bytes_to_load
                held[expert] = earlier.bytes_to_load
            elif earlier.kind is expertmaps.OrderKind.DROP_EXPERT:
                held.pop(expert, None)
        is_load = order.kind is expertmaps.OrderKind.LOAD_EXPERT
        return not is_load or peak <= self._settings.memory_bytes

    def _may_send(self, order: expertmaps.EngineOrder) -> bool:
        older = any(earlier.epoch < order.epoch for earlier in self._in_flight)
        if older and not self._settings.checks_fencing:
            return False
        if order.kind is not expertmaps.OrderKind.LOAD_EXPERT:
            return not self._in_flight
        alone = all(
            earlier.kind is expertmaps.OrderKind.LOAD_EXPERT
            for earlier in self._in_flight
        )
        fits = self.used_bytes + order.bytes_to_load <= self._settings.memory_bytes
        earned = min(order.bytes_to_load, self._settings.burst_bytes)
        return alone and fits and self._tokens >= earned


def count_bytes(order: expertmaps.EngineOrder) -> int:
    """Returns the bytes that the weight store must deliver for an order."""
    if order.kind is expertmaps.OrderKind.LOAD_EXPERT:
        return order.bytes_to_load
    return 0

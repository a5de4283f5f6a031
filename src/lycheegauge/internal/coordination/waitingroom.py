"""Short queue of an agent for orders that its backend server can't admit yet.

Nine entry hosts that each see one free slot send nine orders. Without a short wait
eight of them are refused, use up the retry budget in collisions at the next server,
and fail although the fleet is idle a moment later. A waiting order has not been
passed to the agent's core, so it has not been run, can be cancelled, and is settled
as one that will never start.
"""

import collections.abc
import dataclasses

from lycheegauge.internal.protocol import work

MAX_WAIT_S = 2.0
MIN_CAPACITY = 8


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingOrder:
    """A waiting order; at ``leave_at`` it is handed back (times in seconds)."""

    order: work.WorkOrder
    arrived_at: float
    leave_at: float

    @property
    def sort_key(self) -> tuple[int, float]:
        """Sort key: priority, then arrival."""
        return (-self.order.request.priority, self.arrived_at)


class WaitingRoom:
    """Holds a few orders for a short time, in order of priority and arrival.

    Args:
        max_wait_s: Maximum time that an order waits, in seconds.
    """

    def __init__(self, max_wait_s: float = MAX_WAIT_S) -> None:
        self._max_wait_s = max_wait_s
        self._waiting: list[WaitingOrder] = []

    def __len__(self) -> int:
        """Returns the number of waiting orders."""
        return len(self._waiting)

    def add(self, order: work.WorkOrder, limit: int, now: float) -> bool:
        """Adds an order; returns ``False`` if there are too many already.

        Args:
            order: The order, whose deadline counts from now.
            limit: Number of concurrent requests that the backend server admits now.
            now: Monotonic time in seconds.
        """
        if len(self._waiting) >= max(limit, MIN_CAPACITY):
            return False
        wait_s = min(self._max_wait_s, order.request.deadline_s)
        self._waiting.append(WaitingOrder(order, now, now + wait_s))
        self._waiting.sort(key=lambda item: item.sort_key)
        return True

    def dequeue(self, now: float) -> work.WorkOrder | None:
        """Removes and returns the next order with its remaining deadline."""
        if not self._waiting:
            return None
        return _with_remaining_deadline(self._waiting.pop(0), now)

    def dequeue_overdue(self, now: float) -> tuple[work.WorkOrder, ...]:
        """Removes and returns the orders whose maximum wait is over."""
        overdue = [item for item in self._waiting if item.leave_at <= now]
        self._waiting = [item for item in self._waiting if item.leave_at > now]
        return tuple(_with_remaining_deadline(item, now) for item in overdue)

    def dequeue_all(self, now: float) -> tuple[work.WorkOrder, ...]:
        """Removes and returns all orders, when none of them may start any more."""
        taken = tuple(_with_remaining_deadline(item, now) for item in self._waiting)
        self._waiting.clear()
        return taken

    def remove(self, request_id: str, attempt: int) -> bool:
        """Removes an order whose caller is gone; returns whether it was waiting."""
        kept = [
            item for item in self._waiting if not _is_attempt(item, request_id, attempt)
        ]
        removed = len(kept) < len(self._waiting)
        self._waiting = kept
        return removed

    def list_orders(self) -> collections.abc.Iterator[work.WorkOrder]:
        """Yields the waiting orders, next one first."""
        return (item.order for item in self._waiting)


def _with_remaining_deadline(item: WaitingOrder, now: float) -> work.WorkOrder:
    remaining_s = max(0.0, item.order.request.deadline_s - (now - item.arrived_at))
    request = dataclasses.replace(item.order.request, deadline_s=remaining_s)
    return dataclasses.replace(item.order, request=request)


def _is_attempt(item: WaitingOrder, request_id: str, attempt: int) -> bool:
    order = item.order
    return (order.request.request_id, order.attempt) == (request_id, attempt)

"""Lets a suspect run alone on a backend server that is never idle.

A suspect that arrives while other work is running waits, and no new work starts
until it has run. Otherwise a busy server would never become idle for it.
"""

from lycheegauge.internal.coordination import agenteffects
from lycheegauge.internal.protocol import work


class SuspectSlot:
    """Holds at most one suspect until its server is idle.

    Attributes:
        waiting: The waiting order, or ``None``.
    """

    def __init__(self) -> None:
        self.waiting: work.WorkOrder | None = None

    def hold(self, order: work.WorkOrder) -> bool:
        """Holds an order, unless another one is already waiting.

        A non-repeatable order is not held: a settlement query that arrived in
        the meantime would have to remove it again.

        Returns:
            Whether the order is held.
        """
        if self.waiting is not None or not order.request.repeatable:
            return False
        self.waiting = order
        return True

    def drop(self, request_id: str, attempt: int) -> None:
        """Removes a cancelled order."""
        order = self.waiting
        if order is not None and order.request.request_id == request_id:
            self.waiting = None if order.attempt == attempt else order

    def release(self, running: int) -> agenteffects.Effects:
        """Releases the waiting order once nothing else is running."""
        order = self.waiting
        if order is None or running:
            return ()
        self.waiting = None
        return (agenteffects.ResubmitOrder(order),)

"""Deduplicates the non-repeatable orders of one agent incarnation."""

from lycheegauge.internal.coordination import (
    agenteffects,
    agentreplies,
    startmarks,
)
from lycheegauge.internal.protocol import work


class OrderDeduplicator:
    """Answers duplicate orders and settlement queries from the start marks.

    Args:
        incarnation: Identifies this agent process.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._marks = startmarks.StartMarks()

    def mark(
        self, order: work.WorkOrder, state: startmarks.MarkState, answer: bytes = b""
    ) -> None:
        """Sets the mark of a non-repeatable order; repeatable ones have none."""
        if not order.request.repeatable:
            mark = startmarks.StartMark(state, order.claim_sequence, answer)
            self._marks.set(order.request.idempotency_key, order.attempt, mark)

    def settle(self, request: work.SettlementRequest) -> work.Settlement:
        """Reports how an attempt ended; one not seen yet is barred from starting."""
        if request.incarnation != self._incarnation:
            status = work.SettlementStatus.OTHER_INCARNATION
            return work.Settlement(request.key, request.attempt, status)
        return self._marks.settle(request)

    def answer_duplicate(
        self, order: work.WorkOrder, load: work.LoadReport
    ) -> agenteffects.Effects | None:
        """Answers an order that must not start; ``None`` if the order is new."""
        if order.request.repeatable:
            return None
        superseded = work.RefusalReason.KEY_SUPERSEDED
        if order.incarnation != self._incarnation:
            # An order is sent at most once per grant, so there is no other
            # copy, and the incarnation that it names never received it.
            return (agentreplies.refuse(order, superseded, load),)
        key = order.request.idempotency_key
        mark = self._marks.find(key, order.attempt, order.claim_sequence)
        match mark.state:
            case startmarks.MarkState.UNSEEN:
                return None
            case startmarks.MarkState.ANSWERED:
                return agentreplies.replay_stored_answer(order, mark.answer, load)
            case startmarks.MarkState.NEVER:
                return (agentreplies.refuse(order, superseded, load),)
        unknown = work.RefusalReason.OUTCOME_UNKNOWN
        return (agentreplies.refuse(order, unknown, load, work.RunState.UNKNOWN),)

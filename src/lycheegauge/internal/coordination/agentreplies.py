"""Builds the replies that an agent sends to a work order."""

from lycheegauge.internal.coordination import agenteffects, answers
from lycheegauge.internal.protocol import work

RETRY_AFTER_S = 0.5


def reply(order: work.WorkOrder, content: work.AgentReply) -> agenteffects.Reply:
    """Addresses a reply to the most recent stream of the order's attempt."""
    return agenteffects.Reply(order.request.request_id, order.attempt, content)


def refuse(
    order: work.WorkOrder,
    reason: work.RefusalReason,
    load: work.LoadReport,
    run_state: work.RunState = work.RunState.NOT_RUN,
) -> agenteffects.Reply:
    """Builds a refusal of an order, or a report that its run failed."""
    refusal = work.Refusal(
        order.request.request_id,
        order.attempt,
        reason,
        run_state,
        RETRY_AFTER_S,
        "admit",
        load.agent,
    )
    return reply(order, work.AgentReply(refusal=refusal, load=load))


def replay_stored_answer(
    order: work.WorkOrder, answer: bytes, load: work.LoadReport
) -> agenteffects.Effects:
    """Replays the stored answer of the only run to a resent order.

    If the answer was too large to store, the reply is a refusal with
    ``OUTCOME_UNKNOWN`` that states that the request has run.
    """
    stored = answers.decode_stored_answer(
        answer, order.request.request_id, order.attempt
    )
    if stored is None:
        reason = work.RefusalReason.OUTCOME_UNKNOWN
        return (refuse(order, reason, load, work.RunState.RUN),)
    return (
        reply(order, work.AgentReply(chunk=stored.chunk)),
        reply(order, work.AgentReply(end=stored.end)),
    )

"""Attempts of a non-repeatable request, which runs at most once.

The claim is committed to the log before the order is sent, and names the single
agent incarnation that may run it. If a message is lost after that, the outcome
is settled by querying that agent. "Not run" is reported only if it is proven;
otherwise the outcome is reported as unknown, and the request is not retried.
"""

import dataclasses

from lycheegauge.internal.coordination import answers, attemptmessages, claimmessages
from lycheegauge.internal.protocol import changes, work

SETTLEMENT_DELAY_S = 0.2
MAX_SETTLEMENT_TRIES = 5
RETRY_AFTER_S = 1.0
NEVER_RETRY_S = -1.0
_Phase = claimmessages.Phase


class ClaimedAttempts:
    """Runs a request at most once, also if messages or processes are lost."""

    def __init__(
        self, request: work.Request, entry_host: str, origin: claimmessages.KeyOrigin
    ) -> None:
        self._request = request
        self._origin = origin
        self._messages = claimmessages.ClaimMessages(request, entry_host, origin)
        self._deadline_at = 0.0
        self._phase = _Phase.CHOOSING
        self._choice: attemptmessages.Chosen | None = None
        self._holder = changes.ClaimOutcome(changes.ClaimStatus.NOT_RUN)
        self._answer = answers.AnswerCollector()
        self._excluded: tuple[str, ...] = ()
        self._tries = 0
        self._not_run = origin.fresh
        self._late = False
        self._refusal = work.RefusalReason.NO_BACKEND_SERVER
        self._retry = work.RetryReason.SETTLED_NOT_RUN
        self._retry_after_s = RETRY_AFTER_S

    def start(self, now: float) -> attemptmessages.Effects:
        """Starts the deadline timer and the choice of a backend server."""
        self._deadline_at = now + self._request.deadline_s
        deadline = attemptmessages.Timer.DEADLINE
        return (
            attemptmessages.SetTimer(deadline, self._request.deadline_s),
            attemptmessages.ChooseBackendServer(),
        )

    def handle(
        self, event: attemptmessages.Event, now: float
    ) -> attemptmessages.Effects:
        """Handles an event and returns the effects to perform."""
        match event:
            case attemptmessages.Chosen():
                return self._take_choice(event)
            case attemptmessages.ClaimAnswered():
                return self._take_claim(event.outcome, now)
            case attemptmessages.Replied():
                return self._take_reply(event)
            case attemptmessages.ConnectionLost():
                return self._take_loss(event)
            case attemptmessages.SettlementAnswered():
                return self._take_settlement(event.settlement)
            case attemptmessages.SettlementRecorded():
                return self._take_record(event.outcome)
        return self._handle_silence(event)

    def _handle_silence(self, event: attemptmessages.Event) -> attemptmessages.Effects:
        match event:
            case attemptmessages.LogUnavailable():
                return self._give_up(work.RefusalReason.LOG_UNAVAILABLE)
            case attemptmessages.AgentUnreachable():
                return self._take_unreachable()
            case attemptmessages.TimerFired(attemptmessages.Timer.SETTLEMENT):
                return self._ask_settlement()
            case attemptmessages.TimerFired(attemptmessages.Timer.DEADLINE):
                return self._take_deadline()
            case attemptmessages.CallerGone() if self._phase in claimmessages.UNSENT:
                return (attemptmessages.Done(),)
        return ()

    def _take_choice(self, event: attemptmessages.Chosen) -> attemptmessages.Effects:
        if self._phase is not _Phase.CHOOSING:
            return ()
        self._refusal = work.RefusalReason.KEY_SUPERSEDED
        if event.backend_server is not None:
            self._phase = _Phase.CLAIMING
            self._choice = event
            server = event.backend_server
            return (self._messages.claim(server.name, server.incarnation),)
        self._retry_after_s = event.retry_after_s
        return self._refuse_unsent(event.reason)

    def _refuse_unsent(self, reason: work.RefusalReason) -> attemptmessages.Effects:
        if self._origin.fresh:
            return self._refuse(reason, work.RunState.NOT_RUN)
        # Another request with this key may have run or be about to run. The
        # ledger knows, and prevents a later start once this one is refused.
        self._refusal = reason
        self._phase = _Phase.ASKING
        return (self._messages.claim("", ""),)

    def _take_claim(
        self, outcome: changes.ClaimOutcome, now: float
    ) -> attemptmessages.Effects:
        if self._phase not in (
            _Phase.CLAIMING,
            _Phase.ASKING,
        ):
            return ()
        if outcome.status is changes.ClaimStatus.GRANTED:
            return self._send(outcome, now)
        return self._follow(outcome)

    def _follow(self, outcome: changes.ClaimOutcome) -> attemptmessages.Effects:
        match outcome.status:
            case changes.ClaimStatus.HELD:
                self._holder = outcome
                self._not_run = False
                return self._wait_for_settlement()
            case changes.ClaimStatus.ANSWERED:
                return self._give_kept_answer(outcome)
            case changes.ClaimStatus.NOT_RUN:
                return self._refuse(self._refusal, work.RunState.NOT_RUN)
            case changes.ClaimStatus.FULL:
                reason = work.RefusalReason.CLAIM_LEDGER_FULL
                return self._refuse(reason, work.RunState.NOT_RUN)
        self._retry_after_s = NEVER_RETRY_S
        final = claimmessages.FINAL_OUTCOMES[outcome.status]
        return self._refuse(final.reason, final.run_state)

    def _send(
        self, outcome: changes.ClaimOutcome, now: float
    ) -> attemptmessages.Effects:
        if self._choice is None or self._choice.backend_server is None:
            return ()
        self._holder = outcome
        self._not_run = False
        self._phase = _Phase.RUNNING
        self._answer.begin_attempt(outcome.attempt)
        order = self._messages.order(self._choice, outcome, self._deadline_at - now)
        return (attemptmessages.SendOrder(self._choice.backend_server, order),)

    def _take_reply(self, event: attemptmessages.Replied) -> attemptmessages.Effects:
        if self._phase is not _Phase.RUNNING or event.attempt != self._holder.attempt:
            return ()
        reply = event.reply
        if reply.refusal is not None:
            return self._take_refusal(reply.refusal)
        self._answer.take(reply)
        if self._answer.is_whole:
            return self._finish(self._answer.join())
        # An inconsistent answer is settled like a lost one: the agent stores it.
        return self._ask_settlement() if self._answer.broken else ()

    def _take_refusal(self, refusal: work.Refusal) -> attemptmessages.Effects:
        if refusal.run_state is work.RunState.NOT_RUN:
            self._retry_after_s = refusal.retry_after_s
            cold = refusal.reason is work.RefusalReason.COLD_LIMIT
            retry = work.RetryReason.COLD_LIMIT
            return self._record_not_run(
                refusal.reason, retry if cold else work.RetryReason.AGENT_REFUSED
            )
        return self._settle_unknown(refusal.run_state)

    def _take_loss(
        self, event: attemptmessages.ConnectionLost
    ) -> attemptmessages.Effects:
        if self._phase is not _Phase.RUNNING or event.attempt != self._holder.attempt:
            return ()
        if event.sent:
            return self._ask_settlement()
        return self._record_not_run(
            work.RefusalReason.NO_BACKEND_SERVER, work.RetryReason.CONNECTION_FAILED
        )

    def _wait_for_settlement(self) -> attemptmessages.Effects:
        if self._late:
            return self._refuse_unknown()
        # The claim holder's order may still be in transit; querying the agent
        # immediately would forbid a run that is about to start.
        self._phase = _Phase.SETTLING
        timer = attemptmessages.Timer.SETTLEMENT
        return (attemptmessages.SetTimer(timer, SETTLEMENT_DELAY_S),)

    def _ask_settlement(self) -> attemptmessages.Effects:
        if self._phase not in (
            _Phase.RUNNING,
            _Phase.SETTLING,
        ):
            return ()
        self._phase = _Phase.SETTLING
        return (self._messages.ask(self._holder),)

    def _take_settlement(self, settlement: work.Settlement) -> attemptmessages.Effects:
        if self._phase is not _Phase.SETTLING:
            return ()
        if settlement.attempt != self._holder.attempt:
            return ()
        match settlement.status:
            case work.SettlementStatus.WILL_NEVER_START:
                return self._record_not_run(
                    work.RefusalReason.NO_BACKEND_SERVER,
                    work.RetryReason.SETTLED_NOT_RUN,
                )
            case work.SettlementStatus.RUNNING:
                return self._wait_for_settlement()
            case work.SettlementStatus.ANSWERED:
                return self._finish(settlement.answer)
        return self._settle_unknown(work.RunState.UNKNOWN)

    def _take_unreachable(self) -> attemptmessages.Effects:
        if self._phase is not _Phase.SETTLING:
            return ()
        self._tries += 1
        if self._tries < MAX_SETTLEMENT_TRIES:
            return self._wait_for_settlement()
        return self._refuse_unknown()

    def _record_not_run(
        self, reason: work.RefusalReason, retry: work.RetryReason
    ) -> attemptmessages.Effects:
        self._refusal, self._retry = reason, retry
        self._not_run = True
        self._phase = _Phase.RECORDING
        return (self._settle(changes.ClaimStatus.NOT_RUN),)

    def _settle(
        self, status: changes.ClaimStatus, answer: bytes = b""
    ) -> attemptmessages.RecordSettlement:
        return self._messages.record(self._holder.attempt, status, answer)

    def _take_record(self, outcome: changes.ClaimOutcome) -> attemptmessages.Effects:
        if self._phase is not _Phase.RECORDING:
            return ()
        if outcome.status is not changes.ClaimStatus.NOT_RUN:
            # Another request with the same key has been granted the next attempt.
            return self._follow(outcome)
        self._phase = _Phase.CHOOSING
        if self._choice is not None and self._choice.backend_server is not None:
            tried = self._choice.backend_server.name
            self._excluded = (*self._excluded, tried)
        return (attemptmessages.ChooseBackendServer(self._excluded, self._retry),)

    def _settle_unknown(self, run_state: work.RunState) -> attemptmessages.Effects:
        self._retry_after_s = NEVER_RETRY_S
        refused = self._refuse(work.RefusalReason.OUTCOME_UNKNOWN, run_state)
        return (self._settle(changes.ClaimStatus.UNKNOWN), *refused)

    def _finish(self, answer: bytes) -> attemptmessages.Effects:
        record = self._settle(changes.ClaimStatus.ANSWERED, answer)
        given = self._give_kept_answer(dataclasses.replace(self._holder, answer=answer))
        return (record, *given)

    def _give_kept_answer(
        self, outcome: changes.ClaimOutcome
    ) -> attemptmessages.Effects:
        kept = answers.read_kept_answer(
            outcome.answer, self._request.request_id, outcome.attempt
        )
        if kept is None:
            reason = work.RefusalReason.OUTCOME_UNKNOWN
            return self._refuse(reason, work.RunState.RUN)
        return (
            attemptmessages.PassChunk(kept.chunk),
            attemptmessages.EndAnswer(kept.end.tokens),
            attemptmessages.Done(),
        )

    def _take_deadline(self) -> attemptmessages.Effects:
        self._late = True
        reason = work.RefusalReason.DEADLINE_EXCEEDED
        if self._phase is _Phase.CHOOSING:
            return self._refuse_unsent(reason)
        return self._give_up(reason)

    def _give_up(self, reason: work.RefusalReason) -> attemptmessages.Effects:
        if self._not_run and self._origin.fresh:
            return self._refuse(reason, work.RunState.NOT_RUN)
        if self._phase in claimmessages.UNSENT:
            return self._refuse(reason, work.RunState.UNKNOWN)
        return self._refuse_unknown()

    def _refuse_unknown(self) -> attemptmessages.Effects:
        return self._refuse(work.RefusalReason.OUTCOME_UNKNOWN, work.RunState.UNKNOWN)

    def _refuse(
        self, reason: work.RefusalReason, run_state: work.RunState
    ) -> attemptmessages.Effects:
        refusal = work.Refusal(
            self._request.request_id,
            self._holder.attempt,
            reason,
            run_state,
            self._retry_after_s,
            self._phase.value,
            self._holder.agent,
        )
        return (attemptmessages.Refuse(refusal), attemptmessages.Done())

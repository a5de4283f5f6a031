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
        self._messages = claimmessages.ClaimMessageBuilder(request, entry_host, origin)
        self._deadline_at = 0.0
        self._phase = _Phase.CHOOSING
        self._choice: attemptmessages.BackendServerChosen | None = None
        self._holder = changes.ClaimOutcome(changes.ClaimStatus.NOT_RUN)
        self._answer = answers.AnswerCollector()
        self._excluded: tuple[str, ...] = ()
        self._settlement_tries = 0
        self._not_run = origin.is_new
        self._deadline_passed = False
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
            case attemptmessages.BackendServerChosen():
                return self._handle_choice(event)
            case attemptmessages.ClaimCommitted():
                return self._handle_claim(event.outcome, now)
            case attemptmessages.ReplyReceived():
                return self._handle_reply(event)
            case attemptmessages.ConnectionLost():
                return self._handle_connection_loss(event)
            case attemptmessages.SettlementReceived():
                return self._handle_settlement(event.settlement)
            case attemptmessages.SettlementRecorded():
                return self._handle_settlement_recorded(event.outcome)
        return self._handle_failure_or_timer(event)

    def _handle_failure_or_timer(
        self, event: attemptmessages.Event
    ) -> attemptmessages.Effects:
        match event:
            case attemptmessages.LogUnavailable():
                return self._abort(work.RefusalReason.LOG_UNAVAILABLE)
            case attemptmessages.AgentUnreachable():
                return self._handle_unreachable()
            case attemptmessages.TimerFired(attemptmessages.Timer.SETTLEMENT):
                return self._query_settlement()
            case attemptmessages.TimerFired(attemptmessages.Timer.DEADLINE):
                return self._handle_deadline()
            case attemptmessages.CallerDisconnected() if (
                self._phase in claimmessages.UNSENT_PHASES
            ):
                return (attemptmessages.Done(),)
        return ()

    def _handle_choice(
        self, event: attemptmessages.BackendServerChosen
    ) -> attemptmessages.Effects:
        if self._phase is not _Phase.CHOOSING:
            return ()
        self._refusal = work.RefusalReason.KEY_SUPERSEDED
        if event.backend_server is not None:
            self._phase = _Phase.CLAIMING
            self._choice = event
            server = event.backend_server
            return (self._messages.build_claim(server.name, server.incarnation),)
        self._retry_after_s = event.retry_after_s
        return self._refuse_unsent(event.reason)

    def _refuse_unsent(self, reason: work.RefusalReason) -> attemptmessages.Effects:
        if self._origin.is_new:
            return self._refuse(reason, work.RunState.NOT_RUN)
        # Another request with this key may have run or be about to run. The
        # ledger knows, and prevents a later start once this one is refused.
        self._refusal = reason
        self._phase = _Phase.ASKING
        return (self._messages.build_claim("", ""),)

    def _handle_claim(
        self, outcome: changes.ClaimOutcome, now: float
    ) -> attemptmessages.Effects:
        if self._phase not in (
            _Phase.CLAIMING,
            _Phase.ASKING,
        ):
            return ()
        if outcome.status is changes.ClaimStatus.GRANTED:
            return self._send(outcome, now)
        return self._handle_claim_status(outcome)

    def _handle_claim_status(
        self, outcome: changes.ClaimOutcome
    ) -> attemptmessages.Effects:
        match outcome.status:
            case changes.ClaimStatus.HELD:
                self._holder = outcome
                self._not_run = False
                return self._wait_for_settlement()
            case changes.ClaimStatus.ANSWERED:
                return self._replay_stored_answer(outcome)
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
        order = self._messages.build_order(
            self._choice, outcome, self._deadline_at - now
        )
        return (attemptmessages.SendOrder(self._choice.backend_server, order),)

    def _handle_reply(
        self, event: attemptmessages.ReplyReceived
    ) -> attemptmessages.Effects:
        if self._phase is not _Phase.RUNNING or event.attempt != self._holder.attempt:
            return ()
        reply = event.reply
        if reply.refusal is not None:
            return self._handle_refusal(reply.refusal)
        self._answer.add_reply(reply)
        if self._answer.is_complete:
            return self._finish(self._answer.join())
        # An inconsistent answer is settled like a lost one: the agent stores it.
        return self._query_settlement() if self._answer.broken else ()

    def _handle_refusal(self, refusal: work.Refusal) -> attemptmessages.Effects:
        if refusal.run_state is work.RunState.NOT_RUN:
            self._retry_after_s = refusal.retry_after_s
            cold = refusal.reason is work.RefusalReason.COLD_LIMIT
            retry = work.RetryReason.COLD_LIMIT
            return self._record_not_run(
                refusal.reason, retry if cold else work.RetryReason.AGENT_REFUSED
            )
        return self._settle_unknown(refusal.run_state)

    def _handle_connection_loss(
        self, event: attemptmessages.ConnectionLost
    ) -> attemptmessages.Effects:
        if self._phase is not _Phase.RUNNING or event.attempt != self._holder.attempt:
            return ()
        if event.sent:
            return self._query_settlement()
        return self._record_not_run(
            work.RefusalReason.NO_BACKEND_SERVER, work.RetryReason.CONNECTION_FAILED
        )

    def _wait_for_settlement(self) -> attemptmessages.Effects:
        if self._deadline_passed:
            return self._refuse_unknown()
        # The claim holder's order may still be in transit; querying the agent
        # immediately would forbid a run that is about to start.
        self._phase = _Phase.SETTLING
        timer = attemptmessages.Timer.SETTLEMENT
        return (attemptmessages.SetTimer(timer, SETTLEMENT_DELAY_S),)

    def _query_settlement(self) -> attemptmessages.Effects:
        if self._phase not in (
            _Phase.RUNNING,
            _Phase.SETTLING,
        ):
            return ()
        self._phase = _Phase.SETTLING
        return (self._messages.build_settlement_query(self._holder),)

    def _handle_settlement(
        self, settlement: work.Settlement
    ) -> attemptmessages.Effects:
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

    def _handle_unreachable(self) -> attemptmessages.Effects:
        if self._phase is not _Phase.SETTLING:
            return ()
        self._settlement_tries += 1
        if self._settlement_tries < MAX_SETTLEMENT_TRIES:
            return self._wait_for_settlement()
        return self._refuse_unknown()

    def _record_not_run(
        self, reason: work.RefusalReason, retry: work.RetryReason
    ) -> attemptmessages.Effects:
        self._refusal, self._retry = reason, retry
        self._not_run = True
        self._phase = _Phase.RECORDING
        return (self._build_settlement(changes.ClaimStatus.NOT_RUN),)

    def _build_settlement(
        self, status: changes.ClaimStatus, answer: bytes = b""
    ) -> attemptmessages.RecordSettlement:
        return self._messages.build_settlement(self._holder.attempt, status, answer)

    def _handle_settlement_recorded(
        self, outcome: changes.ClaimOutcome
    ) -> attemptmessages.Effects:
        if self._phase is not _Phase.RECORDING:
            return ()
        if outcome.status is not changes.ClaimStatus.NOT_RUN:
            # Another request with the same key has been granted the next attempt.
            return self._handle_claim_status(outcome)
        self._phase = _Phase.CHOOSING
        if self._choice is not None and self._choice.backend_server is not None:
            tried = self._choice.backend_server.name
            self._excluded = (*self._excluded, tried)
        return (attemptmessages.ChooseBackendServer(self._excluded, self._retry),)

    def _settle_unknown(self, run_state: work.RunState) -> attemptmessages.Effects:
        self._retry_after_s = NEVER_RETRY_S
        refused = self._refuse(work.RefusalReason.OUTCOME_UNKNOWN, run_state)
        return (self._build_settlement(changes.ClaimStatus.UNKNOWN), *refused)

    def _finish(self, answer: bytes) -> attemptmessages.Effects:
        record = self._build_settlement(changes.ClaimStatus.ANSWERED, answer)
        replayed = self._replay_stored_answer(
            dataclasses.replace(self._holder, answer=answer)
        )
        return (record, *replayed)

    def _replay_stored_answer(
        self, outcome: changes.ClaimOutcome
    ) -> attemptmessages.Effects:
        stored = answers.decode_stored_answer(
            outcome.answer, self._request.request_id, outcome.attempt
        )
        if stored is None:
            reason = work.RefusalReason.OUTCOME_UNKNOWN
            return self._refuse(reason, work.RunState.RUN)
        return (
            attemptmessages.ForwardChunk(stored.chunk),
            attemptmessages.EndAnswer(stored.end.tokens),
            attemptmessages.Done(),
        )

    def _handle_deadline(self) -> attemptmessages.Effects:
        self._deadline_passed = True
        reason = work.RefusalReason.DEADLINE_EXCEEDED
        if self._phase is _Phase.CHOOSING:
            return self._refuse_unsent(reason)
        return self._abort(reason)

    def _abort(self, reason: work.RefusalReason) -> attemptmessages.Effects:
        if self._not_run and self._origin.is_new:
            return self._refuse(reason, work.RunState.NOT_RUN)
        if self._phase in claimmessages.UNSENT_PHASES:
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

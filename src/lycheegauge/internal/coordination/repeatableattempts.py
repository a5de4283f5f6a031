"""Attempts of a repeatable request, which may run more than once."""

import dataclasses

from lycheegauge.internal.coordination import answers, attemptmessages, crashes
from lycheegauge.internal.protocol import freshness, work

MAX_LOSSES = 2
MAX_CRASHES = 2
CRASH_HOLD_S = 1.0
SUSPECT_WAIT_S = 0.25
_FINAL_REASONS = frozenset(
    {
        work.RefusalReason.BAD_REQUEST,
        work.RefusalReason.DEADLINE_EXCEEDED,
        work.RefusalReason.QUARANTINED,
    }
)


class RepeatableAttempts:
    """Tries backend servers in turn until the answer is complete.

    A broken stream is resumed at the next token. After a crash the next attempt
    waits until the log has committed the crash, and then runs as a suspect.
    Otherwise one request could crash server after server while the reports are
    still in transit.
    """

    def __init__(self, request: work.Request, entry_host: str) -> None:
        self._request = request
        self._entry_host = entry_host
        self._deadline_at = 0.0
        self._answer = answers.AnswerAssembler()
        self._attempt = 0
        self._server: freshness.BackendServer | None = None
        self._excluded: tuple[str, ...] = ()
        self._losses = 0
        self._crashes = 0
        self._was_started = False
        self._has_forwarded = False
        self._awaiting_crash_record = False
        self._is_suspect = False

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
                return self._handle_choice(event, now)
            case attemptmessages.ReplyReceived():
                return self._handle_reply(event)
            case attemptmessages.ConnectionLost():
                return self._handle_connection_loss(event)
            case attemptmessages.CrashRecorded():
                return self._handle_crash_recorded(event)
            case attemptmessages.TimerFired():
                return self._handle_timer(event.timer)
            case attemptmessages.CallerDisconnected():
                return (*self._cancel(), attemptmessages.Done())
        return ()

    def _handle_choice(
        self, event: attemptmessages.BackendServerChosen, now: float
    ) -> attemptmessages.Effects:
        if event.backend_server is None:
            return self._refuse(event.reason, event.retry_after_s)
        self._server = event.backend_server
        self._attempt += 1
        request = dataclasses.replace(
            self._request, deadline_s=max(0.0, self._deadline_at - now)
        )
        order = work.WorkOrder(
            request,
            self._attempt,
            self._entry_host,
            event.revision,
            self._server.incarnation,
            self._answer.begin_attempt(self._attempt),
            event.suspect or self._crashes > 0,
            known_crashes=event.known_crashes,
        )
        self._is_suspect = order.suspect
        return (attemptmessages.SendOrder(self._server, order),)

    def _handle_reply(
        self, event: attemptmessages.ReplyReceived
    ) -> attemptmessages.Effects:
        if not self._is_current(event.attempt):
            return ()
        reply = event.reply
        if reply.refusal is not None:
            return self._handle_refusal(reply.refusal)
        forwarded: list[work.AnswerChunk] = []
        if reply.chunk is not None:
            self._was_started = True
            forwarded.extend(self._answer.add_chunk(reply.chunk))
        if reply.end is not None:
            forwarded.extend(self._answer.add_end(reply.end))
        self._has_forwarded = self._has_forwarded or bool(forwarded)
        effects = tuple(attemptmessages.ForwardChunk(chunk) for chunk in forwarded)
        return effects + self._check_answer()

    def _is_current(self, attempt: int) -> bool:
        waiting = self._server is not None and not self._awaiting_crash_record
        return waiting and attempt == self._attempt

    def _check_answer(self) -> attemptmessages.Effects:
        if self._answer.is_complete:
            end = attemptmessages.EndAnswer(self._answer.next_token)
            return (end, attemptmessages.Done())
        if self._answer.broken:
            return self._cancel() + self._count_loss()
        return ()

    def _handle_refusal(self, refusal: work.Refusal) -> attemptmessages.Effects:
        server = self._server
        if server is None:
            return ()
        if refusal.reason in _FINAL_REASONS:
            return self._refuse(refusal.reason, refusal.retry_after_s)
        if refusal.reason is work.RefusalReason.SUSPECT_BUSY and self._is_suspect:
            self._server = None
            wait = attemptmessages.Timer.SUSPECT_WAIT
            return (attemptmessages.SetTimer(wait, SUSPECT_WAIT_S),)
        if refusal.reason is work.RefusalReason.COLD_LIMIT:
            # A server that became cold also returns runs that it had started.
            started = refusal.run_state is not work.RunState.NOT_RUN
            self._was_started = self._was_started or started
            return self._retry(work.RetryReason.COLD_LIMIT)
        if refusal.run_state is work.RunState.NOT_RUN:
            return self._retry(work.RetryReason.AGENT_REFUSED)
        if refusal.reason is not work.RefusalReason.BACKEND_SERVER_CRASHED:
            return self._count_loss()
        self._was_started = True
        self._crashes += 1
        self._awaiting_crash_record = True
        hold = attemptmessages.Timer.CRASH_HOLD
        return (
            attemptmessages.AwaitCrashReport(server.name, server.boot_id),
            attemptmessages.SetTimer(hold, CRASH_HOLD_S),
        )

    def _handle_crash_recorded(
        self, event: attemptmessages.CrashRecorded
    ) -> attemptmessages.Effects:
        server = self._server
        if server is None or server.name != event.backend_server:
            return ()
        return self._handle_verdict(event.verdict)

    def _handle_verdict(self, verdict: crashes.Verdict) -> attemptmessages.Effects:
        if not self._awaiting_crash_record:
            return ()
        self._awaiting_crash_record = False
        if verdict is crashes.Verdict.REFUSED or self._crashes >= MAX_CRASHES:
            return self._refuse(work.RefusalReason.QUARANTINED, -1.0)
        return self._retry(work.RetryReason.BACKEND_SERVER_CRASHED)

    def _handle_connection_loss(
        self, event: attemptmessages.ConnectionLost
    ) -> attemptmessages.Effects:
        if not self._is_current(event.attempt):
            return ()
        if not event.sent:
            return self._retry(work.RetryReason.CONNECTION_FAILED)
        return self._count_loss()

    def _count_loss(self) -> attemptmessages.Effects:
        self._was_started = True
        self._losses += 1
        if self._losses > MAX_LOSSES:
            return self._refuse(work.RefusalReason.BACKEND_SERVER_FAILED, 1.0)
        return self._retry(work.RetryReason.STREAM_BROKEN)

    def _retry(self, reason: work.RetryReason) -> attemptmessages.Effects:
        if self._server is not None:
            self._excluded = (*self._excluded, self._server.name)
            self._server = None
        suspect = self._is_suspect or self._crashes > 0
        return (attemptmessages.ChooseBackendServer(self._excluded, reason, suspect),)

    def _handle_timer(self, timer: attemptmessages.Timer) -> attemptmessages.Effects:
        if timer is attemptmessages.Timer.CRASH_HOLD:
            # The log did not respond in time. The request continues as a suspect,
            # which limits the crashes that it can cause here to two.
            return self._handle_verdict(crashes.Verdict.SUSPECT)
        if timer is attemptmessages.Timer.SUSPECT_WAIT:
            return self._retry(work.RetryReason.SUSPECT_BUSY)
        if timer is not attemptmessages.Timer.DEADLINE:
            return ()
        cancelled = self._cancel()
        return cancelled + self._refuse(work.RefusalReason.DEADLINE_EXCEEDED, 1.0)

    def _cancel(self) -> attemptmessages.Effects:
        if self._server is None or self._awaiting_crash_record:
            return ()
        self._was_started = True
        return (
            attemptmessages.CancelOrder(
                self._server, self._request.request_id, self._attempt
            ),
        )

    def _refuse(
        self, reason: work.RefusalReason, retry_after_s: float
    ) -> attemptmessages.Effects:
        state = work.RunState.UNKNOWN if self._was_started else work.RunState.NOT_RUN
        refusal = work.Refusal(
            self._request.request_id,
            self._attempt,
            reason,
            state,
            retry_after_s,
            "attempt",
            self._server.name if self._server else "",
        )
        cut = self._has_forwarded
        return (attemptmessages.Refuse(refusal, cut), attemptmessages.Done())

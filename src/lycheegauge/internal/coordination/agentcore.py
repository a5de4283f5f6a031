"""State machine of an agent, which admits orders to its backend server.

All work for a backend server goes through its agent. The agent refuses orders
that may not start now, limits the concurrency of a cold server, runs suspects
alone, and tracks each non-repeatable order so that it starts at most once.
"""

import dataclasses

from returns import pipeline

from lycheegauge.internal.coordination import (
    admission,
    agenteffects,
    agentreplies,
    crashes,
    loadmeter,
    orderdeduplication,
    runs,
    startgate,
    startmarks,
    suspectslot,
)
from lycheegauge.internal.protocol import work


class AgentCore:
    """Makes the decisions of one agent, without I/O.

    Args:
        name: The name of the agent and of its backend server.
        incarnation: Identifies this agent process.
        boot_id: Identifies the current backend server process.
        settings: The concurrency limits of the backend server.

    Attributes:
        limit: How many requests the backend server may run now.
        gate: Whether new work may start at all; pass it the pull replies.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        boot_id: str,
        settings: admission.AdmissionSettings,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.boot_id = boot_id
        self.limit = admission.ColdStartLimit(settings, boot_id)
        self.gate = startgate.StartGate(name)
        self._deduplicator = orderdeduplication.OrderDeduplicator(incarnation)
        self._runs = runs.RunTable()
        self._suspect_slot = suspectslot.SuspectSlot()
        self._meter = loadmeter.LoadMeter()
        self._checked_at = 0.0

    @property
    def running(self) -> int:
        """How many orders the backend server is running."""
        return len(self._runs)

    def handle_order(
        self, order: work.WorkOrder, now: float, allows_start: bool
    ) -> agenteffects.Effects:
        """Starts an order, attaches it to its existing run, or refuses it.

        Args:
            order: The order from an entry host.
            now: Monotonic seconds.
            allows_start: Whether the freshness lease allows new work.
        """
        run = self._runs.find(order.request.request_id, order.attempt)
        if run is not None:
            return _replay_chunks(run)
        duplicate_reply = self._deduplicator.answer_duplicate(
            order, self.build_load_report(0.0)
        )
        if duplicate_reply is not None:
            return duplicate_reply
        reason = self._find_refusal(order, allows_start)
        if reason is work.RefusalReason.SUSPECT_BUSY and self._hold_suspect(order):
            return ()
        if reason is not None:
            return self._refuse_start(order, reason)
        return self.shed_excess_runs(now) + self._admit(order, now)

    def shed_excess_runs(self, now: float) -> agenteffects.Effects:
        """Sheds runs if the server became cold; called several times a second.

        A backend server that becomes cold still has the load admitted while it
        was warm, and would fail under it. So the newest runs in excess of the
        lowered limit that have produced no output yet are returned to their
        entry hosts.
        """
        self._checked_at = now
        waiting = self._runs.longest_waiting
        if waiting is not None:
            wait_s = self._meter.measure_wait(waiting.started_s, now)
            self.limit.check_wait_time(wait_s, waiting.ticket)
        if not self.limit.pop_reset():
            return ()
        excess = len(self._runs) - self.limit.limit
        chosen = runs.choose_excess_runs(self._runs.all, excess)
        return tuple(effect for run in chosen for effect in self._return_run(run))

    def handle_engine_chunk(
        self, chunk: work.AnswerChunk, now: float
    ) -> agenteffects.Effects:
        """Handles a chunk of an answer; sequence and token index are set here."""
        run = self._runs.record_output(chunk.request_id, chunk.attempt)
        if run is None:
            return ()
        if run.first_token_s is None:
            self._meter.note_first_token(now)
        numbered = run.add_chunk(chunk, now)
        return (agentreplies.reply(run.order, work.AgentReply(chunk=numbered)),)

    def handle_engine_end(
        self, request_id: str, attempt: int, now: float
    ) -> agenteffects.Effects:
        """Handles the completion of an answer by the backend server."""
        run = self._runs.remove(request_id, attempt)
        if run is None:
            return ()
        self._meter.note_completion(now - run.started_s, len(self._runs) + 1)
        self.limit.finish(run.ticket, run.first_token_s, succeeded=True)
        self._deduplicator.mark(
            run.order, startmarks.MarkState.ANSWERED, run.encode_answer()
        )
        end = work.AnswerEnd(request_id, attempt, run.chunks, run.next_token)
        load = self.build_load_report(0.0)
        ended = agentreplies.reply(run.order, work.AgentReply(end=end, load=load))
        return (
            ended,
            *self._clear_suspect(run),
            *self._suspect_slot.release(len(self._runs)),
        )

    def handle_engine_failure(
        self, request_id: str, attempt: int, reached: bool, now: float
    ) -> agenteffects.Effects:
        """Handles the failure of a run.

        Args:
            request_id: The run's request.
            attempt: The run's attempt.
            reached: Whether the backend server may have received any byte.
            now: Monotonic seconds.
        """
        run = self._runs.remove(request_id, attempt)
        if run is None:
            return ()
        if reached:
            self.gate.crashes.record_failure(run.order.request.fingerprint, now)
        failed = self._fail(run, reached, work.RefusalReason.BACKEND_SERVER_FAILED)
        return (failed, *self._suspect_slot.release(len(self._runs)))

    def handle_crash(self, now: float) -> agenteffects.Effects:
        """Handles a crash of the backend server, which ends all its runs."""
        lost = self._runs.clear()
        fingerprints = tuple(run.order.request.fingerprint for run in lost)
        # A suspect only starts on an idle server, and nothing starts beside it.
        alone = fingerprints if len(lost) == 1 and lost[0].order.suspect else ()
        report = self.gate.crashes.record_crash(self.boot_id, fingerprints, now, alone)
        crashed = work.RefusalReason.BACKEND_SERVER_CRASHED
        replies: agenteffects.Effects = tuple(
            self._fail(run, True, crashed) for run in lost
        )
        replies += self._suspect_slot.release(len(self._runs))
        if report is None:
            return replies
        return (agenteffects.SendCrashReport(report), *replies)

    def handle_boot_id(self, boot_id: str, now: float) -> agenteffects.Effects:
        """Handles the boot id of the current backend server process."""
        if boot_id == self.boot_id:
            return ()
        effects = self.handle_crash(now)
        self.boot_id = boot_id
        self.limit.take_boot_id(boot_id)
        return effects

    def cancel(self, request_id: str, attempt: int) -> agenteffects.Effects:
        """Cancels a run that no caller is waiting for any more.

        A non-repeatable run continues: cancelling it would make its outcome
        unknown, whereas its answer can still be given to a resent request.
        """
        self._suspect_slot.drop(request_id, attempt)
        run = self._runs.find(request_id, attempt)
        if run is None or not run.order.request.repeatable:
            return ()
        self._runs.remove(request_id, attempt)
        # Callers cancel requests that hang, and these may crash the server.
        fingerprint = run.order.request.fingerprint
        self.gate.crashes.record_failure(fingerprint, self._checked_at)
        self.limit.finish(run.ticket, run.first_token_s, succeeded=False)
        cancelled = agenteffects.CancelRun(request_id, attempt)
        return (cancelled, *self._suspect_slot.release(len(self._runs)))

    def settle(self, request: work.SettlementRequest) -> work.Settlement:
        """Reports how an attempt ended; one not seen yet is barred from starting."""
        return self._deduplicator.settle(request)

    def build_load_report(self, age_s: float) -> work.LoadReport:
        """Builds the load report that replies and probe responses carry."""
        return work.LoadReport(
            self.name,
            self.incarnation,
            self.boot_id,
            len(self._runs),
            0,
            self.limit.limit,
            self._meter.speed,
            age_s,
            self.limit.is_cold,
        )

    def _find_refusal(
        self, order: work.WorkOrder, allows_start: bool
    ) -> work.RefusalReason | None:
        reserved_for_suspect = (
            self._runs.is_running_suspect or self._suspect_slot.waiting is not None
        )
        return self.gate.find_refusal(
            order, allows_start, len(self._runs), reserved_for_suspect
        )

    def _admit(self, order: work.WorkOrder, now: float) -> agenteffects.Effects:
        admitted = self.limit.admit()
        if pipeline.is_successful(admitted):
            return self._start(order, admitted.unwrap(), now)
        return self._refuse_start(order, admitted.failure())

    def _return_run(self, run: runs.Run) -> agenteffects.Effects:
        request_id, attempt = run.order.request.request_id, run.order.attempt
        cold = work.RefusalReason.COLD_LIMIT
        refused = self._refuse(run.order, cold, work.RunState.UNKNOWN)
        return (*self.cancel(request_id, attempt), refused)

    def _hold_suspect(self, order: work.WorkOrder) -> bool:
        suspect = self.gate.get_verdict(order) is crashes.Verdict.SUSPECT
        return suspect and self._suspect_slot.hold(order)

    def _start(
        self, order: work.WorkOrder, ticket: admission.Ticket, now: float
    ) -> agenteffects.Effects:
        suspect = self.gate.get_verdict(order) is crashes.Verdict.SUSPECT
        order = dataclasses.replace(order, suspect=suspect)
        known_crashes = self.gate.list_crashes(order.request.fingerprint).union(
            order.known_crashes
        )
        self._runs.add(
            runs.Run(order, ticket, now, order.resume_at, known_crashes=known_crashes)
        )
        self._deduplicator.mark(order, startmarks.MarkState.STARTED)
        return (agenteffects.StartRun(order),)

    def _refuse_start(
        self, order: work.WorkOrder, reason: work.RefusalReason
    ) -> agenteffects.Effects:
        # The entry host treats the refusal as proof that this attempt does not
        # run, so a duplicate of the order must be refused as well.
        self._deduplicator.mark(order, startmarks.MarkState.NEVER)
        return (self._refuse(order, reason),)

    def _refuse(
        self,
        order: work.WorkOrder,
        reason: work.RefusalReason,
        run_state: work.RunState = work.RunState.NOT_RUN,
    ) -> agenteffects.Reply:
        return agentreplies.refuse(
            order, reason, self.build_load_report(0.0), run_state
        )

    def _fail(
        self, run: runs.Run, reached: bool, reason: work.RefusalReason
    ) -> agenteffects.Reply:
        self.limit.finish(run.ticket, run.first_token_s, succeeded=False)
        if reached:
            self._deduplicator.mark(run.order, startmarks.MarkState.FAILED)
            run_state = work.RunState.UNKNOWN
        else:
            self._deduplicator.mark(run.order, startmarks.MarkState.NEVER)
            run_state = work.RunState.NOT_RUN
        return self._refuse(run.order, reason, run_state)

    def _clear_suspect(self, run: runs.Run) -> agenteffects.Effects:
        if not run.order.suspect:
            return ()
        fingerprint = run.order.request.fingerprint
        self.gate.clear(fingerprint, run.known_crashes)
        if not run.known_crashes:
            return ()
        return (
            agenteffects.SendClearance(fingerprint, tuple(sorted(run.known_crashes))),
        )


def _replay_chunks(run: runs.Run) -> agenteffects.Effects:
    return tuple(
        agentreplies.reply(run.order, work.AgentReply(chunk=chunk))
        for chunk in run.stored_chunks
    )

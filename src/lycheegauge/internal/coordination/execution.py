"""The agent's decisions: which orders its backend server is given.

The agent is the only way to its backend server. It refuses what may not start
now, lets no more run than a cold server bears, keeps suspects apart, and
remembers each non-repeatable order so that it starts at most once.
"""

import dataclasses

from returns import pipeline

from lycheegauge.internal.coordination import (
    admission,
    agentreplies,
    crashes,
    executionmessages,
    loadmeter,
    runs,
    seenorders,
    startgate,
    startmarks,
    suspectlane,
)
from lycheegauge.internal.protocol import work


class AgentCore:
    """Decides for one backend server.

    Args:
        name: The agent's name; it is its backend server's name too.
        incarnation: Names this start of the agent.
        boot_id: Names the backend server's present start.
        settings: What the backend server bears.

    Attributes:
        limit: How many requests the backend server bears now.
        gate: Whether new work may start at all; feed it pull replies.
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
        self._seen = seenorders.SeenOrders(incarnation)
        self._runs = runs.RunTable()
        self._suspects = suspectlane.SuspectLane()
        self._meter = loadmeter.LoadMeter()
        self._checked_at = 0.0

    @property
    def running(self) -> int:
        """How many orders the backend server is working on."""
        return len(self._runs)

    def take_order(
        self, order: work.WorkOrder, now: float, allows_start: bool
    ) -> executionmessages.Effects:
        """Starts an order, joins it to its run, or refuses it.

        Args:
            order: The order from an entry host.
            now: Monotonic seconds.
            allows_start: Whether the freshness lease allows new work.
        """
        run = self._runs.find(order.request.request_id, order.attempt)
        if run is not None:
            return _replay(run)
        known = self._seen.answer_copy(order, self.report_load(0.0))
        if known is not None:
            return known
        reason = self._find_refusal(order, allows_start)
        if reason is work.RefusalReason.SUSPECT_BUSY and self._wait_alone(order):
            return ()
        if reason is not None:
            return self._refuse_start(order, reason)
        return self.check_waits(now) + self._admit(order, now)

    def check_waits(self, now: float) -> executionmessages.Effects:
        """Looks for a cold turn; the daemon calls it several times a second.

        A backend server that turned cold keeps the load it was given while it
        was warm, and falls over under it. So the newest runs beyond the
        dropped limit that have nothing to show yet are given back.
        """
        self._checked_at = now
        silent = self._runs.longest_silent
        if silent is not None:
            wait_s = self._meter.measure_wait(silent.started_s, now)
            self.limit.check_wait_time(wait_s, silent.ticket)
        if not self.limit.pop_reset():
            return ()
        excess = len(self._runs) - self.limit.limit
        chosen = runs.choose_excess(self._runs.all, excess)
        return tuple(effect for run in chosen for effect in self._give_back(run))

    def take_engine_chunk(
        self, chunk: work.AnswerChunk, now: float
    ) -> executionmessages.Effects:
        """Takes a piece of an answer; its sequence and token are counted here."""
        run = self._runs.take_output(chunk.request_id, chunk.attempt)
        if run is None:
            return ()
        if run.first_token_s is None:
            self._meter.note_first_token(now)
        numbered = run.take_chunk(chunk, now)
        return (agentreplies.reply(run.order, work.AgentReply(chunk=numbered)),)

    def take_engine_end(
        self, request_id: str, attempt: int, now: float
    ) -> executionmessages.Effects:
        """Takes note that the backend server completed an answer."""
        run = self._runs.remove(request_id, attempt)
        if run is None:
            return ()
        self._meter.note_completion(now - run.started_s, len(self._runs) + 1)
        self.limit.finish(run.ticket, run.first_token_s, succeeded=True)
        self._seen.mark(run.order, startmarks.MarkState.ANSWERED, run.join_kept())
        end = work.AnswerEnd(request_id, attempt, run.chunks, run.next_token)
        load = self.report_load(0.0)
        ended = agentreplies.reply(run.order, work.AgentReply(end=end, load=load))
        return (
            ended,
            *self._clear_suspect(run.order),
            *self._suspects.offer(len(self._runs)),
        )

    def take_engine_failed(
        self, request_id: str, attempt: int, reached: bool, now: float
    ) -> executionmessages.Effects:
        """Takes note that a run failed.

        Args:
            request_id: The run's request.
            attempt: The run's attempt.
            reached: Whether the backend server may have seen a byte.
            now: Monotonic seconds.
        """
        run = self._runs.remove(request_id, attempt)
        if run is None:
            return ()
        if reached:
            self.gate.crashes.take_failure(run.order.request.fingerprint, now)
        failed = self._fail(run, reached, work.RefusalReason.BACKEND_SERVER_FAILED)
        return (failed, *self._suspects.offer(len(self._runs)))

    def take_crash(self, now: float) -> executionmessages.Effects:
        """Takes note that the backend server died with all that it ran."""
        lost = self._runs.clear()
        fingerprints = tuple(run.order.request.fingerprint for run in lost)
        report = self.gate.crashes.take_crash(self.boot_id, fingerprints, now)
        crashed = work.RefusalReason.BACKEND_SERVER_CRASHED
        replies: executionmessages.Effects = tuple(
            self._fail(run, True, crashed) for run in lost
        )
        replies += self._suspects.offer(len(self._runs))
        if report is None:
            return replies
        return (executionmessages.SendCrashReport(report), *replies)

    def take_boot_id(self, boot_id: str, now: float) -> executionmessages.Effects:
        """Takes note of the backend server's present start."""
        if boot_id == self.boot_id:
            return ()
        effects = self.take_crash(now)
        self.boot_id = boot_id
        self.limit.take_boot_id(boot_id)
        return effects

    def cancel(self, request_id: str, attempt: int) -> executionmessages.Effects:
        """Breaks off a run that nobody waits for.

        A non-repeatable run is left alone: breaking it off would make its
        outcome unknown, while its answer can still be given to a resend.
        """
        self._suspects.drop(request_id, attempt)
        run = self._runs.find(request_id, attempt)
        if run is None or not run.order.request.repeatable:
            return ()
        self._runs.remove(request_id, attempt)
        # Callers give up on what hangs, which may be what crashes the server.
        fingerprint = run.order.request.fingerprint
        self.gate.crashes.take_failure(fingerprint, self._checked_at)
        self.limit.finish(run.ticket, run.first_token_s, succeeded=False)
        cancelled = executionmessages.CancelEngine(request_id, attempt)
        return (cancelled, *self._suspects.offer(len(self._runs)))

    def settle(self, request: work.SettlementRequest) -> work.Settlement:
        """Says how an attempt ended; an unseen one will never start."""
        return self._seen.settle(request)

    def report_load(self, age_s: float) -> work.LoadReport:
        """Reports the load, as it goes along with replies and probes."""
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
        kept_free = self._runs.runs_suspect or self._suspects.waiting is not None
        return self.gate.find_refusal(order, allows_start, len(self._runs), kept_free)

    def _admit(self, order: work.WorkOrder, now: float) -> executionmessages.Effects:
        admitted = self.limit.admit()
        if pipeline.is_successful(admitted):
            return self._start(order, admitted.unwrap(), now)
        return self._refuse_start(order, admitted.failure())

    def _give_back(self, run: runs.Run) -> executionmessages.Effects:
        request_id, attempt = run.order.request.request_id, run.order.attempt
        cold = work.RefusalReason.COLD_LIMIT
        refused = self._refuse(run.order, cold, work.RunState.UNKNOWN)
        return (*self.cancel(request_id, attempt), refused)

    def _wait_alone(self, order: work.WorkOrder) -> bool:
        suspect = self.gate.judge(order) is crashes.Verdict.SUSPECT
        return suspect and self._suspects.take(order)

    def _start(
        self, order: work.WorkOrder, ticket: admission.Ticket, now: float
    ) -> executionmessages.Effects:
        suspect = self.gate.judge(order) is crashes.Verdict.SUSPECT
        order = dataclasses.replace(order, suspect=suspect)
        self._runs.add(runs.Run(order, ticket, now, order.resume_at))
        self._seen.mark(order, startmarks.MarkState.STARTED)
        return (executionmessages.StartEngine(order),)

    def _refuse_start(
        self, order: work.WorkOrder, reason: work.RefusalReason
    ) -> executionmessages.Effects:
        # The entry host takes the refusal as proof that this attempt does not
        # run, so a copy of the order must be refused as well.
        self._seen.mark(order, startmarks.MarkState.NEVER)
        return (self._refuse(order, reason),)

    def _refuse(
        self,
        order: work.WorkOrder,
        reason: work.RefusalReason,
        run_state: work.RunState = work.RunState.NOT_RUN,
    ) -> executionmessages.Reply:
        return agentreplies.refuse(order, reason, self.report_load(0.0), run_state)

    def _fail(
        self, run: runs.Run, reached: bool, reason: work.RefusalReason
    ) -> executionmessages.Reply:
        self.limit.finish(run.ticket, run.first_token_s, succeeded=False)
        if reached:
            self._seen.mark(run.order, startmarks.MarkState.FAILED)
            run_state = work.RunState.UNKNOWN
        else:
            self._seen.mark(run.order, startmarks.MarkState.NEVER)
            run_state = work.RunState.NOT_RUN
        return self._refuse(run.order, reason, run_state)

    def _clear_suspect(self, order: work.WorkOrder) -> executionmessages.Effects:
        if not order.suspect:
            return ()
        self.gate.crashes.clear(order.request.fingerprint)
        return (executionmessages.SendClearance(order.request.fingerprint),)


def _replay(run: runs.Run) -> executionmessages.Effects:
    return tuple(
        agentreplies.reply(run.order, work.AgentReply(chunk=chunk))
        for chunk in run.kept
    )

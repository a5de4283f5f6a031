"""Runs one request at an entry host: a task that drives the request's core.

The core (``attempts.RequestCore``) makes the decisions; each effect that takes time
runs as a child task, which posts its outcome as an event to the session's inbox.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing
import uuid

import loguru
from returns import result

from lycheegauge import errors, metrics
from lycheegauge.internal.coordination import attemptmessages, attempts, crashes
from lycheegauge.internal.daemons import dispatch, logclient
from lycheegauge.internal.protocol import changes, freshness, operations, work
from lycheegauge.internal.protocol import proposals as questions
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

REPLIES_BUFFERED = 32
SETTLEMENT_TIMEOUT_S = 2.0
CRASH_POLL_S = 0.1
STREAM_MARGIN_S = 5.0
BACKGROUND_TIMEOUT_S = 120.0

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[None]]
FindAddress = collections.abc.Callable[[str], str | None]
NotifyCrash = collections.abc.Callable[[crashes.CrashReport], None]
Explain = collections.abc.Callable[[operations.Explanation], None]


@dataclasses.dataclass(frozen=True, slots=True)
class SessionContext:
    """The parts of its entry host that a session uses."""

    name: str
    pool: peers.ChannelPool
    log: logclient.LogClient
    dispatcher: dispatch.Dispatcher
    quarantine: crashes.QuarantineView
    counters: metrics.Metrics
    refresh: Refresh
    find_address: FindAddress
    explain: Explain
    notify_crash: NotifyCrash
    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChildFailed:
    """A child task of a session failed with an unexpected error."""

    error: BaseException


class Session:
    """One request in progress.

    Callers may reuse a request ID, even concurrently, and two streams with the same
    ID would receive each other's replies at the agent. Inside the system each session
    therefore has an ID of its own, derived from the caller's.
    """

    def __init__(
        self,
        request: work.Request,
        context: SessionContext,
        key_issued_at_s: float,
        is_new_key: bool,
    ) -> None:
        self.request = request
        self.is_complete = False
        self._context = context
        self._internal_request = dataclasses.replace(
            request, request_id=f"{request.request_id}~{uuid.uuid4().hex[:12]}"
        )
        self._core = attempts.RequestCore(
            self._internal_request,
            context.name,
            key_issued_at_s,
            context.log_time_s,
            is_new_key,
        )
        self._inbox: asyncio.Queue[attemptmessages.Event | ChildFailed]
        self._inbox = asyncio.Queue()
        self._replies: asyncio.Queue[work.AgentReply] = asyncio.Queue(REPLIES_BUFFERED)
        self._children: set[asyncio.Task[None]] = set()
        self._timers: dict[attemptmessages.Timer, asyncio.TimerHandle] = {}
        self._order_tasks: dict[int, asyncio.Task[None]] = {}
        self._attempts = 0
        self._started_at = clock.read_clock()
        self._steps: list[operations.ExplainedStep] = []
        self._first_chunk_at: float | None = None
        self._caller_gone = False
        self._task: asyncio.Task[None] | None = None

    # Interface to the caller.

    def start(self) -> "asyncio.Task[None]":
        """Starts the session's task and returns it."""
        self._task = asyncio.create_task(self._run())
        return self._task

    async def replies(self) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Yields chunks, then one end or refusal."""
        while True:
            reply = await self._replies.get()
            yield reply
            if reply.end is not None or reply.refusal is not None:
                return

    def cancel(self) -> None:
        """Signals that the caller has disconnected."""
        if not self._caller_gone:
            self._caller_gone = True
            self._add_step("cancel", "", "the caller has gone")
            self._drain_replies()
            self._inbox.put_nowait(attemptmessages.CallerDisconnected())

    def _drain_replies(self) -> None:
        while not self._replies.empty():
            self._replies.get_nowait()

    # Driving the core.

    async def _run(self) -> None:
        try:
            await self._perform_effects(self._core.start(clock.read_clock()))
            while not self._core.done:
                event = await self._inbox.get()
                if isinstance(event, ChildFailed):
                    raise event.error
                effects = self._core.handle(event, clock.read_clock())
                await self._perform_effects(effects)
        except Exception as error:
            loguru.logger.exception(
                "session failed", request_id=self.request.request_id
            )
            await self._refuse(self._make_failure(error))
        finally:
            await self._finish()

    def _make_failure(self, error: BaseException) -> work.Refusal:
        run_state = work.RunState.UNKNOWN if self._attempts else work.RunState.NOT_RUN
        return work.Refusal(
            self.request.request_id,
            self._attempts,
            work.RefusalReason.OUTCOME_UNKNOWN,
            run_state,
            1.0,
            "session",
            self._context.name,
            repr(error),
        )

    async def _finish(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        for child in list(self._children):
            child.cancel()
        self._context.dispatcher.note_ended(self._internal_request, self.is_complete)
        self._context.explain(
            operations.Explanation(
                self.request.request_id,
                self.request.organisation,
                self.request.service,
                tuple(self._steps),
            )
        )

    async def _perform_effects(self, effects: attemptmessages.Effects) -> None:
        for effect in effects:
            handler = _HANDLERS.get(type(effect))
            if handler is not None:
                await handler(self, effect)

    def _add_step(self, step: str, peer: str, detail: str) -> None:
        at_s = clock.read_clock() - self._started_at
        self._steps.append(operations.ExplainedStep(at_s, step, peer, detail))
        loguru.logger.debug(
            detail, request_id=self.request.request_id, step=step, peer=peer
        )

    def _spawn(self, coroutine: typing.Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._children.add(task)
        task.add_done_callback(self._handle_child_done)
        return task

    def _handle_child_done(self, task: asyncio.Task[None]) -> None:
        """Ends the session when a child fails; it would hang until its deadline."""
        self._children.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._inbox.put_nowait(ChildFailed(error))

    def _post(self, event: attemptmessages.Event) -> None:
        self._inbox.put_nowait(event)

    # Effects.

    async def _choose(self, effect: attemptmessages.ChooseBackendServer) -> None:
        remaining_s = self.request.deadline_s - (clock.read_clock() - self._started_at)
        requirements = dispatch.AttemptRequirements(
            self._internal_request,
            frozenset(effect.excluded),
            effect.reason,
            self._attempts,
            max(0.0, remaining_s),
        )
        if effect.reason is not None:
            self._add_step("retry", "", effect.reason.value)
        self._spawn(self._choose_and_post(requirements))

    async def _choose_and_post(
        self, requirements: dispatch.AttemptRequirements
    ) -> None:
        decision = await self._context.dispatcher.choose(requirements)
        server = decision.chosen.backend_server
        self._add_step("choose", server.name if server else "", decision.detail)
        self._post(decision.chosen)

    async def _claim(self, effect: attemptmessages.CommitClaim) -> None:
        self._add_step("claim", effect.change.agent, "")
        self._spawn(self._propose(effect.change, attemptmessages.ClaimCommitted))

    async def _record_settlement(
        self, effect: attemptmessages.RecordSettlement
    ) -> None:
        self._add_step("settle", "", effect.change.status.value)
        proposing = self._record_until_committed(effect.change)
        # The task outlives the session, so it is not one of its children.
        task = asyncio.create_task(proposing)
        _background_tasks.add(task)
        task.add_done_callback(_background_tasks.discard)

    async def _record_until_committed(self, change: changes.SettleClaim) -> None:
        """Commits a settlement to the log, even after the session has ended.

        While a claim stays held, each resend of the request has to ask the agent,
        which may have restarted by then.
        """
        give_up_at = clock.read_clock() + BACKGROUND_TIMEOUT_S
        while clock.read_clock() < give_up_at:
            outcome = await self._context.log.propose(change)
            if isinstance(outcome, result.Success):
                committed = typing.cast(changes.ClaimOutcome, outcome.unwrap())
                self._post(attemptmessages.SettlementRecorded(committed))
                return
            self._post(attemptmessages.LogUnavailable())

    async def _propose(
        self,
        change: changes.GrantClaim | changes.SettleClaim,
        make_event: collections.abc.Callable[
            [changes.ClaimOutcome], attemptmessages.Event
        ],
    ) -> None:
        outcome = await self._context.log.propose(change)
        if isinstance(outcome, result.Success):
            committed = typing.cast(changes.ClaimOutcome, outcome.unwrap())
            self._post(make_event(committed))
        else:
            self._add_step("log", "", str(outcome.failure()))
            self._post(attemptmessages.LogUnavailable())

    async def _send_order(self, effect: attemptmessages.SendOrder) -> None:
        self._attempts += 1
        self._add_step("send", effect.backend_server.name, f"attempt {self._attempts}")
        task = self._spawn(self._read_replies(effect))
        self._order_tasks[effect.order.attempt] = task

    async def _read_replies(self, effect: attemptmessages.SendOrder) -> None:
        server = effect.backend_server
        sent_at = clock.read_clock()
        first_at: float | None = None
        timeout_s = effect.order.request.deadline_s + STREAM_MARGIN_S
        router = self._context.dispatcher.router
        ended = False
        try:
            replies = peers.open_run(
                self._context.pool, server.agent_address, effect.order, timeout_s
            )
            async with contextlib.aclosing(replies) as stream:
                async for reply in stream:
                    now = clock.read_clock()
                    if reply.load is not None:
                        router.apply_load_report(reply.load, now)
                    if reply.chunk is not None and first_at is None:
                        first_at = now
                    if reply.refusal is not None:
                        ended = True
                        router.note_refused(
                            server.name, self.request, reply.refusal, now
                        )
                        self._add_step(
                            "refused", server.name, reply.refusal.reason.value
                        )
                    if reply.end is not None:
                        ended = True
                        first_token_s = (first_at or now) - sent_at
                        router.note_done(server.name, self.request, first_token_s, now)
                        self._context.dispatcher.note_served(
                            self.request, now - sent_at
                        )
                    self._post(
                        attemptmessages.ReplyReceived(effect.order.attempt, reply)
                    )
                    await self._wait_for_caller()
            if not ended:
                ended = True
                self._handle_connection_loss(effect, True, "stream ended early")
        except errors.PeerUnreachableError as error:
            ended = True
            sent = not isinstance(error.__cause__, ConnectionRefusedError)
            self._context.pool.drop_channel(server.agent_address)
            self._handle_connection_loss(effect, sent, str(error))
        finally:
            if not ended:
                router.note_cancelled(server.name, self.request, clock.read_clock())

    def _handle_connection_loss(
        self, effect: attemptmessages.SendOrder, sent: bool, detail: str
    ) -> None:
        name = effect.backend_server.name
        router = self._context.dispatcher.router
        router.note_failed(name, self.request, clock.read_clock())
        self._add_step("lost", name, detail)
        self._post(attemptmessages.ConnectionLost(effect.order.attempt, sent))

    async def _wait_for_caller(self) -> None:
        # Backpressure: a caller that reads slowly slows down this stream and, through
        # flow control, the agent and the backend server.
        while self._replies.full() and not self._caller_gone:
            await asyncio.sleep(0.01)

    async def _cancel_order(self, effect: attemptmessages.CancelOrder) -> None:
        task = self._order_tasks.pop(effect.attempt, None)
        if task is not None:
            task.cancel()

    async def _query_settlement(self, effect: attemptmessages.QuerySettlement) -> None:
        self._add_step("ask settlement", effect.agent, "")
        self._spawn(self._query_and_post(effect))

    async def _query_and_post(self, effect: attemptmessages.QuerySettlement) -> None:
        address = self._context.find_address(effect.agent)
        if address is None:
            self._post(attemptmessages.AgentUnreachable())
            return
        try:
            settlement: work.Settlement = await self._context.pool.call(
                address,
                "settle",
                lambda channel: services_grpc.AgentStub(channel).Settle,
                effect.request,
                SETTLEMENT_TIMEOUT_S,
            )
        except errors.PeerUnreachableError as error:
            self._add_step("ask settlement", effect.agent, str(error))
            self._context.pool.drop_channel(address)
            self._post(attemptmessages.AgentUnreachable())
            return
        self._add_step("settlement", effect.agent, settlement.status.value)
        self._post(attemptmessages.SettlementReceived(settlement))

    async def _notify_crash(self, effect: attemptmessages.NotifyCrash) -> None:
        self._context.notify_crash(effect.report)

    async def _await_crash(self, effect: attemptmessages.AwaitCrashReport) -> None:
        self._add_step("await crash", effect.backend_server, effect.boot_id)
        self._spawn(self._report_crash(effect))

    async def _report_crash(self, effect: attemptmessages.AwaitCrashReport) -> None:
        # The agent sends its own report with its next pull. This report names the same
        # boot, so the log counts the crash once, and this session learns when it is
        # committed.
        while not await self._has_rebooted(effect):
            await asyncio.sleep(CRASH_POLL_S)
        report = changes.ReportCrash(
            effect.backend_server, effect.boot_id, (self.request.fingerprint,), 0.0
        )
        while isinstance(await self._context.log.propose(report), result.Failure):
            await asyncio.sleep(CRASH_POLL_S)
        await self._context.refresh()
        verdict = self._context.quarantine.get_verdict(self.request.fingerprint)
        self._add_step("crash recorded", effect.backend_server, verdict.value)
        self._post(
            attemptmessages.CrashRecorded(
                effect.backend_server, effect.boot_id, verdict
            )
        )

    async def _has_rebooted(self, effect: attemptmessages.AwaitCrashReport) -> bool:
        address = self._context.find_address(effect.backend_server)
        if address is None:
            return False
        try:
            report: work.LoadReport = await self._context.pool.call(
                address,
                "probe",
                lambda channel: services_grpc.AgentStub(channel).Probe,
                questions.StatusRequest(),
            )
        except errors.PeerUnreachableError:
            return False
        return report.boot_id != effect.boot_id

    async def _set_timer(self, effect: attemptmessages.SetTimer) -> None:
        earlier = self._timers.pop(effect.timer, None)
        if earlier is not None:
            earlier.cancel()
        event = attemptmessages.TimerFired(effect.timer)
        loop = asyncio.get_running_loop()
        self._timers[effect.timer] = loop.call_later(effect.delay_s, self._post, event)

    async def _forward_chunk(self, effect: attemptmessages.ForwardChunk) -> None:
        if self._first_chunk_at is None:
            self._first_chunk_at = clock.read_clock()
            self._context.counters.record_first_token(
                self._first_chunk_at - self._started_at
            )
        await self._reply(work.AgentReply(chunk=effect.chunk))

    async def _end_answer(self, effect: attemptmessages.EndAnswer) -> None:
        self.is_complete = True
        self._add_step("end", "", f"{effect.tokens} tokens")
        self._context.counters.count_answer(self.request.service)
        end = work.AnswerEnd(self.request.request_id, self._attempts, 0, effect.tokens)
        await self._reply(work.AgentReply(end=end))

    async def _handle_refuse(self, effect: attemptmessages.Refuse) -> None:
        await self._refuse(effect.refusal)

    async def _refuse(self, refusal: work.Refusal) -> None:
        self._context.counters.count_refusal(refusal.reason)
        self._add_step(
            "refuse", refusal.peer, f"{refusal.reason.value}, {refusal.run_state.value}"
        )
        shown = dataclasses.replace(refusal, request_id=self.request.request_id)
        await self._reply(work.AgentReply(refusal=shown))

    async def _reply(self, reply: work.AgentReply) -> None:
        if not self._caller_gone:
            await self._put_reply(reply)

    async def _put_reply(self, reply: work.AgentReply) -> None:
        while self._replies.full() and not self._caller_gone:
            await asyncio.sleep(0.01)
        if not self._caller_gone:
            self._replies.put_nowait(reply)


_background_tasks: set[asyncio.Task[None]] = set()

_HANDLERS: dict[type, typing.Any] = {
    attemptmessages.ChooseBackendServer: Session._choose,
    attemptmessages.CommitClaim: Session._claim,
    attemptmessages.RecordSettlement: Session._record_settlement,
    attemptmessages.SendOrder: Session._send_order,
    attemptmessages.CancelOrder: Session._cancel_order,
    attemptmessages.QuerySettlement: Session._query_settlement,
    attemptmessages.AwaitCrashReport: Session._await_crash,
    attemptmessages.NotifyCrash: Session._notify_crash,
    attemptmessages.SetTimer: Session._set_timer,
    attemptmessages.ForwardChunk: Session._forward_chunk,
    attemptmessages.EndAnswer: Session._end_answer,
    attemptmessages.Refuse: Session._handle_refuse,
}


def make_agent_lookup(
    list_servers: collections.abc.Callable[
        [], collections.abc.Iterable[freshness.BackendServer]
    ],
) -> FindAddress:
    """Returns a function that looks up an agent's address by its name."""

    def find_address(name: str) -> str | None:
        for server in list_servers():
            if server.name == name:
                return server.agent_address
        return None

    return find_address

"""Runs one attempt and, if its answer is late, a copy of it at another server.

The first good answer wins: its whole body, or for a stream its first event. It is
chosen before any byte is passed on to the caller. The other attempt's connection is
never used again, and its request counts as open at its server until that has noticed.
"""

import asyncio
import collections.abc
import dataclasses

from lycheegauge import errors
from lycheegauge.internal.coordination import (
    crashes,
    eventstream,
    forwardrules,
    hedging,
    requestwork,
    serverselection,
)
from lycheegauge.internal.daemons import forwarder, requestrecord, responseforwarding
from lycheegauge.internal.protocol import roster, routetables
from lycheegauge.internal.transport import bytebudget, clock, ingress, upstream

CHECK_INTERVAL_S = 0.1
"""Interval at which a late request is looked at again if no copy may be sent now."""

CANCEL_S = 0.15
"""Time until a server has ended a request whose connection was aborted, in seconds: the
way there and one pass of a lock-step group."""

ANSWERED_ELSEWHERE = "another server answered first"
ENDED_FOR_BOUND = "ended because of the bound on the bytes held"

FINAL_REASONS = (
    hedging.Reason.NOT_REPEATABLE,
    hedging.Reason.STARTED,
    hedging.Reason.NO_ATTEMPT_LEFT,
    hedging.Reason.SUSPECTED_OF_CRASH,
)
"""Reasons against a copy that time does not remove."""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A request as it was sent to one server.

    Attributes:
        server: The server.
        connection: The connection, which returns what was read ahead once more.
        sent_at: When it was sent, in seconds.
        head: The head of the answer, once there is one.
        is_good: Whether the answer may be passed on to the caller.
        holder: Counts the bytes held for a copy; ``None`` if they are not counted, or
            counted with the exchange.
        brought: What it holds at the server; ``None`` if that is not counted.
        is_ended: Whether it was ended because of the bound on the bytes held.
    """

    server: roster.ServerListing
    connection: upstream.UpstreamConnection
    sent_at: float
    head: upstream.ResponseHead | None = None
    is_good: bool = False
    holder: bytebudget.Holder | None = None
    brought: requestwork.RequestWork | None = None
    is_ended: bool = False

    def end(self, ending: bytebudget.Ending) -> None:
        """Ends the attempt because of the bound on the bytes held."""
        self.is_ended = True
        self.connection.close_with_error(ENDED_FOR_BOUND)


@dataclasses.dataclass(frozen=True, slots=True)
class Calls:
    """A request that may be sent twice, and what its owner does for each attempt.

    Attributes:
        request_id: The request's id; empty if it has none.
        route: The request's route.
        service: Its service.
        parts: The shared parts of its prompt.
        size: Its expected size; ``None`` if it is not known.
        tried: Names of the servers that it was sent to.
        digest: Returns its fingerprint.
        can_repeat: Tells whether its route allows another attempt.
        make_head: Makes the head of the request for a server.
        count_copy: Counts a copy as a run, or one less if its server refused it.
        read_head: Waits for the head of an answer to the request.
        classify: Decides how to proceed with an answer.
        record_failure: Records that a server failed the request.
    """

    request_id: str
    route: routetables.Route
    service: str
    parts: tuple[str, ...]
    size: requestwork.ExpectedSize | None
    tried: set[str]
    digest: collections.abc.Callable[[], str]
    can_repeat: collections.abc.Callable[[], bool]
    make_head: collections.abc.Callable[[roster.ServerListing], upstream.RequestHead]
    count_copy: collections.abc.Callable[[int], None]
    read_head: collections.abc.Callable[
        [roster.ServerListing, upstream.UpstreamConnection],
        collections.abc.Awaitable[upstream.ResponseHead],
    ]
    classify: collections.abc.Callable[[upstream.ResponseHead], forwardrules.Verdict]
    record_failure: collections.abc.Callable[[roster.ServerListing, str], None]


class RequestHedging:
    """The part of one request that deals with late answers.

    Args:
        shared: The state shared by all requests of the entry host.
        exchange: The request and its response to the caller.
        record: Logs the request's events.
    """

    def __init__(
        self,
        shared: forwarder.Forwarder,
        exchange: ingress.Exchange,
        record: requestrecord.RequestRecord,
    ) -> None:
        self._shared = shared
        self._exchange = exchange
        self._record = record

    def get_late_after(self, route: routetables.Route) -> float | None:
        """Returns when an answer is late, in seconds; ``None`` if it can't be."""
        knowledge = self._shared.hedging
        if not (knowledge.is_active and route.repetition.is_idempotent):
            return None
        return knowledge.times.get_late_after(
            self._find_kind(route), clock.read_clock()
        )

    def note_answer(self, route: routetables.Route, sent_at: float) -> None:
        """Records how long the first part of an answer took."""
        first_at, knowledge = self._record.first_part_at, self._shared.hedging
        if first_at is None or first_at < sent_at:
            # The answer to an earlier attempt is being resumed.
            return
        if knowledge.is_active and route.repetition.is_idempotent:
            knowledge.times.note_answer(
                self._find_kind(route), first_at - sent_at, clock.read_clock()
            )

    async def read(self, first: Attempt, late_after_s: float, calls: Calls) -> Attempt:
        """Returns the attempt whose answer is to be passed on.

        Raises:
            errors.BackendServerFailedError: There is no good answer, and the first
                attempt failed.
        """
        attempt = HedgedAttempt(
            self._shared, self._exchange, self._record, first, calls
        )
        winner = await attempt.run(late_after_s)
        if winner is not first:
            self._record.write_copy_answered(winner.server.name, first.server.name)
        return winner

    def _find_kind(self, route: routetables.Route) -> hedging.Kind:
        names, fields = self._shared.dialect.headers, self._exchange.headers
        size = self._shared.dialect.parse_request_size(
            fields.get(names.token_counts, ""), fields.get(names.length_hint, "")
        )
        units = size.prompt_tokens if size else len(self._exchange.body)
        return route.name, hedging.classify_size(units)


class HedgedAttempt:
    """Reads the answer to an attempt, and sends a copy while it is late.

    Args:
        shared: The state shared by all requests of the entry host.
        exchange: The request and its response to the caller.
        record: Logs the request's events.
        first: The attempt, which was sent just now.
        calls: The request.
    """

    def __init__(
        self,
        shared: forwarder.Forwarder,
        exchange: ingress.Exchange,
        record: requestrecord.RequestRecord,
        first: Attempt,
        calls: Calls,
    ) -> None:
        self._shared = shared
        self._exchange = exchange
        self._record = record
        self._first = first
        self._calls = calls
        self._sent_at = clock.read_clock()
        self._copy: Attempt | None = None
        self._winner: Attempt | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def run(self, late_after_s: float) -> Attempt:
        """Returns the attempt whose answer is to be passed on.

        If it is the copy, the first attempt was ended. Without a good answer it is the
        first attempt.

        Args:
            late_after_s: Time from now after which the answer is late, in seconds.

        Raises:
            errors.BackendServerFailedError: The first attempt failed, and there is no
                good answer to a copy.
        """
        self._look_again_after(late_after_s)
        # Whoever is told of a failure or cancelled ends the first attempt itself.
        kept = self._first
        try:
            kept = await self._read_answers()
        finally:
            self._close(kept)
        return kept

    async def _read_answers(self) -> Attempt:
        first, failure = self._first, None
        try:
            await self._read_ahead(first)
        except errors.BackendServerFailedError as error:
            failure = error
        if self._timer is not None:
            self._timer.cancel()
        if self._winner is None and first.is_good:
            self._winner = first
        if self._winner is None and self._task is not None and self._copy is not None:
            # The first attempt is lost, but the copy may still be answered. One that
            # still connects is not sent: a repetition asks first whether the request
            # may have crashed the server.
            await asyncio.wait((self._task,))
        if self._winner is not None and self._winner is not first:
            if failure is not None and ANSWERED_ELSEWHERE not in str(failure):
                self._note_lost(first, str(failure))
            elif self._has_failed(first):
                self._shared.records.note_failure(first.server)
            return self._winner
        if failure is not None:
            raise failure
        return first

    async def _read_ahead(self, attempt: Attempt) -> None:
        """Reads an answer up to the part that decides between attempts."""
        calls = self._calls
        head = await calls.read_head(attempt.server, attempt.connection)
        attempt.head = head
        verdict = calls.classify(head)
        if verdict is forwardrules.Verdict.PASS_ON:
            await read_first_part(calls.route, head, attempt)
            if self._copy is not None and forwardrules.says_not_run(head.status):
                # The other attempt may have run.
                attempt.is_good = False
        elif attempt is self._copy and verdict is forwardrules.Verdict.NOT_RUN:
            calls.count_copy(-1)
        elif attempt is self._copy:
            self._shared.records.note_failure(attempt.server)

    def _has_failed(self, attempt: Attempt) -> bool:
        """Tells whether a server answered an attempt with an error of its own."""
        head = attempt.head
        return head is not None and (
            self._calls.classify(head) is forwardrules.Verdict.REPEAT
        )

    # The copy.

    def _look_again_after(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        """Sends a copy, or looks again later."""
        chosen = self._choose_server()
        if isinstance(chosen, roster.ServerListing):
            self._task = asyncio.create_task(self._run_copy(chosen))
        elif chosen not in FINAL_REASONS:
            self._look_again_after(CHECK_INTERVAL_S)

    def _choose_server(self) -> roster.ServerListing | hedging.Reason:
        """Chooses the server of a copy, or returns why none is sent."""
        shared, service, now = self._shared, self._calls.service, clock.read_clock()
        reason = hedging.check_request(self._describe())
        if reason is not None:
            return reason
        if not shared.hedging.has_left(service, now):
            return hedging.Reason.LIMIT
        if not shared.get_retry_budget(service).has_left(now):
            return hedging.Reason.RETRY_BUDGET
        candidates = shared.chooser.list_candidates(
            service, self._calls.tried, self._calls.size
        )
        eligible = hedging.list_eligible(candidates, shared.services.get_slots(service))
        if isinstance(eligible, hedging.Reason):
            return eligible
        selection = serverselection.select_server(
            eligible, shared.choice.has_recent_news, shared.random_source
        )
        if selection.chosen is None:
            return hedging.Reason.NO_SERVER
        return selection.chosen.server

    def _describe(self) -> hedging.LateRequest:
        """Collects what decides whether the request may be sent a second time."""
        shared, calls, now = self._shared, self._calls, clock.read_clock()
        detector = shared.crashdetector
        is_suspect = bool(detector.parts.list_suspicions(calls.parts)) or (
            detector.has_suspects
            and detector.get_verdict(calls.digest()) is not crashes.Verdict.FREE
        )
        return hedging.LateRequest(
            calls.route.repetition.is_idempotent,
            self._exchange.is_started or self._exchange.is_disconnected,
            calls.can_repeat(),
            is_suspect,
            shared.hedging.has_waiting(calls.service),
            shared.services.is_lock_step(calls.service),
            shared.progress.get_silence_s(calls.service, self._first.server.name, now),
            shared.hedging.passes.get_pass_s(calls.service, now),
            calls.route.target_gap_s,
        )

    async def _run_copy(self, server: roster.ServerListing) -> None:
        shared = self._shared
        try:
            connection = await shared.pool.acquire(
                server.incarnation, server.address, self._calls.request_id
            )
        except errors.PeerUnreachableError as error:
            self._calls.record_failure(server, str(error))
            return
        copy = Attempt(server, connection, clock.read_clock())
        # This process may have been paused, and the server may have answered others.
        has_lease = shared.view.lease.allows_start(clock.read_clock())
        if not (has_lease and shared.chooser.may_send(server) and self._send(copy)):
            shared.pool.release(server.incarnation, connection)
            return
        try:
            await self._read_ahead(copy)
        except errors.BackendServerFailedError as error:
            if not copy.is_ended:
                self._note_lost(copy, str(error))
            return
        finally:
            if not copy.is_good:
                self._close_holder(copy)
        if copy.is_good and self._winner is None:
            self._winner = copy
            self._first.connection.interrupt(ANSWERED_ELSEWHERE)

    def _send(self, copy: Attempt) -> bool:
        """Sends a copy if the budgets still allow it; returns whether they do."""
        shared, calls, now = self._shared, self._calls, clock.read_clock()
        budget = shared.get_retry_budget(calls.service)
        if not (shared.hedging.has_left(calls.service, now) and budget.spend(now)):
            return False
        shared.hedging.spend(calls.service, now)
        shared.metrics.count_hedge("sent")
        server, late_server = copy.server.name, self._first.server.name
        self._record.write_hedged(
            server, late_server, self._sent_at, budget.describe(now)
        )
        self._copy = copy
        copy.brought = shared.records.note_sent(copy.server, calls.size)
        calls.tried.add(server)
        calls.count_copy(1)
        self._count_bytes(copy)
        copy.connection.send(
            calls.make_head(copy.server), self._exchange.body, calls.request_id
        )
        return True

    def _count_bytes(self, copy: Attempt) -> None:
        """Counts a copy's bytes apart: the first attempt sets the exchange's counts."""
        shared_holder = self._exchange.holder
        if shared_holder is not None:
            copy.holder = bytebudget.Holder(shared_holder.budget)
            copy.holder.end = copy.end
            copy.connection.holder = copy.holder

    # Ends.

    def _close_holder(self, copy: Attempt) -> None:
        """Returns a copy's bytes."""
        if copy.holder is not None:
            copy.holder.close()

    def _note_lost(self, attempt: Attempt, detail: str) -> None:
        """Records that an attempt failed while the other went on."""
        calls = self._calls
        calls.record_failure(attempt.server, detail)
        self._shared.crash_probes.record_broken_attempt(
            attempt.server, calls.digest(), calls.parts
        )

    def _close(self, kept: Attempt) -> None:
        """Ends the attempt that is not kept."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._copy is None:
            return
        is_won = kept is self._copy
        self._shared.metrics.count_hedge("won" if is_won else "lost")
        loser = self._first if is_won else self._copy
        self._shared.late_answers.end(loser.server, loser.connection, loser.sent_at)
        if is_won and self._copy.connection.holder is not None:
            # The rest of the answer is counted and ended with the exchange.
            self._copy.connection.move_bytes(self._exchange.holder)
        self._close_holder(self._copy)
        loop = asyncio.get_running_loop()
        note_ended = self._shared.records.note_ended
        loop.call_later(CANCEL_S, note_ended, loser.server, loser.brought)


async def read_first_part(
    route: routetables.Route, head: upstream.ResponseHead, attempt: Attempt
) -> None:
    """Reads a whole answer, or the first event of a stream, to be read once more.

    Of answers that are not held as a whole, only the beginning is read.

    Raises:
        errors.BackendServerFailedError: The answer is incomplete or malformed.
    """
    is_stream = responseforwarding.is_event_stream(route, head)
    splitter = eventstream.EventSplitter()
    parts: list[bytes] = []
    size = 0
    while part := await attempt.connection.read_chunk():
        parts.append(part)
        size += len(part)
        if is_stream:
            splitter.feed(part)
            if splitter.attempt_has_events or splitter.is_oversized:
                break
        elif size > responseforwarding.BUFFERED_BODY_MAX_BYTES:
            break
    else:
        parts.append(b"")
    attempt.connection.unread(parts)
    # The end of such a stream before its first event may be a broken connection.
    attempt.is_good = not (
        is_stream
        and head.framing is upstream.Framing.CONNECTION
        and not splitter.attempt_has_events
    )

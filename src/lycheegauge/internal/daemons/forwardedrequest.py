"""One forwarded request, from its arrival to its final answer."""

import asyncio
import http.client
import json
import math
import typing

import tornado.httputil

from lycheegauge import errors
from lycheegauge.internal.coordination import (
    eventstream,
    forwardrules,
    headers,
    routeindex,
)
from lycheegauge.internal.daemons import requestrecord
from lycheegauge.internal.protocol import calls, roster, routetables, work
from lycheegauge.internal.transport import clock, ingress, upstream

if typing.TYPE_CHECKING:
    from lycheegauge.internal.daemons import forwarder

OK = 200
HELD_BODY_MAX_BYTES = 262_144
"""A plain answer up to this size is read whole before it is passed on, so that
one that breaks off can still be repeated."""

NOT_RUN_TRIES_MAX = 3
"""Servers that are asked beyond the attempts of the route, since a refusal runs
nothing; each still spends the budget of repeats."""

CONNECT_TRIES_MAX = 3
START_WAIT_MAX_S = 1.8
"""A host that started with all others mostly knows the table and the servers within
it, in seconds. Many callers of streams leave after two seconds without an event, so
a request that would wait for longer is told in time when to come back."""

START_WAIT_SHARE = 2
"""A caller waits for a starting host at most this part of its time."""

MISSING_NEWS = (
    work.RefusalReason.NO_ROUTE_TABLE,
    work.RefusalReason.LEASE_EXPIRED,
    work.RefusalReason.NO_BACKEND_SERVER,
)
"""Reasons that the next pull may remove."""

PRIORITY_MAX = 9
"""The least urgent rank at a backend server."""


class ForwardedRequest:
    """Forwards one request and answers it exactly once."""

    def __init__(
        self, shared: "forwarder.Forwarder", exchange: ingress.Exchange
    ) -> None:
        self._shared = shared
        self._exchange = exchange
        self._names = shared.dialect.headers
        self._id = exchange.headers.get(self._names.request_id, "")
        self._route: routetables.Route | None = None
        self._service = ""
        self._organisation = ""
        self._priority: int | None = None
        self._deadline = math.inf
        self._tried: set[str] = set()
        self._server = ""
        self._runs = 0
        self._refusals = 0
        self._may_have_run = False
        self._cutter: eventstream.EventCutter | None = None
        self._record = requestrecord.RequestRecord(
            shared, self._id, exchange.arrived_at
        )

    async def run(self) -> None:
        """Forwards the request until it is answered or given up."""
        try:
            await self._run()
        except asyncio.CancelledError:
            self._record.write_cancelled()
            raise

    async def _run(self) -> None:
        refusal = await self._admit_or_wait()
        if refusal is not None:
            self._answer_refusal(refusal)
            return
        try:
            async with asyncio.timeout(max(0.0, self._remaining_s)):
                given_up = await self._forward()
        except TimeoutError:
            given_up = self._give_up(work.RefusalReason.DEADLINE_EXCEEDED)
        if given_up is not None:
            self._end(given_up)

    # Admission.

    async def _admit_or_wait(self) -> forwardrules.GivenUp | None:
        """Admits the request; a host that has just started waits for its news."""
        share_s = self._read_time_left() / START_WAIT_SHARE
        until = self._exchange.arrived_at + min(share_s, START_WAIT_MAX_S)
        while True:
            refusal = self._admit()
            if refusal is None or refusal.reason not in MISSING_NEWS:
                return refusal
            if not await self._shared.wait_for_news(until - clock.read_clock()):
                return refusal

    def _admit(self) -> forwardrules.GivenUp | None:
        shared = self._shared
        if shared.index is None:
            return shared.refuse(work.RefusalReason.NO_ROUTE_TABLE)
        if not shared.view.lease.allows_start(clock.read_clock()):
            return shared.refuse(work.RefusalReason.LEASE_EXPIRED)
        exchange = self._exchange
        host = exchange.headers.get("Host", "")
        self._route = shared.index.find_route(host, exchange.target)
        if self._route is None:
            return shared.refuse(work.RefusalReason.UNKNOWN_ROUTE)
        refusal = self._check_key(shared.index)
        if refusal is not None:
            return refusal
        if shared.crashwatch.knows_crashes and shared.is_quarantined(
            self._digest_request()
        ):
            return shared.refuse(work.RefusalReason.QUARANTINED)
        self._service = routeindex.choose_service(self._route, shared.chance)
        self._set_deadline(self._route)
        if not shared.has_server(self._service):
            return shared.refuse(work.RefusalReason.NO_BACKEND_SERVER)
        shared.get_budget(self._service).note_request(clock.read_clock())
        return None

    def _check_key(self, index: routeindex.RouteIndex) -> forwardrules.GivenUp | None:
        assert self._route is not None
        if not index.table.needs_keys:
            return None
        told = self._exchange.headers.get("Authorization", "")
        holder = index.find_holder(self._shared.dialect.read_key(told))
        if holder is not None:
            self._organisation = holder.organisation
            self._priority = holder.priority
        elif not self._route.open_to_all:
            return self._shared.refuse(work.RefusalReason.UNKNOWN_KEY)
        return None

    def _digest_request(self) -> str:
        """Digests what makes a request that comes again the same one."""
        exchange = self._exchange
        place = f"{self._organisation} {exchange.method} {exchange.target}"
        return calls.digest_content(place, exchange.body)

    def _set_deadline(self, route: routetables.Route) -> None:
        left_s = min(route.timeout_s, self._read_time_left())
        self._deadline = self._exchange.arrived_at + left_s

    def _read_time_left(self) -> float:
        """Returns how long the caller waits, in seconds; infinite if untold."""
        told = self._exchange.headers.get(self._names.time_left_ms, "")
        return int(told) / 1000 if told.isascii() and told.isdigit() else math.inf

    @property
    def _remaining_s(self) -> float:
        return self._deadline - clock.read_clock()

    # Attempts.

    async def _forward(self) -> forwardrules.GivenUp | None:
        """Tries servers until one answers; returns why none did."""
        assert self._route is not None
        connect_failures = 0
        while True:
            chosen = self._shared.choose_server(self._service, self._tried)
            if isinstance(chosen, forwardrules.GivenUp):
                return self._give_up(chosen.reason)
            if not self._runs + self._refusals:
                refusal = self._shared.check_wait(self._route, self._service, chosen)
                if refusal is not None:
                    return refusal
            elif not self._may_repeat():
                return self._give_up(work.RefusalReason.RETRY_BUDGET_SPENT)
            try:
                connection = await self._shared.pool.acquire(
                    chosen.incarnation, chosen.address
                )
            except errors.PeerUnreachableError as error:
                connect_failures += 1
                self._note_failure(chosen, str(error))
                if connect_failures >= CONNECT_TRIES_MAX:
                    return self._give_up(work.RefusalReason.NO_BACKEND_SERVER)
                continue
            if not self._shared.view.lease.allows_start(clock.read_clock()):
                # This host may have stood still while it connected.
                self._shared.pool.release(chosen.incarnation, connection)
                return self._give_up(work.RefusalReason.LEASE_EXPIRED)
            given_up = await self._attempt(chosen, connection)
            if given_up is None or not self._can_go_on(given_up):
                return given_up
            self._shared.metrics.count_retry(self._name_retry(given_up))

    def _name_retry(self, given_up: forwardrules.GivenUp) -> work.RetryReason:
        if given_up.reason is work.RefusalReason.BACKEND_SERVERS_FULL:
            return work.RetryReason.BACKEND_SERVER_REFUSED
        if self._exchange.is_started:
            return work.RetryReason.STREAM_BROKEN
        return work.RetryReason.BACKEND_SERVER_ERROR

    def _may_repeat(self) -> bool:
        budget = self._shared.get_budget(self._service)
        return budget.spend(self._shared.host_count, clock.read_clock())

    def _can_go_on(self, given_up: forwardrules.GivenUp) -> bool:
        """Tells whether another server may be asked after a failed attempt."""
        assert self._route is not None
        if self._exchange.is_disconnected:
            return False
        if given_up.reason is work.RefusalReason.BACKEND_SERVERS_FULL:
            return self._refusals < NOT_RUN_TRIES_MAX
        if not self._route.repetition.is_idempotent:
            return False
        if self._exchange.is_started and self._cutter is None:
            return False
        return self._runs < self._route.attempts_max

    async def _attempt(
        self, server: roster.ServerListing, connection: upstream.UpstreamConnection
    ) -> forwardrules.GivenUp | None:
        """Sends the request to one server; returns ``None`` once it is answered."""
        shared = self._shared
        self._record.write_sent(
            server,
            self._service,
            self._runs + self._refusals + 1,
            self._deadline,
            self._cutter.last_id if self._cutter else "",
        )
        shared.note_sent(server.name)
        self._tried.add(server.name)
        self._server = server.name
        is_complete = False
        sent_at = clock.read_clock()
        try:
            connection.send(self._make_head(server), self._exchange.body)
            was_run, self._may_have_run = self._may_have_run, True
            self._runs += 1
            head = await self._read_head(server, connection)
            self._note_answer(server, head)
            verdict = self._judge(head)
            if verdict is forwardrules.Verdict.NOT_RUN:
                self._may_have_run = was_run
                self._runs -= 1
                self._refusals += 1
                is_complete = await self._skip_body(connection)
                return self._give_up(work.RefusalReason.BACKEND_SERVERS_FULL)
            is_broken = self._exchange.is_started and head.status != OK
            can_repeat = verdict is forwardrules.Verdict.REPEAT and (
                self._can_repeat_run()
            )
            if is_broken or can_repeat:
                # An answer that is no continuation must not end up in the stream.
                is_complete = await self._skip_body(connection)
                return self._give_up(work.RefusalReason.BACKEND_SERVER_FAILED)
            await self._pass_on(head, connection)
            is_complete = True
            self._record.write_answered(head.status, self._runs)
            shared.crashwatch.note_answered(self._digest_request())
            served_s = clock.read_clock() - sent_at
            shared.get_forecast(self._service).note_served(served_s)
            return None
        except errors.BackendServerFailedError as error:
            self._note_failure(server, str(error))
            shared.note_broken(server, self._digest_request())
            return self._give_up(work.RefusalReason.BACKEND_SERVER_FAILED, str(error))
        except errors.BorderError as error:
            return self._give_up(work.RefusalReason.BAD_REQUEST, str(error))
        finally:
            shared.note_ended(server.name)
            if is_complete:
                shared.pool.release(server.incarnation, connection)
            else:
                connection.abort()

    async def _read_head(
        self, server: roster.ServerListing, connection: upstream.UpstreamConnection
    ) -> upstream.ResponseHead:
        """Waits for an answer; a lost one is given up where it can be repeated."""
        assert self._route is not None
        shared = self._shared
        if not (self._route.repetition.is_idempotent and self._can_repeat_run()):
            head = await connection.read_head()
        else:
            watch = shared.watch_silence(connection, server, self._route)
            watch.start()
            try:
                head = await connection.read_head()
            finally:
                watch.close()
        shared.progress.note_part(self._service, server.name, clock.read_clock())
        return head

    def _make_head(self, server: roster.ServerListing) -> upstream.RequestHead:
        exchange, names = self._exchange, self._names
        own = {
            names.time_left_ms: str(max(1, math.floor(self._remaining_s * 1000))),
            names.expected_server: server.name,
        }
        if self._organisation:
            own[names.organisation] = self._organisation
        if self._cutter is not None and self._cutter.last_id:
            own[names.resume_after] = self._cutter.last_id
        if self._route is not None and self._route.repetition.is_stream:
            rank = self._route.priority if self._priority is None else self._priority
            own[names.priority] = str(min(PRIORITY_MAX, max(0, rank)))
        made = headers.make_request_headers(
            exchange.headers.get_all(),
            names,
            len(exchange.body),
            exchange.method,
            own,
        )
        return upstream.RequestHead(exchange.method, exchange.target, made)

    def _note_answer(
        self, server: roster.ServerListing, head: upstream.ResponseHead
    ) -> None:
        """Checks that the answer is this request's."""
        told_id = head.get(self._names.request_id)
        if told_id and self._id and told_id != self._id:
            message = f"the answer is for another request, {told_id}"
            raise errors.BackendServerFailedError(message, "read answer")
        self._shared.choice.note_success(server.name)

    def _judge(self, head: upstream.ResponseHead) -> forwardrules.Verdict:
        assert self._route is not None
        says_not_run = bool(head.get(self._names.not_run))
        return forwardrules.judge_answer(
            head.status, says_not_run, self._route.repetition
        )

    def _can_repeat_run(self) -> bool:
        assert self._route is not None
        return self._runs < self._route.attempts_max and len(self._tried) < len(
            self._shared.view.servers
        )

    async def _skip_body(self, connection: upstream.UpstreamConnection) -> bool:
        """Reads the rest of an answer that is not passed on."""
        while await connection.read_chunk():
            pass
        return True

    def _note_failure(self, server: roster.ServerListing, detail: str) -> None:
        out_s = self._shared.choice.note_failure(server.name, clock.read_clock())
        self._record.write_failed(server, self._may_have_run, detail, out_s)

    # Answers.

    async def _pass_on(
        self, head: upstream.ResponseHead, connection: upstream.UpstreamConnection
    ) -> None:
        """Passes an answer on, to its regular end."""
        assert self._route is not None
        is_stream = self._route.repetition.is_stream and head.status == OK
        if is_stream and self._route.repetition.is_idempotent:
            await self._pass_on_events(head, connection)
        elif is_stream:
            self._start(head)
            await self._pass_on_parts(connection)
        else:
            await self._pass_on_plain(head, connection)
        self._shared.metrics.count_answer(self._service)

    async def _pass_on_plain(
        self, head: upstream.ResponseHead, connection: upstream.UpstreamConnection
    ) -> None:
        held = bytearray()
        while part := await connection.read_chunk():
            if self._exchange.is_started:
                await self._write(part)
                continue
            held += part
            if len(held) > HELD_BODY_MAX_BYTES:
                self._start(head)
                await self._write(bytes(held))
        if not self._exchange.is_started:
            self._start(head)
            if held:
                await self._write(bytes(held))
        self._exchange.finish()

    async def _pass_on_parts(self, connection: upstream.UpstreamConnection) -> None:
        while part := await connection.read_chunk():
            await self._write(part)
        self._exchange.finish()

    async def _pass_on_events(
        self, head: upstream.ResponseHead, connection: upstream.UpstreamConnection
    ) -> None:
        """Passes whole events on, so that the stream can be resumed elsewhere."""
        if self._cutter is None:
            last_id = self._exchange.headers.get(self._names.resume_after, "")
            self._cutter = eventstream.EventCutter(last_id)
        cutter = self._cutter
        cutter.drop_rest()
        while part := await connection.read_chunk():
            events = cutter.feed(part)
            if not events:
                continue
            if not self._exchange.is_started:
                self._start(head)
            await self._write(events)
        if not self._exchange.is_started:
            self._start(head)
        if cutter.has_rest:
            await self._write(cutter.take_rest())
        self._exchange.finish()

    async def _write(self, part: bytes) -> None:
        now = clock.read_clock()
        gap_s = self._record.note_part(now)
        self._shared.note_gap(self._service, gap_s)
        self._shared.progress.note_part(self._service, self._server, now)
        await self._exchange.write(part)

    def _start(self, head: upstream.ResponseHead) -> None:
        made = tornado.httputil.HTTPHeaders()
        for name, text in headers.pass_on_headers(head.headers):
            made.add(name, text)
        self._record.first_at = clock.read_clock()
        self._exchange.start(head.status, head.reason, made)

    def _give_up(
        self, reason: work.RefusalReason, detail: str = ""
    ) -> forwardrules.GivenUp:
        if self._may_have_run:
            return forwardrules.give_up(reason, work.RunState.UNKNOWN, -1.0, detail)
        return self._shared.refuse(reason, detail)

    def _end(self, given_up: forwardrules.GivenUp) -> None:
        """Ends a request that is given up."""
        if self._exchange.is_started:
            self._write_given_up(given_up, 0)
            self._shared.metrics.count_refusal(given_up.reason)
            self._exchange.abort()
        else:
            self._answer_refusal(given_up)

    def _answer_refusal(self, given_up: forwardrules.GivenUp) -> None:
        self._write_given_up(given_up, given_up.status)
        self._shared.metrics.count_refusal(given_up.reason)
        if self._exchange.is_disconnected:
            return
        fields = {"Content-Type": "application/json"}
        if given_up.retry_after_s >= 0:
            fields["Retry-After"] = f"{given_up.retry_after_s:.2f}"
        document = {"reason": given_up.reason.value, "detail": given_up.detail}
        reason = http.client.responses.get(given_up.status, "Refused")
        body = json.dumps(document).encode() + b"\n"
        self._exchange.answer(given_up.status, reason, body, fields)

    def _write_given_up(self, given_up: forwardrules.GivenUp, status: int) -> None:
        self._record.write_given_up(
            given_up, status, self._service, self._runs, self._refusals
        )

"""Handles one forwarded request, from its arrival to its final response."""

import asyncio
import http.client
import json
import math

from lycheegauge import errors
from lycheegauge.internal.coordination import (
    forwardrules,
    headers,
    memorylimits,
    refusals,
    repeatbudget,
    requestwork,
)
from lycheegauge.internal.daemons import (
    forwarder,
    hedgedattempt,
    requestadmission,
    requestrecord,
    responseforwarding,
    suspectedrequest,
)
from lycheegauge.internal.protocol import roster, routetables, work
from lycheegauge.internal.transport import clock, ingress, upstream

REDIRECT_MIN = 300

REFUSALS_MAX = 3
"""Refusals by servers after which a request is given up. They are allowed beyond the
attempts of the route, since a refused request is not run, but each further try still
spends the retry budget."""

CONNECT_ATTEMPTS_MAX = 3
PRIORITY_MAX = 9
"""The least urgent priority that a backend server is sent."""


class ForwardedRequest:
    """Forwards one request and responds to it exactly once."""

    def __init__(self, shared: forwarder.Forwarder, exchange: ingress.Exchange) -> None:
        self._shared = shared
        self._exchange = exchange
        self._names = shared.dialect.headers
        self._request_id = exchange.headers.get(self._names.request_id, "")
        self._admission = requestadmission.RequestAdmission(shared, exchange)
        self._tried_servers: set[str] = set()
        self._runs = 0
        self._refusals = 0
        self._may_have_run = False
        self._copy_runs = 0
        self._sent_at = math.inf
        self._record = requestrecord.RequestRecord(
            shared, self._request_id, exchange.arrived_at
        )
        self._suspicion = suspectedrequest.SuspectedRequest(
            shared, self._admission, self._record
        )
        self._response = responseforwarding.ResponseForwarder(
            shared, exchange, self._record
        )
        exchange.call_on_ending(self._note_ending)
        self._hedging = hedgedattempt.RequestHedging(shared, exchange, self._record)

    async def run(self) -> None:
        """Forwards the request until it is answered or given up."""
        try:
            await self._run()
        except asyncio.CancelledError:
            if self._exchange.ending is None:
                self._record.write_cancelled(self._admission.name_route())
            self._exchange.abort()
            raise
        except Exception as error:
            # The caller would otherwise wait until it gives up.
            detail = f"unexpected error: {type(error).__name__}"
            self._end(self._give_up(work.RefusalReason.OUTCOME_UNKNOWN, detail))
            raise
        finally:
            self._suspicion.leave()
            self._admission.leave()

    async def _run(self) -> None:
        refusal = await self._admission.enter()
        if refusal is not None:
            self._send_refusal(refusal)
            return
        try:
            async with asyncio.timeout(max(0.0, self._admission.remaining_s)):
                given_up = await self._try_servers()
        except TimeoutError:
            given_up = self._give_up(work.RefusalReason.DEADLINE_EXCEEDED)
        if given_up is not None:
            self._end(given_up)

    @property
    def _route(self) -> routetables.Route:
        assert self._admission.route is not None
        return self._admission.route

    @property
    def _service(self) -> str:
        return self._admission.service

    # Attempts.

    async def _try_servers(self) -> forwardrules.GivenUp | None:
        """Tries servers until one responds; returns the reason if none did."""
        connect_failures = 0
        while True:
            suspected = await self._suspicion.enter()
            if suspected is not None:
                return self._give_up_before_attempt(suspected)
            chosen = self._shared.chooser.choose(
                self._service,
                self._tried_servers,
                self._admission.size,
                self._may_probe,
            )
            if isinstance(chosen, forwardrules.GivenUp):
                return self._give_up_before_attempt(chosen)
            refusal = self._find_attempt_refusal(chosen)
            if refusal is not None:
                return refusal
            try:
                connection = await self._shared.pool.acquire(
                    chosen.incarnation, chosen.address, self._request_id
                )
            except errors.PeerUnreachableError as error:
                connect_failures += 1
                self._record_failure(chosen, str(error))
                if connect_failures >= CONNECT_ATTEMPTS_MAX:
                    return self._give_up(work.RefusalReason.NO_BACKEND_SERVER)
                continue
            if not self._shared.view.lease.allows_start(clock.read_clock()):
                # This process may have been paused while it connected.
                self._shared.pool.release(chosen.incarnation, connection)
                return self._give_up(work.RefusalReason.LEASE_EXPIRED)
            if not self._shared.chooser.may_send(chosen):
                # Its answer to another request came while this one connected.
                self._shared.pool.release(chosen.incarnation, connection)
                continue
            given_up = await self._attempt(chosen, connection)
            if given_up is None or not self._can_try_another_server(given_up):
                return given_up
            self._shared.metrics.count_retry(self._get_retry_reason(given_up))

    @property
    def _may_probe(self) -> bool:
        """Whether a failed attempt would be repeated at another server."""
        repetition, attempts_max = self._route.repetition, self._route.attempts_max
        return repetition.is_idempotent and not self._runs and attempts_max > 1

    def _find_attempt_refusal(
        self, server: roster.ServerListing
    ) -> forwardrules.GivenUp | None:
        """Returns why no attempt is made at a server; charges the retry budget."""
        if not self._runs + self._refusals:
            if self._admission.is_in_stream_admission:
                return None
            return self._shared.chooser.check_wait(self._route, self._service, server)
        if not self._spend_retry_budget():
            detail = self._budget.describe(clock.read_clock())
            return self._give_up(work.RefusalReason.RETRY_BUDGET_SPENT, detail)
        return None

    def _get_retry_reason(self, given_up: forwardrules.GivenUp) -> work.RetryReason:
        if given_up.reason is work.RefusalReason.BACKEND_SERVERS_FULL:
            return work.RetryReason.BACKEND_SERVER_REFUSED
        if self._exchange.is_started:
            return work.RetryReason.STREAM_BROKEN
        return work.RetryReason.BACKEND_SERVER_ERROR

    @property
    def _budget(self) -> repeatbudget.RepeatBudget:
        return self._shared.get_retry_budget(self._service)

    def _spend_retry_budget(self) -> bool:
        now = clock.read_clock()
        is_allowed = self._budget.spend(now)
        if is_allowed:
            self._record.write_retry_allowed(self._service, self._budget.describe(now))
        return is_allowed

    def _can_try_another_server(self, given_up: forwardrules.GivenUp) -> bool:
        """Tells whether another server may be tried after a failed attempt."""
        if self._exchange.is_disconnected:
            return False
        if given_up.reason is work.RefusalReason.BACKEND_SERVERS_FULL:
            return self._refusals < REFUSALS_MAX
        if not self._route.repetition.is_idempotent:
            return False
        if self._exchange.is_started and self._response.splitter is None:
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
            self._admission.deadline,
            self._response.last_event_id,
            connection,
        )
        brought = shared.records.note_sent(server, self._admission.size)
        self._tried_servers.add(server.name)
        self._response.begin_attempt(
            self._service, server.name, self._admission.parts, brought
        )
        is_complete = False
        sent_at = self._sent_at = clock.read_clock()
        try:
            connection.holder = self._exchange.holder
            connection.send(
                self._make_head(server), self._exchange.body, self._request_id
            )
            was_run, self._may_have_run = self._may_have_run, True
            self._runs += 1
            answer = await self._read_answer(server, connection, brought)
            server, connection, head = answer.server, answer.connection, answer.head
            brought, sent_at = answer.brought, answer.sent_at
            assert head is not None
            was_run = was_run or self._copy_runs > 0
            verdict = self._classify(head)
            if verdict is forwardrules.Verdict.NOT_RUN:
                self._may_have_run = was_run
                self._runs -= 1
                self._refusals += 1
                self._record.write_refused(server, head, connection, sent_at)
                is_complete = await responseforwarding.discard_body(connection)
                return self._give_up(work.RefusalReason.BACKEND_SERVERS_FULL)
            has_failed = head.status >= forwardrules.SERVER_ERROR_MIN
            if has_failed:
                shared.records.note_failure(server)
            is_broken = not self._response.may_forward(self._route, head)
            can_repeat = verdict is forwardrules.Verdict.REPEAT and (
                self._can_repeat_elsewhere()
            )
            is_denied = was_run and forwardrules.says_not_run(head.status)
            if is_broken or can_repeat or is_denied:
                # A response that does not resume the stream must not become part of it.
                is_complete = await responseforwarding.discard_body(connection)
                return self._give_up(work.RefusalReason.BACKEND_SERVER_FAILED)
            await self._response.forward(self._route, head, connection)
            is_complete = True
            if not has_failed:
                shared.records.note_answer(server, sent_at)
            self._note_answered(self._route, head)
            return None
        except errors.BackendServerFailedError as error:
            if not memorylimits.may_blame_server(self._exchange.longest_delay_s):
                self._end_delayed(str(error))
                return None
            self._record_failure(server, str(error))
            suspected_parts = () if self._response.is_settled else self._admission.parts
            shared.crash_probes.record_broken_attempt(
                server,
                self._admission.digest_request(),
                suspected_parts,
                self._suspicion.is_request_alone,
                self._suspicion.parts_alone,
            )
            self._suspicion.note_broken_off()
            return self._give_up(work.RefusalReason.BACKEND_SERVER_FAILED, str(error))
        except errors.BorderError as error:
            return self._give_up(work.RefusalReason.BAD_REQUEST, str(error))
        finally:
            shared.records.note_ended(server, brought)
            if brought is not None:
                self._admission.size = brought.make_rest()
            if is_complete:
                shared.pool.release(server.incarnation, connection)
                shared.records.note_heard(server, sent_at)
            else:
                shared.late_answers.end(server, connection, sent_at)

    def _note_answered(
        self, route: routetables.Route, head: upstream.ResponseHead
    ) -> None:
        """Records that a response was forwarded to its end."""
        shared, now = self._shared, clock.read_clock()
        self._record.write_answered(route, head, self._runs)
        self._hedging.note_answer(route, self._sent_at)
        if head.status < REDIRECT_MIN:
            self._response.note_settled(now)
        self._suspicion.note_answered()
        served_s = now - self._sent_at - self._exchange.delayed_s
        shared.chooser.get_forecast(self._service).note_served(served_s)

    async def _read_answer(
        self,
        server: roster.ServerListing,
        connection: upstream.UpstreamConnection,
        brought: requestwork.RequestWork | None,
    ) -> hedgedattempt.Attempt:
        """Waits for an answer; if it is late, a copy at another server may answer."""
        first = hedgedattempt.Attempt(
            server, connection, self._sent_at, brought=brought
        )
        late_after_s = None
        if not self._exchange.is_started:
            late_after_s = self._hedging.get_late_after(self._route)
        if late_after_s is None:
            first.head = await self._read_head(server, connection)
            return first
        winner = await self._hedging.read(
            first,
            late_after_s,
            hedgedattempt.Calls(
                self._request_id,
                self._route,
                self._service,
                self._admission.parts,
                self._admission.size,
                self._tried_servers,
                self._admission.digest_request,
                self._can_repeat_elsewhere,
                self._make_head,
                self._count_copy,
                self._read_head,
                self._classify,
                self._record_failure,
            ),
        )
        if winner is not first:
            self._response.begin_attempt(
                self._service,
                winner.server.name,
                self._admission.parts,
                winner.brought,
            )
        return winner

    def _count_copy(self, change: int) -> None:
        self._runs += change
        self._copy_runs += change

    async def _read_head(
        self, server: roster.ServerListing, connection: upstream.UpstreamConnection
    ) -> upstream.ResponseHead:
        """Waits for a response; gives up a lost one if the request can be repeated.

        Raises:
            errors.BackendServerFailedError: There is no response to this request.
        """
        shared = self._shared
        if not (self._route.repetition.is_idempotent and self._can_repeat_elsewhere()):
            head = await connection.read_head()
        else:
            watch = shared.make_silence_watch(connection, server, self._route)
            watch.start()
            try:
                head = await connection.read_head()
            finally:
                watch.close()
        # A copy of an earlier answer says nothing new about the server.
        connection.check_answer_id(head.get(self._names.request_id))
        now = clock.read_clock()
        shared.choice.note_success(server.name)
        shared.progress.note_part(self._service, server.name, now)
        shared.crashdetector.record_alive(server, self._sent_at, now)
        shared.records.note_statement(server, head)
        return head

    def _make_head(self, server: roster.ServerListing) -> upstream.RequestHead:
        exchange, names = self._exchange, self._names
        overrides = {
            names.time_left_ms: str(
                max(1, math.floor(self._admission.remaining_s * 1000))
            ),
            names.expected_server: server.name,
        }
        if self._admission.organisation:
            overrides[names.organisation] = self._admission.organisation
        if self._response.last_event_id:
            overrides[names.last_event_id] = self._response.last_event_id
        if self._route.repetition.is_stream:
            priority = self._admission.get_priority()
            overrides[names.priority] = str(min(PRIORITY_MAX, max(0, priority)))
        forwarded_headers = headers.make_request_headers(
            exchange.headers.get_all(),
            names,
            len(exchange.body),
            exchange.method,
            overrides,
        )
        return upstream.RequestHead(exchange.method, exchange.target, forwarded_headers)

    def _classify(self, head: upstream.ResponseHead) -> forwardrules.Verdict:
        says_not_run = bool(head.get(self._names.not_run))
        return forwardrules.classify_answer(
            head.status, says_not_run, self._route.repetition
        )

    def _can_repeat_elsewhere(self) -> bool:
        return self._runs < self._route.attempts_max and len(self._tried_servers) < len(
            self._shared.view.servers
        )

    def _record_failure(self, server: roster.ServerListing, detail: str) -> None:
        out_s = self._shared.choice.note_failure(server.name, clock.read_clock())
        self._shared.records.note_failure(server)
        self._record.write_failed(server, self._may_have_run, detail, out_s)

    # Endings.

    def _note_ending(self) -> None:
        """Logs that the exchange was ended because of the bound on the bytes held."""
        assert self._exchange.ending is not None
        self._record.write_ended(self._admission.name_route(), self._exchange.ending)

    def _end_delayed(self, detail: str) -> None:
        """Ends a request whose server broke off while its caller did not read."""
        delayed_s = self._exchange.longest_delay_s
        detail = f"{detail}, after the caller delayed it for {delayed_s:.1f} s"
        self._end(self._give_up(work.RefusalReason.CANCELLED, detail))

    def _give_up(
        self, reason: work.RefusalReason, detail: str = ""
    ) -> forwardrules.GivenUp:
        if self._may_have_run:
            return forwardrules.give_up(reason, work.RunState.UNKNOWN, -1.0, detail)
        return refusals.refuse(reason, detail)

    def _give_up_before_attempt(
        self, refusal: forwardrules.GivenUp
    ) -> forwardrules.GivenUp:
        """Gives up a request before an attempt; earlier ones may have run."""
        if self._may_have_run:
            return self._give_up(refusal.reason, refusal.detail)
        return refusal

    def _end(self, given_up: forwardrules.GivenUp) -> None:
        """Ends a request that is given up."""
        if self._exchange.is_started:
            self._write_given_up(given_up, 0)
            self._shared.metrics.count_refusal(given_up.reason)
            self._exchange.abort()
        else:
            self._send_refusal(given_up)

    def _send_refusal(self, given_up: forwardrules.GivenUp) -> None:
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
            given_up,
            status,
            self._admission.name_route(),
            self._service,
            self._runs,
            self._refusals,
        )

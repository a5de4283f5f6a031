"""The HTTP API for callers."""

import asyncio
import collections.abc
import math
import typing

import pydantic
import tornado.httputil
import tornado.iostream
from returns import result

from lycheegauge import settings
from lycheegauge.internal.protocol import calls, work
from lycheegauge.internal.transport import closedelimited, web

EVENT_STREAM_TYPE = "text/event-stream"

STATUS_CODES = {
    work.RefusalReason.BAD_REQUEST: 400,
    work.RefusalReason.UNKNOWN_SERVICE: 404,
    work.RefusalReason.KEY_REUSED: 409,
    work.RefusalReason.KEY_EXPIRED: 410,
    work.RefusalReason.QUARANTINED: 422,
    work.RefusalReason.ORGANISATION_LIMIT: 429,
    work.RefusalReason.QUEUE_FULL: 429,
    work.RefusalReason.DEADLINE_EXCEEDED: 504,
    work.RefusalReason.OUTCOME_UNKNOWN: 502,
    work.RefusalReason.BACKEND_SERVER_FAILED: 502,
}
UNAVAILABLE = 503


class Session(typing.Protocol):
    """A request in progress, processed by a task of the entry host."""

    request: work.Request

    def replies(self) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Yields chunks, then one end or one refusal."""

    def cancel(self) -> None:
        """Cancels the request because the caller has disconnected."""


class CallerDelegate(typing.Protocol):
    """What the handlers need from the entry host."""

    def describe_entries(self, availability_zone: str) -> calls.Discovery:
        """Returns the entry host addresses that callers should use."""

    def list_services(self) -> calls.ServiceList:
        """Returns the services in the configuration."""

    def find_service_kind(self, service: str) -> str | None:
        """Returns a service's kind, or ``None`` for an unknown service."""

    def open_session(self, request: work.Request) -> Session:
        """Starts a request."""

    def count_refusal(self, reason: work.RefusalReason) -> None:
        """Counts a refusal that a handler made without the entry host."""


class CallerHandler(web.BodyHandler):
    """Base of the handlers for callers."""

    delegate: CallerDelegate
    slow_reader_timeout_s = 10.0

    def initialize(self, delegate: CallerDelegate, limits: settings.Limits) -> None:
        """Sets the entry host and the limits."""
        self.delegate = delegate
        self.set_limits(limits)

    def write_model(self, model: pydantic.BaseModel) -> None:
        """Responds with an API model as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(model.model_dump_json() + "\n")

    def write_problem(self, status: int, detail: str) -> None:
        """Responds to a malformed request with a typed refusal."""
        refusal = make_bad_request(detail)
        self.delegate.count_refusal(refusal.reason)
        self.write_refusal(refusal, status)

    def write_refusal(
        self, refusal: work.Refusal, status: int, key: str | None = None
    ) -> None:
        """Responds with a typed refusal and, if it has one, the retry delay."""
        self.set_status(status)
        if refusal.retry_after_s >= 0:
            self.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
        self.write_model(make_refusal_body(self.delegate, refusal, key))


def make_bad_request(detail: str) -> work.Refusal:
    """Builds the refusal of a malformed request."""
    return work.Refusal(
        request_id="",
        attempt=0,
        reason=work.RefusalReason.BAD_REQUEST,
        run_state=work.RunState.NOT_RUN,
        retry_after_s=-1,
        step="read request",
        detail=detail,
    )


def make_refusal_body(
    delegate: CallerDelegate, refusal: work.Refusal, key: str | None
) -> calls.RefusalBody:
    """Builds the body of a refusal; one that can be retried lists entry addresses."""
    retry_after_s = None if refusal.retry_after_s < 0 else refusal.retry_after_s
    return calls.RefusalBody(
        request_id=refusal.request_id,
        idempotency_key=key,
        run_state=refusal.run_state,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=retry_after_s,
        entries=delegate.describe_entries("").entries
        if retry_after_s is not None
        else (),
        step=refusal.step,
        peer=refusal.peer,
    )


class EntriesHandler(CallerHandler):
    """``GET /v1/entries``: the entry host addresses that callers should use."""

    def get(self) -> None:
        """Responds with the addresses, those in the caller's zone first."""
        availability_zone = self.get_query_argument("availability_zone", "")
        self.write_model(self.delegate.describe_entries(availability_zone))


class ServicesHandler(CallerHandler):
    """``GET /v1/services``: the list of services."""

    def get(self) -> None:
        """Responds with the services in the configuration."""
        self.write_model(self.delegate.list_services())


class CallHandler(CallerHandler):
    """``/v1/services/NAME``: a call, whose response may be streamed."""

    session: Session | None = None

    async def get(self, service: str) -> None:
        """Handles a call, which is repeatable by default."""
        await self.make_call(service, default_repeatable=True)

    async def post(self, service: str) -> None:
        """Handles a call; one to a plain service is not repeatable by default."""
        is_model = self.delegate.find_service_kind(service) == "model"
        await self.make_call(service, default_repeatable=is_model)

    def on_connection_close(self) -> None:
        """Cancels the request of a caller that has disconnected."""
        if self.session is not None:
            self.session.cancel()

    def write_error(self, status_code: int, **details: typing.Any) -> None:
        """Responds to an error; if the request was started, its outcome is unknown.

        It must not be refused as ``not_run``: an error while the response is
        written can come after the work has run.
        """
        if self.session is None:
            super().write_error(status_code, **details)
            return
        self.session.cancel()
        reason = work.RefusalReason.OUTCOME_UNKNOWN
        self.delegate.count_refusal(reason)
        refusal = work.Refusal(
            self.session.request.request_id,
            0,
            reason,
            work.RunState.UNKNOWN,
            -1,
            "write answer",
            "",
            "the response could not be written",
        )
        key = self.session.request.idempotency_key.partition("/")[2] or None
        self.write_refusal(refusal, STATUS_CODES[reason], key)

    async def make_call(self, service: str, default_repeatable: bool) -> None:
        """Validates a call, starts it and forwards its replies."""
        if self._finished:
            return
        kind = self.delegate.find_service_kind(service)
        if kind is None:
            reason = work.RefusalReason.UNKNOWN_SERVICE
            self.refuse_call(reason, f"unknown service {service!r}")
            return
        body = bytes(self.received_body) or self.request.query.encode()
        prompt: result.Result[str, typing.Any] = result.Success("")
        if kind == "model":
            prompt = calls.parse_prompt(body)
        headers = calls.parse_headers(self.request.headers)
        for outcome in (prompt, headers):
            if isinstance(outcome, result.Failure):
                problem = outcome.failure().message
                self.refuse_call(work.RefusalReason.BAD_REQUEST, problem)
                return
        valid = headers.unwrap()
        repeatable = default_repeatable
        if valid.repeatable is not None:
            repeatable = valid.repeatable
        request = calls.make_request(service, valid, body, prompt.unwrap(), repeatable)
        self.session = self.delegate.open_session(request)
        await self.relay(self.session)

    def refuse_call(self, reason: work.RefusalReason, detail: str) -> None:
        """Refuses a call that was not started."""
        self.delegate.count_refusal(reason)
        refusal = work.Refusal(
            "", 0, reason, work.RunState.NOT_RUN, -1, "read request", "", detail
        )
        self.write_refusal(refusal, STATUS_CODES[reason])

    async def relay(self, session: Session) -> None:
        """Forwards replies as an event stream if the caller accepts one."""
        self.set_header(calls.REQUEST_ID_HEADER, session.request.request_id)
        key = session.request.idempotency_key.partition("/")[2]
        if key:
            self.set_header(calls.IDEMPOTENCY_KEY_HEADER, key)
        streamed = EVENT_STREAM_TYPE in self.request.headers.get("Accept", "")
        writer = StreamWriter(self, key) if streamed else BufferedWriter(self, key)
        try:
            async for reply in session.replies():
                await writer.write_reply(reply)
        except (TimeoutError, tornado.iostream.StreamClosedError):
            session.cancel()
            self.abort()

    def finish_close_delimited(self, body: bytes) -> None:
        """Sends the response with neither a length nor chunks."""
        if self.request.connection is None:
            return
        response = closedelimited.CloseDelimitedResponse(
            self.detach(), self.on_connection_close
        )
        start = tornado.httputil.ResponseStartLine(
            "HTTP/1.1", self.get_status(), self._reason
        )
        response.write_headers(start, self._headers)
        response.write(body)
        response.finish()

    def abort(self) -> None:
        """Closes the connection, so that a truncated response can't look complete."""
        if self.request.connection is not None:
            self.detach().close()


class BufferedWriter:
    """Buffers a response and writes it once it is complete."""

    def __init__(self, handler: CallHandler, key: str) -> None:
        self._handler = handler
        self._key = key or None
        self._tokens: list[str] = []
        self._chunk: work.AnswerChunk | None = None

    async def write_reply(self, reply: work.AgentReply) -> None:
        """Processes one reply."""
        if reply.chunk is not None:
            self._chunk = reply.chunk
            self._tokens += reply.chunk.tokens
        elif reply.refusal is not None:
            status = STATUS_CODES.get(reply.refusal.reason, UNAVAILABLE)
            self._handler.write_refusal(reply.refusal, status, self._key)
        elif reply.end is not None:
            self._write_answer()

    def _write_answer(self) -> None:
        chunk = self._chunk
        if chunk is not None and not chunk.tokens:
            self._handler.set_status(chunk.status)
            content_type = chunk.content_type or "application/octet-stream"
            self._handler.set_header("Content-Type", content_type)
            if chunk.is_close_delimited:
                self._handler.finish_close_delimited(chunk.body)
                return
            # tornado rejects a body with status 204, even an empty one.
            self._handler.finish(chunk.body or None)
            return
        event = calls.TokenEvent(first=0, tokens=tuple(self._tokens))
        self._handler.write_model(event)


class StreamWriter:
    """Writes a response as server-sent events while it arrives.

    A complete response ends with an ``end`` event, an incomplete one with a
    ``refusal`` event.
    """

    def __init__(self, handler: CallHandler, key: str) -> None:
        self._handler = handler
        self._key = key or None
        self._is_started = False

    async def write_reply(self, reply: work.AgentReply) -> None:
        """Processes one reply."""
        if reply.chunk is not None:
            event = calls.TokenEvent(
                first=reply.chunk.first_token, tokens=reply.chunk.tokens
            )
            await self._write_event("token", event)
        elif reply.end is not None:
            await self._write_event("end", calls.EndEvent(tokens=reply.end.tokens))
            self._handler.finish()
        elif reply.refusal is not None:
            await self._write_refusal(reply.refusal)

    async def _write_refusal(self, refusal: work.Refusal) -> None:
        if not self._is_started:
            status = STATUS_CODES.get(refusal.reason, UNAVAILABLE)
            self._handler.write_refusal(refusal, status, self._key)
            return
        body = make_refusal_body(self._handler.delegate, refusal, self._key)
        await self._write_event("refusal", body)
        self._handler.finish()

    async def _write_event(self, name: str, model: pydantic.BaseModel) -> None:
        if not self._is_started:
            self._handler.set_header("Content-Type", EVENT_STREAM_TYPE)
            self._handler.set_header("Cache-Control", "no-store")
            self._is_started = True
        self._handler.write(f"event: {name}\ndata: {model.model_dump_json()}\n\n")
        timeout_s = self._handler.slow_reader_timeout_s
        await asyncio.wait_for(self._handler.flush(), timeout_s)


class UnknownPathHandler(CallerHandler):
    """All other paths."""

    def prepare(self) -> None:
        """Responds with 404."""
        self.write_problem(404, f"unknown path {self.request.path}")


def make_application(
    delegate: CallerDelegate, limits: settings.Limits
) -> web.Application:
    """Builds the application for callers."""

    def write_malformed(detail: str) -> bytes:
        refusal = make_bad_request(detail)
        delegate.count_refusal(refusal.reason)
        return make_refusal_body(delegate, refusal, None).model_dump_json().encode()

    arguments = {"delegate": delegate, "limits": limits}
    return web.Application(
        [
            (r"/v1/entries", EntriesHandler, arguments),
            (r"/v1/services", ServicesHandler, arguments),
            (r"/v1/services/([A-Za-z0-9._-]+)", CallHandler, arguments),
            (r".*", UnknownPathHandler, arguments),
        ],
        write_malformed,
    )

"""The HTTP listener for callers."""

import asyncio
import collections.abc
import math
import typing

import pydantic
import tornado.iostream
from returns import result

from lycheegauge import settings
from lycheegauge.internal.protocol import calls, work
from lycheegauge.internal.transport import web

STREAM_TYPE = "text/event-stream"

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
    """One request in progress, run by a task of the entry host."""

    request: work.Request

    def replies(self) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Yields chunks, then one end or refusal."""

    def cancel(self) -> None:
        """Says that the caller has gone."""


class Gate(typing.Protocol):
    """What the caller listener asks of the entry host."""

    def describe_entries(self, availability_zone: str) -> calls.Discovery:
        """Returns the entry addresses to use."""

    def list_services(self) -> calls.ServiceList:
        """Returns the services in the configuration."""

    def find_kind(self, service: str) -> str | None:
        """Returns a service's kind, or ``None`` for an unknown service."""

    def open_session(self, request: work.Request) -> Session:
        """Starts a request."""

    def count_refusal(self, reason: work.RefusalReason) -> None:
        """Counts a refusal made by the listener itself."""


class CallerHandler(web.BodyHandler):
    """Base of the callers' handlers."""

    gate: Gate
    slow_reader_timeout_s = 10.0

    def initialize(self, gate: Gate, limits: settings.Limits) -> None:
        """Takes the entry host and the limits."""
        self.gate = gate
        self.set_limits(limits)

    def write_model(self, model: pydantic.BaseModel) -> None:
        """Answers with a border model as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(model.model_dump_json() + "\n")

    def write_problem(self, status: int, detail: str) -> None:
        """Answers a malformed request."""
        refusal = make_bad_request(detail)
        self.gate.count_refusal(refusal.reason)
        self.write_refusal(refusal, status)

    def write_refusal(
        self, refusal: work.Refusal, status: int, key: str | None = None
    ) -> None:
        """Answers with a typed refusal and when to come back."""
        self.set_status(status)
        if refusal.retry_after_s >= 0:
            self.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
        self.write_model(make_refusal_body(self.gate, refusal, key))


def make_bad_request(detail: str) -> work.Refusal:
    """Makes the refusal of a malformed request."""
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
    gate: Gate, refusal: work.Refusal, key: str | None
) -> calls.RefusalBody:
    """Makes the body of a refusal; it names other entry addresses."""
    retry_after_s = None if refusal.retry_after_s < 0 else refusal.retry_after_s
    return calls.RefusalBody(
        request_id=refusal.request_id,
        idempotency_key=key,
        run_state=refusal.run_state,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=retry_after_s,
        entries=gate.describe_entries("").entries if retry_after_s is not None else (),
        step=refusal.step,
        peer=refusal.peer,
    )


class EntriesHandler(CallerHandler):
    """``GET /v1/entries``: which entry addresses to use."""

    def get(self) -> None:
        """Answers with the addresses, those of the caller's zone first."""
        availability_zone = self.get_query_argument("availability_zone", "")
        self.write_model(self.gate.describe_entries(availability_zone))


class ServicesHandler(CallerHandler):
    """``GET /v1/services``: which services there are."""

    def get(self) -> None:
        """Answers with the services."""
        self.write_model(self.gate.list_services())


class CallHandler(CallerHandler):
    """``/v1/services/NAME``: a streamed, whole or plain call."""

    session: Session | None = None

    async def get(self, service: str) -> None:
        """Makes a call that may be repeated."""
        await self.make_call(service, default_repeatable=True)

    async def post(self, service: str) -> None:
        """Makes a call; one to a plain service may not be repeated."""
        is_model = self.gate.find_kind(service) == "model"
        await self.make_call(service, default_repeatable=is_model)

    def on_connection_close(self) -> None:
        """Cancels the work behind a caller that has gone."""
        if self.session is not None:
            self.session.cancel()

    def write_error(self, status_code: int, **details: typing.Any) -> None:
        """Answers an error; once work may have begun it is of unknown outcome.

        A fault while an answer was written used to be refused as ``not_run``.
        """
        if self.session is None:
            super().write_error(status_code, **details)
            return
        self.session.cancel()
        reason = work.RefusalReason.OUTCOME_UNKNOWN
        self.gate.count_refusal(reason)
        refusal = work.Refusal(
            self.session.request.request_id,
            0,
            reason,
            work.RunState.UNKNOWN,
            -1,
            "write answer",
            "",
            "the answer could not be passed on",
        )
        key = self.session.request.idempotency_key.partition("/")[2] or None
        self.write_refusal(refusal, STATUS_CODES[reason], key)

    async def make_call(self, service: str, default_repeatable: bool) -> None:
        """Validates a call, starts it and relays its replies."""
        if self._finished:
            return
        kind = self.gate.find_kind(service)
        if kind is None:
            reason = work.RefusalReason.UNKNOWN_SERVICE
            self.refuse_call(reason, f"there is no service {service!r}")
            return
        body = bytes(self.collected) or self.request.query.encode()
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
        self.session = self.gate.open_session(request)
        await self.relay(self.session)

    def refuse_call(self, reason: work.RefusalReason, detail: str) -> None:
        """Refuses a call that was never started."""
        self.gate.count_refusal(reason)
        refusal = work.Refusal(
            "", 0, reason, work.RunState.NOT_RUN, -1, "read request", "", detail
        )
        self.write_refusal(refusal, STATUS_CODES[reason])

    async def relay(self, session: Session) -> None:
        """Relays replies in the form that the caller accepts."""
        self.set_header(calls.REQUEST_ID_HEADER, session.request.request_id)
        key = session.request.idempotency_key.partition("/")[2]
        if key:
            self.set_header(calls.IDEMPOTENCY_KEY_HEADER, key)
        streamed = STREAM_TYPE in self.request.headers.get("Accept", "")
        writer = StreamWriter(self, key) if streamed else WholeWriter(self, key)
        try:
            async for reply in session.replies():
                await writer.write_reply(reply)
        except (TimeoutError, tornado.iostream.StreamClosedError):
            session.cancel()
            self.abort()

    def abort(self) -> None:
        """Breaks the connection, so that a cut answer can't look whole."""
        if self.request.connection is not None:
            self.detach().close()


class WholeWriter:
    """Collects an answer and writes it once it is whole."""

    def __init__(self, handler: CallHandler, key: str) -> None:
        self._handler = handler
        self._key = key or None
        self._tokens: list[str] = []
        self._chunk: work.AnswerChunk | None = None

    async def write_reply(self, reply: work.AgentReply) -> None:
        """Takes one reply."""
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
            # Even an empty body is refused by the library with status 204.
            self._handler.finish(chunk.body or None)
            return
        event = calls.TokenEvent(first=0, tokens=tuple(self._tokens))
        self._handler.write_model(event)


class StreamWriter:
    """Writes an answer as server-sent events while it arrives.

    A whole answer closes with an ``end`` event; one that broke off has a
    ``refusal`` event in its place.
    """

    def __init__(self, handler: CallHandler, key: str) -> None:
        self._handler = handler
        self._key = key or None
        self._begun = False

    async def write_reply(self, reply: work.AgentReply) -> None:
        """Takes one reply."""
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
        if not self._begun:
            status = STATUS_CODES.get(refusal.reason, UNAVAILABLE)
            self._handler.write_refusal(refusal, status, self._key)
            return
        body = make_refusal_body(self._handler.gate, refusal, self._key)
        await self._write_event("refusal", body)
        self._handler.finish()

    async def _write_event(self, name: str, model: pydantic.BaseModel) -> None:
        if not self._begun:
            self._handler.set_header("Content-Type", STREAM_TYPE)
            self._handler.set_header("Cache-Control", "no-store")
            self._begun = True
        self._handler.write(f"event: {name}\ndata: {model.model_dump_json()}\n\n")
        timeout_s = self._handler.slow_reader_timeout_s
        await asyncio.wait_for(self._handler.flush(), timeout_s)


class UnknownPathHandler(CallerHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Answers that there is no such path."""
        self.write_problem(404, f"there is no path {self.request.path}")


def make_application(gate: Gate, limits: settings.Limits) -> web.Application:
    """Makes the application that answers callers."""

    def write_malformed(detail: str) -> bytes:
        refusal = make_bad_request(detail)
        gate.count_refusal(refusal.reason)
        return make_refusal_body(gate, refusal, None).model_dump_json().encode()

    given = {"gate": gate, "limits": limits}
    return web.Application(
        [
            (r"/v1/entries", EntriesHandler, given),
            (r"/v1/services", ServicesHandler, given),
            (r"/v1/services/([A-Za-z0-9._-]+)", CallHandler, given),
            (r".*", UnknownPathHandler, given),
        ],
        write_malformed,
    )

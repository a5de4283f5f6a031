"""Engine adapters, through which an agent talks to its backend server.

An adapter declares the capabilities of its engine. New adapters register with
``register_engine`` under the name that the backend server announces.
"""

import asyncio
import collections.abc
import dataclasses
import json
import typing

import tornado.httpclient
import tornado.httputil

from lycheegauge import errors
from lycheegauge.internal.protocol import work
from lycheegauge.internal.transport import tokenstreams, upstream

RUN_TIMEOUT_S = 3600.0
CONNECT_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 2.0
MAX_CONCURRENT_RUNS = 1024
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Size limit of a plain service's response, which is buffered in full."""

STREAM_MAX_BYTES = 100 * 1024 * 1024
"""Size limit of a stream, of which only the unread events are kept."""

CANCEL_RESPONSE_MAX_BYTES = 64 * 1024
"""Size limit of the response to a cancellation, which is not used."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capabilities:
    """The optional features that an engine supports."""

    priorities: bool = False
    resume: bool = False
    cancel: bool = False
    kv_export: bool = False
    kv_import: bool = False
    fencing: bool = False
    cache_events: bool = False
    load_reports: bool = False
    load_orders: bool = False
    role_orders: bool = False


class Engine(typing.Protocol):
    """Client of one backend server, used by its agent."""

    capabilities: Capabilities

    def run(
        self, order: work.WorkOrder
    ) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Runs a work order and yields chunks, then the end.

        Raises:
            errors.BackendServerFailedError: The response was incomplete.
        """

    async def cancel(self, request_id: str) -> None:
        """Asks the engine to stop a run; errors are ignored."""

    def close(self) -> None:
        """Closes the connections to the engine."""


_engines: dict[str, collections.abc.Callable[[str], Engine]] = {}

EngineClass = typing.TypeVar(
    "EngineClass", bound=collections.abc.Callable[[str], Engine]
)


def register_engine(
    name: str,
) -> collections.abc.Callable[[EngineClass], EngineClass]:
    """Registers an adapter under the name that backend servers announce."""

    def register(engine_class: EngineClass) -> EngineClass:
        _engines[name] = engine_class
        return engine_class

    return register


def make_engine(name: str, address: str) -> Engine:
    """Creates the adapter for an announced engine.

    Raises:
        errors.BorderError: No adapter is registered under that name.
    """
    if name not in _engines:
        known = ", ".join(sorted(_engines))
        message = f"unknown engine adapter {name!r}; registered: {known}"
        raise errors.BorderError(message, "choose engine", address)
    return _engines[name](address)


def list_engines() -> dict[str, Capabilities]:
    """Returns the capabilities of each registered engine."""
    return {name: build("").capabilities for name, build in _engines.items()}


class HttpEngine:
    """Base of the adapters for engines that mark the end of a response themselves."""

    capabilities = Capabilities()

    def __init__(self, address: str) -> None:
        self.address = address
        self._clients: dict[int, tornado.httpclient.AsyncHTTPClient] = {}

    def close(self) -> None:
        """Closes the connections to the engine."""
        for client in self._clients.values():
            client.close()

    def _get_client(self, response_bytes: int) -> tornado.httpclient.AsyncHTTPClient:
        """Returns the HTTP client that reads so much of a response, at most."""
        if response_bytes not in self._clients:
            self._clients[response_bytes] = tornado.httpclient.AsyncHTTPClient(
                force_instance=True,
                max_clients=MAX_CONCURRENT_RUNS,
                max_body_size=response_bytes,
            )
        return self._clients[response_bytes]

    async def post(
        self,
        path: str,
        body: bytes,
        headers: dict[str, str],
        streaming_callback: typing.Any = None,
        timeout_s: float = RUN_TIMEOUT_S,
        response_bytes: int = STREAM_MAX_BYTES,
    ) -> tornado.httpclient.HTTPResponse:
        """Sends one request.

        Args:
            path: The path.
            body: The body.
            headers: The headers.
            streaming_callback: Called with each part of the response's body, which is
                then not kept.
            timeout_s: Maximum time until the end of the response, in seconds.
            response_bytes: Size limit of the response's body.

        Raises:
            errors.BackendServerFailedError: No complete response was received.
        """
        request = tornado.httpclient.HTTPRequest(
            f"http://{self.address}{path}",
            method="POST",
            body=body,
            headers=tornado.httputil.HTTPHeaders(headers),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            streaming_callback=streaming_callback,
        )
        try:
            client = self._get_client(response_bytes)
            response = await client.fetch(request, raise_error=False)
        except Exception as error:
            message = f"no complete response: {error!r}"
            # With any other error, part of the request may have been sent already.
            reached = not isinstance(error, ConnectionRefusedError)
            raise errors.BackendServerFailedError(
                message, "run", self.address, reached
            ) from error
        if response.code == 599 or response.error and not response.code:
            message = f"no complete response: {response.error}"
            raise errors.BackendServerFailedError(message, "run", self.address)
        return response


@register_engine("plain")
class PlainEngine:
    """Adapter for plain services: one request, one response.

    tornado's client would take any end of the connection, even a reset, for the end of
    a response with neither a length nor chunks.
    """

    capabilities = Capabilities(load_reports=True)

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = upstream.ConnectionPool()

    def close(self) -> None:
        """Closes the connections to the service."""
        self._pool.close()

    async def cancel(self, request_id: str) -> None:
        """Does nothing, as a plain service can't stop a run."""

    async def run(
        self, order: work.WorkOrder
    ) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Forwards the request body and yields the response as one chunk."""
        request = order.request
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                head, body = await self._exchange(request)
        except TimeoutError as error:
            message = f"no complete response within {RUN_TIMEOUT_S} s"
            raise errors.BackendServerFailedError(
                message, "run", self.address
            ) from error
        chunk = work.AnswerChunk(
            request.request_id,
            order.attempt,
            sequence=0,
            body=body,
            status=head.status,
            content_type=head.get("Content-Type") or "application/json",
            is_close_delimited=head.framing is upstream.Framing.CONNECTION,
        )
        yield work.AgentReply(chunk=chunk)
        end = work.AnswerEnd(request.request_id, order.attempt, 1, 0)
        yield work.AgentReply(end=end)

    async def _exchange(
        self, request: work.Request
    ) -> tuple[upstream.ResponseHead, bytes]:
        """Sends a request on a new connection and reads the response.

        A connection that was idle could be closed by the service just before the
        request, which might then have been run or not.

        Raises:
            errors.BackendServerFailedError: No complete response was received.
        """
        try:
            connection = await self._pool.connect(self.address, self.address)
        except errors.PeerUnreachableError as error:
            reached = not isinstance(error.__cause__, ConnectionRefusedError)
            raise errors.BackendServerFailedError(
                error.message, "run", self.address, reached
            ) from error
        try:
            self._send(connection, request)
            head = await connection.read_head()
            body = bytearray()
            while part := await connection.read_chunk():
                body += part
                if len(body) > MAX_RESPONSE_BYTES:
                    message = f"response larger than {MAX_RESPONSE_BYTES} bytes"
                    raise errors.BackendServerFailedError(message, "run", self.address)
            return head, bytes(body)
        finally:
            connection.abort()

    def _send(
        self, connection: upstream.UpstreamConnection, request: work.Request
    ) -> None:
        fields = [
            ("Host", self.address),
            ("Connection", "close"),
            ("Content-Length", str(len(request.body))),
            ("Lycheegauge-Request-Id", request.request_id),
        ]
        if request.idempotency_key:
            fields.append(("Idempotency-Key", request.idempotency_key))
        head = upstream.RequestHead("POST", "/call", tuple(fields))
        try:
            connection.send(head, request.body)
        except errors.BorderError as error:
            raise errors.BackendServerFailedError(
                error.message, "run", self.address, reached=False
            ) from error


@register_engine("completions")
class CompletionsEngine(HttpEngine):
    """Adapter for model engines with a streaming completions endpoint."""

    capabilities = Capabilities(
        priorities=True,
        resume=True,
        cancel=True,
        kv_export=True,
        kv_import=True,
        fencing=True,
        cache_events=True,
        load_reports=True,
        load_orders=True,
        role_orders=True,
    )

    async def run(
        self, order: work.WorkOrder
    ) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Streams a completion, starting at token ``resume_at``."""
        stream = tokenstreams.EventStream()
        body = self._make_body(order)
        headers = {"Content-Type": "application/json"}
        fetch = asyncio.ensure_future(
            self.post("/v1/completions", body, headers, stream.feed_bytes)
        )
        fetch.add_done_callback(stream.close_on_done)
        first_token = order.resume_at
        sequence = 0
        try:
            async for token in stream.tokens(order.request.deadline_s):
                yield work.AgentReply(
                    chunk=work.AnswerChunk(
                        order.request.request_id,
                        order.attempt,
                        sequence,
                        first_token,
                        (token,),
                    )
                )
                sequence += 1
                first_token += 1
        finally:
            stream.abandon()
        if stream.problem:
            await self.cancel(order.request.request_id)
            raise errors.BackendServerFailedError(stream.problem, "run", self.address)
        self._check_complete(await fetch, stream)
        yield work.AgentReply(
            end=work.AnswerEnd(
                order.request.request_id, order.attempt, sequence, first_token
            )
        )

    def _make_body(self, order: work.WorkOrder) -> bytes:
        content = json.loads(order.request.body)
        content["stream"] = True
        content["request_id"] = order.request.request_id
        content["resume_at"] = order.resume_at
        content["priority"] = order.request.priority
        return json.dumps(content).encode()

    def _check_complete(
        self,
        response: tornado.httpclient.HTTPResponse,
        stream: tokenstreams.EventStream,
    ) -> None:
        if response.code != 200 or not stream.is_complete:
            message = f"incomplete event stream, status {response.code}"
            raise errors.BackendServerFailedError(message, "run", self.address)

    async def cancel(self, request_id: str) -> None:
        """Asks the engine to stop a stream; errors are ignored."""
        body = json.dumps({"request_id": request_id}).encode()
        try:
            await self.post(
                "/v1/cancel",
                body,
                {},
                timeout_s=CANCEL_TIMEOUT_S,
                response_bytes=CANCEL_RESPONSE_MAX_BYTES,
            )
        except errors.BackendServerFailedError:
            return


@register_engine("completions-unfenced")
class UnfencedCompletionsEngine(CompletionsEngine):
    """Completions adapter for engines that ignore fencing numbers."""

    capabilities = dataclasses.replace(CompletionsEngine.capabilities, fencing=False)

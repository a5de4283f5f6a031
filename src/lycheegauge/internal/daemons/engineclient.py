"""HTTP client for one engine, in the engine's own dialect."""

import asyncio
import weakref

import loguru
from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import enginedialects, maporders
from lycheegauge.internal.transport import upstream

OK = 200

ENGINE_TIMEOUT_S = 0.06
"""An engine answers within a few ms. While a forward pass is held, each unanswered
order makes the whole group wait for this long."""

DOCUMENT_MAX_BYTES = 1_048_576
"""Size limit of an engine's answer."""

OUTCOMES_BY_STATUS = {
    200: maporders.MapOrderOutcome.DONE,
    202: maporders.MapOrderOutcome.BEGUN,
    409: maporders.MapOrderOutcome.CONFLICT,
    412: maporders.MapOrderOutcome.FENCED,
}


class EngineClient:
    """Owns the connections to one engine.

    Answers carry no request id, and a faulty engine may send one once more when the
    next request arrives. An order therefore follows a report on its connection: a copy
    of the report is not the answer to an order, nor the other way round.

    Args:
        dialect: The engine's HTTP calls and their formats.
        address: The engine's address.
    """

    def __init__(self, dialect: enginedialects.EngineDialect, address: str) -> None:
        self._dialect = dialect
        self._address = address
        self._pool = upstream.ConnectionPool()
        self._targets: weakref.WeakKeyDictionary[upstream.UpstreamConnection, str] = (
            weakref.WeakKeyDictionary()
        )

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    async def observe(
        self, question: maporders.EngineQuestion
    ) -> maporders.EngineReport:
        """Reads the engine's state.

        Raises:
            errors.LycheegaugeError: The engine gave no valid answer.
        """
        report = await self._read(self._dialect.make_report_call())
        counts = experts = None
        if question.counts:
            counts = await self._read(self._dialect.make_counts_call())
        if question.experts:
            experts = await self._read(self._dialect.make_experts_call())
        read = self._dialect.parse_report(report, counts, experts)
        if isinstance(read, result.Failure):
            raise read.failure()
        return read.unwrap()

    async def order(self, order: maporders.MapOrder) -> maporders.MapOrderReply:
        """Sends an order; without a complete answer its outcome is unknown."""
        try:
            status, _ = await self._call(self._dialect.encode_order(order))
            outcome = OUTCOMES_BY_STATUS.get(status, maporders.MapOrderOutcome.REFUSED)
        except errors.LycheegaugeError as error:
            loguru.logger.info(
                "the engine did not answer an order",
                kind=order.kind.value,
                fence=order.fence,
                detail=str(error),
            )
            outcome = maporders.MapOrderOutcome.UNANSWERED
        return maporders.MapOrderReply(outcome)

    async def _read(self, call: enginedialects.EngineCall) -> bytes:
        """Reads a document.

        Raises:
            errors.LycheegaugeError: The engine did not answer with a document.
        """
        status, document = await self._call(call)
        if status != OK:
            message = f"the engine answered {call.target} with status {status}"
            raise errors.BackendServerFailedError(message, "ask", self._address)
        return document

    async def _call(self, call: enginedialects.EngineCall) -> tuple[int, bytes]:
        """Calls the engine.

        Raises:
            errors.PeerUnreachableError: The engine did not answer in time.
            errors.BackendServerFailedError: The answer was cut short or too large.
        """
        address = self._address
        try:
            async with asyncio.timeout(ENGINE_TIMEOUT_S):
                connection = await self._pool.acquire(address, address)
                is_complete = False
                try:
                    if call.body:
                        await self._read_before_order(connection)
                    answer = await self._exchange(connection, call)
                    is_complete = True
                    return answer
                finally:
                    if is_complete:
                        self._pool.release(address, connection)
                    else:
                        connection.abort()
        except TimeoutError as error:
            message = "the engine did not answer in time"
            raise errors.PeerUnreachableError(message, "ask", address) from error

    async def _read_before_order(self, connection: upstream.UpstreamConnection) -> None:
        """Reads the engine's state unless the connection's last answer was one.

        Raises:
            errors.BackendServerFailedError: The answer is something else, such as a
                late copy of the answer to an order.
        """
        call = self._dialect.make_report_call()
        if connection.request_count and self._targets.get(connection) != call.target:
            status, document = await self._exchange(connection, call)
            if status != OK or not self._is_report(document):
                message = "the engine answered a question for its state otherwise"
                raise errors.BackendServerFailedError(message, "ask", self._address)

    def _is_report(self, document: bytes) -> bool:
        read = self._dialect.parse_report(document, None, None)
        return isinstance(read, result.Success)

    async def _exchange(
        self, connection: upstream.UpstreamConnection, call: enginedialects.EngineCall
    ) -> tuple[int, bytes]:
        """Sends a call and reads the answer.

        Raises:
            errors.BackendServerFailedError: The answer was cut short, too large, or
                the state of the engine instead of the answer to an order.
        """
        fields: tuple[tuple[str, str], ...] = (("Host", self._address),)
        if call.body:
            fields += (
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(call.body))),
            )
        method = "POST" if call.body else "GET"
        self._targets[connection] = call.target
        connection.send(upstream.RequestHead(method, call.target, fields), call.body)
        head = await connection.read_head()
        body = bytearray()
        while part := await connection.read_chunk():
            body += part
            if len(body) > DOCUMENT_MAX_BYTES:
                message = f"answer larger than {DOCUMENT_MAX_BYTES} bytes"
                raise errors.BackendServerFailedError(message, "ask", self._address)
        if call.body and self._is_report(bytes(body)):
            message = "the engine answered an order with its state"
            raise errors.BackendServerFailedError(message, "ask", self._address)
        return head.status, bytes(body)

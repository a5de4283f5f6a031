"""HTTP client for one engine, in the engine's own dialect."""

import asyncio

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

    Args:
        dialect: The engine's HTTP calls and their formats.
        address: The engine's address.
    """

    def __init__(self, dialect: enginedialects.EngineDialect, address: str) -> None:
        self._dialect = dialect
        self._address = address
        self._pool = upstream.ConnectionPool()

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
                return await self._exchange(address, call)
        except TimeoutError as error:
            message = "the engine did not answer in time"
            raise errors.PeerUnreachableError(message, "ask", address) from error

    async def _exchange(
        self, address: str, call: enginedialects.EngineCall
    ) -> tuple[int, bytes]:
        # Answers carry no request id. On a new connection no late copy of another
        # answer can be taken for the answer to an order; of a state it is merely old.
        is_order = bool(call.body)
        open_connection = self._pool.connect if is_order else self._pool.acquire
        connection = await open_connection(address, address)
        is_complete = False
        try:
            fields: tuple[tuple[str, str], ...] = (("Host", address),)
            if is_order:
                fields += (
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(call.body))),
                )
            method = "POST" if is_order else "GET"
            connection.send(
                upstream.RequestHead(method, call.target, fields), call.body
            )
            head = await connection.read_head()
            body = bytearray()
            while part := await connection.read_chunk():
                body += part
                if len(body) > DOCUMENT_MAX_BYTES:
                    message = f"answer larger than {DOCUMENT_MAX_BYTES} bytes"
                    raise errors.BackendServerFailedError(message, "ask", address)
            is_complete = True
            return head.status, bytes(body)
        finally:
            if is_complete and not is_order:
                self._pool.release(address, connection)
            else:
                connection.abort()

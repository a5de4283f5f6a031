"""The agent beside an engine: it reads the engine and passes orders on.

It decides nothing and keeps nothing, so that it can be lost at any moment.
"""

import asyncio

import loguru
from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal import logs
from lycheegauge.internal.daemons import lifecycle
from lycheegauge.internal.protocol import enginedialects, maporders
from lycheegauge.internal.transport import peers, services, upstream

ENGINE_TIMEOUT_S = 0.25
"""The engine is on the same host; a later answer means that it gives none."""

OUTCOMES = {
    200: maporders.MapOrderOutcome.DONE,
    202: maporders.MapOrderOutcome.BEGUN,
    409: maporders.MapOrderOutcome.CONFLICT,
    412: maporders.MapOrderOutcome.FENCED,
}


class EngineAgentDaemon:
    """Owns the connection to one engine."""

    def __init__(self, part: settings.EngineAgentSettings) -> None:
        self._part = part
        self._dialect = enginedialects.get_dialect(part.dialect)
        self._pool = upstream.ConnectionPool()
        service = services.EngineAgentService(self.observe, self.order)
        self._server = peers.PeerServer(part.peer_address, [service])

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        address = await self._server.start()
        loguru.logger.info(
            "started", step="start", address=address, engine=self._part.engine_address
        )

    async def drain(self) -> None:
        """Does nothing; the coordinator does without this agent."""

    async def close(self) -> None:
        """Closes everything at once."""
        await self._server.close()
        self._pool.close()

    async def observe(
        self, question: maporders.EngineQuestion
    ) -> maporders.EngineReport:
        """Reads the engine's state.

        Raises:
            errors.LycheegaugeError: The engine gives no readable answer.
        """
        _, report = await self._call(self._dialect.ask_report())
        counts = b""
        if question.counts:
            _, counts = await self._call(self._dialect.ask_counts())
        experts = b""
        if question.experts:
            _, experts = await self._call(self._dialect.ask_experts())
        read = self._dialect.read_report(report, counts, experts)
        if isinstance(read, result.Failure):
            raise read.failure()
        return read.unwrap()

    async def order(self, order: maporders.MapOrder) -> maporders.MapOrderReply:
        """Passes an order on; silence or a break leaves its outcome open."""
        try:
            status, _ = await self._call(self._dialect.write_order(order))
            outcome = OUTCOMES.get(status, maporders.MapOrderOutcome.REFUSED)
        except errors.LycheegaugeError as error:
            loguru.logger.info(
                "the engine did not answer an order",
                kind=order.kind.value,
                fence=order.fence,
                detail=str(error),
            )
            outcome = maporders.MapOrderOutcome.UNANSWERED
        return maporders.MapOrderReply(outcome)

    async def _call(self, call: enginedialects.EngineCall) -> tuple[int, bytes]:
        """Calls the engine.

        Raises:
            errors.PeerUnreachableError: There was no answer in time.
            errors.BackendServerFailedError: The answer broke off.
        """
        address = self._part.engine_address
        try:
            async with asyncio.timeout(ENGINE_TIMEOUT_S):
                return await self._exchange(address, call)
        except TimeoutError as error:
            message = "the engine gave no answer in time"
            raise errors.PeerUnreachableError(message, "ask", address) from error

    async def _exchange(
        self, address: str, call: enginedialects.EngineCall
    ) -> tuple[int, bytes]:
        connection = await self._pool.open(address, address)
        is_complete = False
        try:
            fields: tuple[tuple[str, str], ...] = (("Host", address),)
            if call.body:
                fields += (
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(call.body))),
                )
            method = "POST" if call.body else "GET"
            connection.send(
                upstream.RequestHead(method, call.target, fields), call.body
            )
            head = await connection.read_head()
            body = bytearray()
            while part := await connection.read_body():
                body += part
            is_complete = True
            return head.status, bytes(body)
        finally:
            if is_complete:
                self._pool.give_back(address, connection)
            else:
                connection.abort()


async def run_engineagent(part: settings.EngineAgentSettings) -> int:
    """Runs the agent beside an engine until SIGTERM or SIGINT."""
    writer = logs.configure_logs(part.name, part.log_level)
    code = await lifecycle.run_daemon(EngineAgentDaemon(part), part.stop_timeout_s)
    writer.close()
    return code

"""Serves a process's metrics on an address of its own."""

import asyncio

from lycheegauge import metrics, settings
from lycheegauge.internal.transport import controlapi, web

OK = 200
NOT_FOUND = 404


class MetricsListener:
    """Owns the metrics address.

    Args:
        address: The address; nothing is served without one.
        counters: What is exported.
        limits: Limits of the listener.
    """

    def __init__(
        self, address: str | None, counters: metrics.Metrics, limits: settings.Limits
    ) -> None:
        self._metrics = counters
        self._listener: web.Listener | None = None
        if address is not None:
            application = controlapi.make_application(self._answer, limits)
            self._listener = web.Listener(address, application, limits)

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        if self._listener is not None:
            await self._listener.start()

    async def close(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            await self._listener.close()

    async def _answer(self, method: str, target: str, _: bytes) -> controlapi.Answer:
        if method != "GET" or target.partition("?")[0] != "/metrics":
            return controlapi.Answer(NOT_FOUND)
        # Loading takes longer than a stream may pause.
        await asyncio.to_thread(self._metrics.load_exporter)
        return controlapi.Answer(OK, self._metrics.export(), "text/plain")

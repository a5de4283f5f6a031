"""Serves a process's metrics on a separate address."""

import asyncio

from lycheegauge import metrics, settings
from lycheegauge.internal.transport import controlapi, web

OK = 200
NOT_FOUND = 404


class MetricsListener:
    """Serves ``/metrics``.

    Args:
        address: The address to listen on; ``None`` serves no metrics.
        counters: The metrics to export.
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
            OSError: The address can't be bound.
        """
        if self._listener is not None:
            await self._listener.start()

    async def close(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            await self._listener.close()

    async def _answer(self, method: str, target: str, _: bytes) -> controlapi.Response:
        if method != "GET" or target.partition("?")[0] != "/metrics":
            return controlapi.Response(NOT_FOUND)
        # Loading the library on the event loop would pause streams for longer than
        # they may pause.
        await asyncio.to_thread(self._metrics.load_exporter)
        return controlapi.Response(OK, self._metrics.export(), "text/plain")

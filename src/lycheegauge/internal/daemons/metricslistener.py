"""Serves a process's metrics on a separate address."""

import asyncio
import collections.abc

from lycheegauge import metrics, settings
from lycheegauge.internal.transport import controlapi, web

OK = 200
NOT_FOUND = 404


Page = collections.abc.Callable[[str], controlapi.Response]


class MetricsListener:
    """Serves ``/metrics``, and other documents of its process.

    Args:
        address: The address to listen on; ``None`` serves no metrics.
        counters: The metrics to export.
        limits: Limits of the listener.
        pages: Answers to GET requests by path; each is called with the query.
    """

    def __init__(
        self,
        address: str | None,
        counters: metrics.Metrics,
        limits: settings.Limits,
        pages: collections.abc.Mapping[str, Page] | None = None,
    ) -> None:
        self._pages = pages or {}
        self._metrics = counters
        self._listener: web.Listener | None = None
        if address is not None:
            application = controlapi.make_application(self._answer, limits)
            self._listener = web.Listener(address, application, limits)

    async def start(self) -> str:
        """Starts listening; returns the address.

        Raises:
            OSError: The address can't be bound.
        """
        return await self._listener.start() if self._listener is not None else ""

    async def close(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            await self._listener.close()

    async def _answer(
        self, method: str, target: str, _body: bytes, _sender: controlapi.Sender
    ) -> controlapi.Response:
        parts = target.partition("?")
        path, query = parts[0], parts[2]
        if method == "GET" and path in self._pages:
            return self._pages[path](query)
        if method != "GET" or path != "/metrics":
            return controlapi.Response(NOT_FOUND)
        # Loading the library on the event loop would pause streams for longer than
        # they may pause.
        await asyncio.to_thread(self._metrics.load_exporter)
        return controlapi.Response(OK, self._metrics.export(), "text/plain")

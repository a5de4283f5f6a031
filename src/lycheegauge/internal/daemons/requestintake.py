"""Starts the forwarding of the requests that callers send."""

import asyncio

import loguru

from lycheegauge.internal.daemons import forwardedrequest, forwarder
from lycheegauge.internal.transport import ingress


class RequestIntake:
    """Runs a task for each request.

    Args:
        shared: The state shared by all requests, which lists the tasks.
    """

    def __init__(self, shared: forwarder.Forwarder) -> None:
        self._shared = shared

    def handle(self, exchange: ingress.Exchange) -> None:
        """Starts the forwarding of one request."""
        request = forwardedrequest.ForwardedRequest(self._shared, exchange)
        task = asyncio.create_task(request.run())
        self._shared.running.add(task)
        task.add_done_callback(self._finish_task)
        exchange.call_on_disconnect(task.cancel)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._shared.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            loguru.logger.opt(exception=task.exception()).error(
                "unexpected error while forwarding a request"
            )

"""Ends the service of an entry host's callers without cutting off a request."""

import asyncio

from lycheegauge.internal.coordination import memorylimits
from lycheegauge.internal.daemons import forwarder
from lycheegauge.internal.transport import ingress, web

POLL_INTERVAL_S = 0.02

QUIET_S = 0.5
"""How long an open connection without a request is kept, in seconds. Its caller may
have sent one that has not arrived yet."""


class CallerDrain:
    """Stops accepting callers and waits until every request is answered.

    Args:
        shared: The requests under way.
        callers: The connections of the callers.
        listener: The socket on which callers connect.
    """

    def __init__(
        self,
        shared: forwarder.Forwarder,
        callers: ingress.Ingress,
        listener: web.Listener,
    ) -> None:
        self._forwarder = shared
        self._ingress = callers
        self._listener = listener

    def start(self) -> None:
        """Begins to tell callers that their connections will be closed."""
        self._forwarder.stopping = True
        self._ingress.connections.is_stopping = True

    async def finish(self) -> None:
        """Accepts no more callers and returns when all connections are closed.

        Requests that still arrive on open connections are refused as not run, as a
        response might take longer than this process lives.
        """
        self._forwarder.refuses_requests = True
        self._forwarder.admission.refuse_waiting()
        self._listener.stop_accepting()
        connections = self._ingress.connections
        while (
            self._forwarder.running
            or self._listener.count_connections()
            or not connections.is_empty
        ):
            connections.close_idle(QUIET_S)
            if self._forwarder.budget is not None:
                self._forwarder.budget.end_stalled(memorylimits.DRAIN_STALLED_S)
            await asyncio.sleep(POLL_INTERVAL_S)

"""Aborts an attempt whose server is silent while other servers respond."""

import asyncio
import collections.abc

from lycheegauge.internal.transport import upstream

CHECK_INTERVAL_S = 0.2
"""Interval at which the server of a late response is compared with others, in
seconds."""

SILENT_DETAIL = "the server is silent while others of its service answer"


class SilenceWatch:
    """Monitors one attempt until the first byte of its response.

    Args:
        connection: The attempt's connection.
        late_after_s: Time from now after which the first byte is late, in seconds.
        is_lost: Tells whether to give up on the response.
    """

    def __init__(
        self,
        connection: upstream.UpstreamConnection,
        late_after_s: float,
        is_lost: collections.abc.Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._late_after_s = late_after_s
        self._is_lost = is_lost
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts monitoring."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._late_after_s, self._check)

    def close(self) -> None:
        """Stops monitoring."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if self._is_lost():
            self._connection.interrupt(SILENT_DETAIL)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

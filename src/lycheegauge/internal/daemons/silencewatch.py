"""Breaks off an attempt whose server is silent while others answer."""

import asyncio
import collections.abc

from lycheegauge.internal.transport import upstream

CHECK_INTERVAL_S = 0.2
"""Once an answer is late, its server is compared with the others this often."""

SILENT = "the server is silent while others of its service answer"


class SilenceWatch:
    """Watches one attempt until its first byte.

    Args:
        connection: The attempt's connection.
        late_after_s: When the first byte is late, in seconds from now.
        is_lost: Tells whether the answer is to be given up.
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
        """Starts the watch."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._late_after_s, self._check)

    def close(self) -> None:
        """Ends the watch."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if self._is_lost():
            self._connection.close_with_error(SILENT)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

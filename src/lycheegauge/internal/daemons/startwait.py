"""Lets requests wait while a host that has just started lacks state."""

import asyncio
import math

from lycheegauge.internal.transport import clock

SETTLING_TIME_S = 2.5
"""Time after the first route table in which a host may still lack servers, in
seconds."""

START_WAITERS_MAX = 256
"""Maximum number of requests that wait while the host starts; each holds its body in
memory."""


class StartWait:
    """The requests that wait for updates of a host that has just started."""

    def __init__(self) -> None:
        self._update_event = asyncio.Event()
        self._waiting_count = 0
        self._settled_at = math.inf

    def note_update(self) -> None:
        """Wakes the waiting requests, since an update arrived."""
        self._update_event.set()
        self._update_event = asyncio.Event()

    def note_table(self) -> None:
        """Starts the time after which the host has settled, at the first table."""
        self._settled_at = min(self._settled_at, clock.read_clock() + SETTLING_TIME_S)

    async def wait_for_update(self, max_wait_s: float) -> bool:
        """Waits for the next update, if this host has only just started.

        Right after all hosts were lost, a caller has often spent its retries on
        closed ports, so a refusal would be final for it, and the missing state
        arrives with the next pulls.

        Returns:
            Whether an update arrived. ``False`` immediately if this host has settled
            or too many requests are waiting.
        """
        is_settled = clock.read_clock() >= self._settled_at
        if is_settled or self._waiting_count >= START_WAITERS_MAX:
            return False
        self._waiting_count += 1
        try:
            async with asyncio.timeout(max(0.0, max_wait_s)):
                await self._update_event.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting_count -= 1
        return True

"""The requests of one host that wait for the suspect slot of their service."""

import asyncio

from lycheegauge.internal.coordination import suspectslots

WAITERS_MAX = 256
"""Maximum number of suspected requests that wait; each holds its body in memory."""


class SuspectRuns:
    """The suspected requests of one host.

    Attributes:
        slots: The suspect slots that this host wants, holds and uses.
    """

    def __init__(self) -> None:
        self.slots = suspectslots.SuspectSlots()
        self._change_event = asyncio.Event()
        self._waiting_count = 0

    def note_change(self) -> None:
        """Wakes the waiting requests, as a slot or a verdict may have changed."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self, service: str, max_wait_s: float) -> bool:
        """Waits until a slot or a verdict changes; returns whether one did."""
        if self._waiting_count >= WAITERS_MAX:
            return False
        self._waiting_count += 1
        self.slots.begin_wait(service)
        try:
            async with asyncio.timeout(max(0.0, max_wait_s)):
                await self._change_event.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting_count -= 1
            self.slots.end_wait(service)
        return True

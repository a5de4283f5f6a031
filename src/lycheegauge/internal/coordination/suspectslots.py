"""A host's use of the suspect slots that the leader of the log granted it."""

import collections
import math

from lycheegauge.internal.protocol import roster

GRANT_S = 2.5
"""How long a grant is used after the pull that asked for it was sent, in seconds."""

SETTLING_TIME_S = 1.0
"""How long the slot of a request that broke off stays taken, in seconds: by then it is
known whether its server crashed."""


class SuspectSlots:
    """Tracks which slots this host wants, holds and uses."""

    def __init__(self) -> None:
        self._waiting: collections.Counter[str] = collections.Counter()
        self._taken_until: dict[str, float] = {}
        self._granted_until: dict[str, float] = {}
        self._released_at: dict[str, float] = {}

    def list_requests(self, now: float) -> tuple[roster.SuspectSlotRequest, ...]:
        """Lists the slots that this host wants or uses."""
        names = sorted({*+self._waiting, *self._list_taken(now)})
        return tuple(
            roster.SuspectSlotRequest(name, self._is_taken(name, now)) for name in names
        )

    def apply_grants(self, services: tuple[str, ...], sent_at: float) -> None:
        """Applies the grants in the reply to a pull.

        Args:
            services: The services whose slot this host holds.
            sent_at: When the pull was sent, in seconds.
        """
        # Each run needs a grant of its own, so that hosts that wait get their turn.
        self._granted_until = {
            service: sent_at + GRANT_S
            for service in services
            if sent_at >= self._released_at.get(service, -math.inf)
        }

    def begin_wait(self, service: str) -> None:
        """Records that one more request waits for a slot."""
        self._waiting[service] += 1

    def end_wait(self, service: str) -> None:
        """Records that a request no longer waits."""
        self._waiting[service] -= 1

    def take(self, service: str, now: float) -> bool:
        """Takes a slot that is granted and free; returns whether it was."""
        if self._is_taken(service, now):
            return False
        if now >= self._granted_until.get(service, -math.inf):
            return False
        self._taken_until[service] = math.inf
        return True

    def release(self, service: str, now: float, has_broken_off: bool) -> None:
        """Returns a slot, after a while if the request in it broke off."""
        until = now + SETTLING_TIME_S if has_broken_off else now
        self._taken_until[service] = self._released_at[service] = until
        self._granted_until.pop(service, None)

    def _is_taken(self, service: str, now: float) -> bool:
        return now < self._taken_until.get(service, -math.inf)

    def _list_taken(self, now: float) -> list[str]:
        self._taken_until = {
            name: until for name, until in self._taken_until.items() if now < until
        }
        return list(self._taken_until)

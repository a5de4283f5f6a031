"""Predicts how long a request would wait for a slot, and refuses what is too late.

A server with more open requests than slots serves the others first. They leave
at a rate of its slots over the usual time of a request. A request whose first
byte would come long after its target takes the place of one that could still be
on time, so it is better told at once when to come back.
"""

AVERAGE_SHARE = 0.05
"""Weight of the newest request's time in the average: about twenty count."""

WAIT_TARGETS_MAX = 0.25
"""Part of the first byte's target that a request may wait for its slot; the rest is
for its own prompt. See the overload in the tests: a longer wait makes all late."""

RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 2.0
"""Callers honour up to a third of their time; most have some seconds."""


class WaitForecast:
    """The usual time of one service's requests, and what it means for a queue."""

    def __init__(self) -> None:
        self._usual_s = 0.0

    def note_served(self, seconds: float) -> None:
        """Takes the time that a request held its slot."""
        if self._usual_s:
            self._usual_s += AVERAGE_SHARE * (seconds - self._usual_s)
        else:
            self._usual_s = seconds

    def predict_wait(self, busy_share: float, slots: int) -> float:
        """Predicts the wait at a server, in seconds.

        Args:
            busy_share: Open requests over slots.
            slots: The server's slots.
        """
        ahead = busy_share * slots - slots + 1
        return max(0.0, ahead) * self._usual_s / max(1, slots)


def find_return_time(wait_s: float, target_first_s: float) -> float | None:
    """Returns when a caller should come back, or ``None`` to admit its request.

    Args:
        wait_s: The predicted wait for a slot.
        target_first_s: The first byte is on time within it.
    """
    if wait_s <= WAIT_TARGETS_MAX * target_first_s:
        return None
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

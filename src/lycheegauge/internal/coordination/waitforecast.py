"""Predicts the wait for a slot, to refuse requests that would be too late.

A server with more open requests than slots serves the earlier requests first. They
finish at a rate of its slots divided by the average service time. A request whose
first byte would come long after its target takes the place of one that could still be
on time, so it is refused at once with a time after which to retry.
"""

NEWEST_WEIGHT = 0.05
"""Weight of the newest request in the average service time, which so covers about
twenty requests."""

MAX_WAIT_FRACTION = 0.25
"""Fraction of the target time to first byte that a request may wait for a slot; the
rest is for processing its prompt. A longer wait makes all requests late; see the
overload in the tests."""

RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 2.0
"""Callers accept a retry delay of up to a third of their time limit, which is some
seconds for most."""


class WaitForecast:
    """Predicts queueing delay from the average service time of one service."""

    def __init__(self) -> None:
        self._average_s = 0.0

    def note_served(self, seconds: float) -> None:
        """Updates the average with the time for which a request held its slot."""
        if self._average_s:
            self._average_s += NEWEST_WEIGHT * (seconds - self._average_s)
        else:
            self._average_s = seconds

    def predict_wait(self, busy_share: float, slots: int) -> float:
        """Predicts the wait at a server, in seconds.

        Args:
            busy_share: Open requests divided by slots.
            slots: Number of slots of the server.
        """
        ahead = busy_share * slots - slots + 1
        return max(0.0, ahead) * self._average_s / max(1, slots)


def compute_retry_after(wait_s: float, target_first_s: float) -> float | None:
    """Returns the seconds after which to retry, or ``None`` to admit the request.

    Args:
        wait_s: Predicted wait for a slot, in seconds.
        target_first_s: Target time to first byte, in seconds.
    """
    if wait_s <= MAX_WAIT_FRACTION * target_first_s:
        return None
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

"""Predicts the wait for a slot, to refuse requests that would be too late.

A server with more open requests than slots serves the earlier requests first. They
finish at a rate of its slots divided by the average service time. A request whose
first byte would come long after its target takes the place of one that could still be
on time, so it is refused at once with a time after which to retry.
"""

AVERAGE_SHARE = 0.05
"""Weight of the newest request in the average service time, which so covers about
twenty requests."""

WAIT_TARGETS_MAX = 0.25
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
        self._usual_s = 0.0

    def note_served(self, seconds: float) -> None:
        """Updates the average with the time for which a request held its slot."""
        if self._usual_s:
            self._usual_s += AVERAGE_SHARE * (seconds - self._usual_s)
        else:
            self._usual_s = seconds

    def predict_wait(self, busy_share: float, slots: int) -> float:
        """Predicts the wait at a server, in seconds.

        Args:
            busy_share: Open requests divided by slots.
            slots: Number of slots of the server.
        """
        ahead = busy_share * slots - slots + 1
        return max(0.0, ahead) * self._usual_s / max(1, slots)


def find_return_time(wait_s: float, target_first_s: float) -> float | None:
    """Returns the seconds after which to retry, or ``None`` to admit the request.

    Args:
        wait_s: Predicted wait for a slot, in seconds.
        target_first_s: Target time to first byte, in seconds.
    """
    if wait_s <= WAIT_TARGETS_MAX * target_first_s:
        return None
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

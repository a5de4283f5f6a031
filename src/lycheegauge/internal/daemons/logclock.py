"""The log time, with which a leader timestamps changes."""


class LogClock:
    """A clock in log seconds that never goes back, even when the leader changes.

    A new leader continues from the last time in the log. The time between two
    leaders is not counted, so claims are kept slightly longer, never shorter.
    """

    def __init__(self) -> None:
        self._log_time_s = 0.0
        self._read_at: float | None = None

    def read(self, applied_s: float, now: float) -> float:
        """Returns the log time, in log seconds.

        Args:
            applied_s: The last log time that was applied from the log.
            now: The monotonic time, in seconds.
        """
        if self._read_at is not None:
            self._log_time_s += now - self._read_at
        self._read_at = now
        self._log_time_s = max(self._log_time_s, applied_s)
        return self._log_time_s

"""The time that a leader stamps changes with."""


class LogClock:
    """Counts log seconds: never back, whoever leads.

    A new leader goes on from the last time in the log; the time between two
    leaders is not counted, so claims are kept a little longer, never shorter.
    """

    def __init__(self) -> None:
        self._log_time_s = 0.0
        self._read_at: float | None = None

    def read(self, applied_s: float, now: float) -> float:
        """Returns the log time, given the last one in the log."""
        if self._read_at is not None:
            self._log_time_s += now - self._read_at
        self._read_at = now
        self._log_time_s = max(self._log_time_s, applied_s)
        return self._log_time_s

"""Measures a backend server's throughput and stalls for its agent."""

SPEED_WEIGHT = 0.1
MIN_RUN_S = 1e-3


class LoadMeter:
    """Averages completions per second and detects a server that does not answer.

    Attributes:
        speed: Moving average of completions per second.
    """

    def __init__(self) -> None:
        self.speed = 0.0
        self._last_first_token_at = 0.0

    def note_completion(self, duration_s: float, running: int) -> None:
        """Records a completed run, one of ``running`` concurrent ones."""
        speed = running / max(duration_s, MIN_RUN_S)
        self.speed += SPEED_WEIGHT * (speed - self.speed)

    def note_first_token(self, now: float) -> None:
        """Records that any run received its first token."""
        self._last_first_token_at = now

    def measure_wait(self, started_at: float, now: float) -> float:
        """Returns how long a run has waited without a first token for any run.

        A single long prompt may wait while other runs progress; only a server that
        answers no request at all counts as stalled.
        """
        return now - max(started_at, self._last_first_token_at)

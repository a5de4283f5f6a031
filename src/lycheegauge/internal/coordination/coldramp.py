"""Limits what a cold backend server gets, over all entry hosts together."""

import dataclasses

BURST = 1.0
"""Requests that a host may send at once to a cold server."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class ColdRamp:
    """One host's equal part of each cold server's rate."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def may_take(self, server: str, rate: float, hosts: int, now: float) -> bool:
        """Tells whether a request may go to a cold server; ``take`` takes it.

        Args:
            server: The cold server.
            rate: Requests a second that it bears from all hosts together.
            hosts: How many hosts share it.
            now: Seconds.
        """
        return self._fill(server, rate / max(1, hosts), now).tokens >= 1.0

    def take(self, server: str) -> None:
        """Counts a request that goes to a cold server."""
        self._buckets[server].tokens -= 1.0

    def forget(self, server: str) -> None:
        """Forgets a server that is warm or gone."""
        self._buckets.pop(server, None)

    def _fill(self, server: str, rate: float, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(server, _Bucket(BURST, now))
        bucket.tokens = min(BURST, bucket.tokens + (now - bucket.filled_at) * rate)
        bucket.filled_at = now
        return bucket

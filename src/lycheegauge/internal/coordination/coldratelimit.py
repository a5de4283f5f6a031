"""Limits the request rate of cold backend servers across all entry hosts."""

import dataclasses

BURST = 1.0
"""Requests that one entry host may send to a cold server at once."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class ColdRateLimiter:
    """Token buckets for one entry host's share of each cold server's rate."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def may_take(self, server: str, rate: float, fraction: float, now: float) -> bool:
        """Returns whether a token is available; ``take`` consumes it.

        Args:
            server: The cold server's name.
            rate: Requests per second allowed from all entry hosts together.
            fraction: This host's fraction of the rate.
            now: Current time in seconds.
        """
        return fraction > 0 and self._refill(server, rate * fraction, now).tokens >= 1.0

    def take(self, server: str) -> None:
        """Consumes a token for a request sent to a cold server."""
        self._buckets[server].tokens -= 1.0

    def forget(self, server: str) -> None:
        """Removes the bucket of a server that is warm or no longer listed."""
        self._buckets.pop(server, None)

    def _refill(self, server: str, rate: float, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(server, _Bucket(BURST, now))
        bucket.tokens = min(BURST, bucket.tokens + (now - bucket.refilled_at) * rate)
        bucket.refilled_at = now
        return bucket

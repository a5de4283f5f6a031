"""Distinguishes stalled servers from slow ones by comparing with their peers."""

import math

RECENT_OUTPUT_S = 0.3
"""A service is making progress if another of its servers sent output within this many
seconds; it covers several passes of a lock-step group."""

SILENCE_TARGET_MULTIPLE = 2.5
"""Multiple of the first-byte target after which a server that had a free slot is later
than its own prompt can explain. A request resent at that point is still answered
before most callers leave."""


class ServerProgress:
    """Tracks when each server of each service last sent a part of any answer."""

    def __init__(self) -> None:
        self._last_output_at: dict[str, dict[str, float]] = {}

    def note_part(self, service: str, server: str, now: float) -> None:
        """Records that a server sent a part of an answer."""
        self._last_output_at.setdefault(service, {})[server] = now

    def is_lagging(self, service: str, server: str, sent_at: float, now: float) -> bool:
        """Returns whether a server is silent while others of its service answer.

        Args:
            service: The server's service.
            server: The server that a request was sent to.
            sent_at: When the request was sent, in seconds.
            now: The current time, in seconds.
        """
        last_output_at = self._last_output_at.get(service, {})
        if last_output_at.get(server, sent_at) > sent_at:
            return False
        return any(
            now - at < RECENT_OUTPUT_S
            for other, at in last_output_at.items()
            if other != server
        )

    def get_silence_s(self, service: str, server: str, now: float) -> float:
        """Returns the time since another server of a service sent a part, in seconds.

        It is infinite if none of them did.
        """
        last_output_at = self._last_output_at.get(service, {})
        others = (at for other, at in last_output_at.items() if other != server)
        return now - max(others, default=-math.inf)

    def drop_silent(self, before: float) -> None:
        """Drops servers that have sent nothing since ``before``."""
        for last_output_at in self._last_output_at.values():
            for server, at in list(last_output_at.items()):
                if at < before:
                    del last_output_at[server]

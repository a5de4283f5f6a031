"""Tells a lost answer from a slow one by what other servers do meanwhile."""

RECENT_S = 0.3
"""A service whose other servers sent something within it goes on, in seconds;
several passes of a lock-step group fit in."""

SILENT_TARGETS = 2.5
"""Part of the first byte's target after which a server that had a free slot is late
beyond what its own prompt explains. What is sent again then still arrives before
most callers leave."""


class ServerProgress:
    """Remembers when each server last sent a part of any answer."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def note_part(self, server: str, now: float) -> None:
        """Notes that a server sent something."""
        self._heard_at[server] = now

    def is_left_behind(self, server: str, sent_at: float, now: float) -> bool:
        """Tells whether a server is silent while others answer.

        Args:
            server: The server that a request was sent to.
            sent_at: When that was, in seconds.
            now: Seconds.
        """
        if self._heard_at.get(server, sent_at) > sent_at:
            return False
        return any(
            now - heard_at < RECENT_S
            for other, heard_at in self._heard_at.items()
            if other != server
        )

    def forget(self, before: float) -> None:
        """Forgets servers that have been silent since then."""
        for server, heard_at in list(self._heard_at.items()):
            if heard_at < before:
                del self._heard_at[server]

"""Tells a lost answer from a slow one by what other servers do meanwhile."""

RECENT_S = 0.3
"""A service whose other servers sent something within it goes on, in seconds;
several passes of a lock-step group fit in."""

SILENT_TARGETS = 2.5
"""Part of the first byte's target after which a server that had a free slot is late
beyond what its own prompt explains. What is sent again then still arrives before
most callers leave."""


class ServerProgress:
    """Remembers when each server of each service last sent a part of any answer."""

    def __init__(self) -> None:
        self._heard_at: dict[str, dict[str, float]] = {}

    def note_part(self, service: str, server: str, now: float) -> None:
        """Notes that a server sent something."""
        self._heard_at.setdefault(service, {})[server] = now

    def is_left_behind(
        self, service: str, server: str, sent_at: float, now: float
    ) -> bool:
        """Tells whether a server is silent while others of its service answer.

        Args:
            service: The server's service.
            server: The server that a request was sent to.
            sent_at: When that was, in seconds.
            now: Seconds.
        """
        heard_at = self._heard_at.get(service, {})
        if heard_at.get(server, sent_at) > sent_at:
            return False
        return any(
            now - at < RECENT_S for other, at in heard_at.items() if other != server
        )

    def forget(self, before: float) -> None:
        """Forgets servers that have been silent since then."""
        for heard_at in self._heard_at.values():
            for server, at in list(heard_at.items()):
                if at < before:
                    del heard_at[server]

"""Cuts a stream of server-sent events at event borders and reads their ids.

Only whole events are passed on, so that a stream that breaks off in the middle
of one can go on at another server without a torn or doubled event.
"""

BORDER = b"\n\n"
ID_FIELD = b"id:"


class EventCutter:
    """Collects bytes and returns whole events.

    Attributes:
        last_id: The id of the last event returned; empty before the first.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an unfinished event wait."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns all events that are whole now."""
        joined = self._rest + data
        end = joined.rfind(BORDER)
        if end < 0:
            self._rest = joined
            return b""
        whole, self._rest = joined[: end + 2], joined[end + 2 :]
        self._note_last_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Drops an unfinished event, whose stream broke off."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Takes what follows the last event, at the stream's regular end."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif events.startswith(ID_FIELD):
            start = 0
        else:
            return
        line = events[start + len(ID_FIELD) :].partition(b"\n")[0]
        self.last_id = line.strip().decode("ascii", "replace")

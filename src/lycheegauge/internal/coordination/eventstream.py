"""Splits a stream of server-sent events at event boundaries and reads event ids.

Only complete events are forwarded, so that a stream that breaks off in the middle
of an event can be resumed at another server without a truncated or duplicated
event.
"""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers bytes and returns complete events.

    Attributes:
        last_id: Id of the last event returned; until then the id given at the
            start, which is empty by default.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._buffer = b""

    @property
    def has_incomplete_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns all events that are now complete."""
        joined = self._buffer + data
        end = joined.rfind(EVENT_END)
        if end < 0:
            self._buffer = joined
            return b""
        complete, self._buffer = joined[: end + 2], joined[end + 2 :]
        self._update_last_id(complete)
        return complete

    def discard_incomplete_event(self) -> None:
        """Discards an incomplete event after its stream broke off."""
        self._buffer = b""

    def take_remainder(self) -> bytes:
        """Returns and clears the bytes after the last event, at the stream's end."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def _update_last_id(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif events.startswith(ID_FIELD):
            start = 0
        else:
            return
        line = events[start + len(ID_FIELD) :].partition(b"\n")[0]
        self.last_id = line.strip().decode("ascii", "replace")

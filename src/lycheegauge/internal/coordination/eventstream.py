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
        attempt_has_events: Whether the current attempt has sent a complete event.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.attempt_has_events = False
        self._buffer = b""

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
        self.attempt_has_events = True
        return complete

    def begin_attempt(self) -> None:
        """Discards an incomplete event of an earlier attempt that broke off."""
        self.attempt_has_events = False
        self._buffer = b""

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

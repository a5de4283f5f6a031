"""Splits a stream of server-sent events at event boundaries and reads event ids.

Only complete events are forwarded, so that a stream that breaks off in the middle
of an event can be resumed at another server without a truncated or duplicated
event. A line may end in LF, CR LF or CR (HTML Living Standard, section 9.2.5).
"""

import re

EVENT_MAX_BYTES = 1_048_576
"""Size limit of one event; a server may send one that never ends."""

EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
FIELD_LINE = re.compile(rb"(?:^|[\r\n])(?:(?:data|id|event|retry)(?![^:\r\n])|:)")
"""A line of a field that the standard knows, or a comment."""

ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")


class EventSplitter:
    """Buffers bytes and returns complete events.

    Attributes:
        last_id: Id of the last event returned; until then the id given at the
            start, which is empty by default.
        attempt_has_events: Whether the current attempt has sent a complete event.
        is_malformed: Whether the current attempt, which continues the stream of an
            earlier one, has sent something else than events.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.attempt_has_events = False
        self.is_malformed = False
        self._continues = False
        self._buffer = b""
        self._count = 0

    @property
    def incomplete_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event."""
        return len(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is over the size limit."""
        return len(self._buffer) > EVENT_MAX_BYTES

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns all events that are now complete."""
        if self.is_malformed:
            return b""
        joined = self._buffer + data
        end = _find_last_event_end(joined)
        if self._continues:
            events_end = _find_other_block(joined[:end])
            if events_end < end:
                self.is_malformed = True
                joined, end = joined[:events_end], events_end
        if end:
            self._count += count_events(joined[:end])
            self._update_last_id(joined[:end])
            self.attempt_has_events = True
        # Blank lines belong to no event. One may be the LF of a CR LF whose CR came
        # before.
        self._buffer = joined[end:].lstrip(b"\r\n")
        return joined[: len(joined) - len(self._buffer)]

    def begin_attempt(self, continues: bool = False) -> None:
        """Discards an incomplete event of an earlier attempt that broke off.

        Args:
            continues: Whether the attempt continues what an earlier one has begun. Its
                bytes are checked, as they may be an error instead.
        """
        self.attempt_has_events = self.is_malformed = False
        self._continues = continues
        self._buffer = b""

    def pop_count(self) -> int:
        """Returns the number of events that were completed since the last call."""
        count, self._count = self._count, 0
        return count

    def _update_last_id(self, events: bytes) -> None:
        ids = ID_LINE.findall(events)
        if ids:
            self.last_id = ids[-1].strip().decode("ascii", "replace")


def count_events(events: bytes) -> int:
    """Counts the events in bytes that ``EventSplitter.feed`` returned."""
    if b"\r" not in events:
        return events.count(b"\n\n")
    return sum(1 for _ in EVENT_END.finditer(events))


def _find_other_block(events: bytes) -> int:
    """Returns the offset of the first block without a field; the length for none."""
    start = 0
    for found in EVENT_END.finditer(events):
        block = events[start : found.end()].strip(b"\r\n")
        if block and not FIELD_LINE.search(block):
            return start
        start = found.end()
    return len(events)


def _find_last_event_end(data: bytes) -> int:
    """Returns the offset after the last complete event; 0 if there is none."""
    if b"\r" not in data:
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    return max((found.end() for found in EVENT_END.finditer(data)), default=0)

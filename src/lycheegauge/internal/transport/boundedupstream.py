"""Connections to backend servers whose held bytes are counted and bounded."""

import asyncio

from lycheegauge.internal.transport import bytebudget, upstream

READ_MAX_BYTES = 32_768
"""Size limit of one read. asyncio's own is 256 KiB, which alone exceeds a share. What
is read at once is held until its last byte is sent."""

WRITE_PIECE_BYTES = 65_536
"""How much of a request body is handed to the transport at a time. The transport
copies what the system does not take at once."""


class BoundedConnection(upstream.UpstreamConnection, asyncio.BufferedProtocol):
    """A connection that holds at most its share of unread and unsent bytes.

    Args:
        budget: The bytes held by the process.
        buffer: Takes each read, until it is parsed; shared by all connections.
    """

    def __init__(self, budget: bytebudget.ByteBudget, buffer: memoryview) -> None:
        super().__init__()
        self._budget = budget
        self._buffer = buffer
        self._rest = memoryview(b"")
        self._is_writing_paused = False
        self._is_held = False
        self._sent_bytes = 0

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and limits what is buffered."""
        super().connection_made(transport)
        assert self._transport is not None
        # Writing pauses until the transport's buffer is empty.
        self._transport.set_write_buffer_limits(high=0)
        bytebudget.limit_system_buffer(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which is at most half a share."""
        return self._buffer[: self._budget.share_bytes // 2]

    def buffer_updated(self, nbytes: int) -> None:
        """Parses a read."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def pause_writing(self) -> None:
        """Stops writing the body, as the server does not take it."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Goes on with writing the body."""
        self._is_writing_paused = False
        self._write_rest()

    def connection_lost(self, error: Exception | None) -> None:
        """Returns what is held for the connection."""
        self._release()
        super().connection_lost(error)

    # Called by the code that sends requests.

    def hold_reading(self) -> None:
        """Pauses reading while the caller delays the response."""
        self._is_held = True
        self._limit_reading()

    def release_reading(self) -> None:
        """Ends the pause."""
        self._is_held = False
        self._limit_reading()

    def move_bytes(self, holder: bytebudget.Holder | None) -> None:
        """Counts the bytes of the current request with another holder."""
        super().move_bytes(holder)
        self._limit_reading()
        self._write_rest()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._release()
        super().abort()

    def hang_up(self) -> bool:
        """Closes the sending side; what is read from now on is not counted."""
        can_read = super().hang_up()
        self._release()
        return can_read

    def _has_unsent(self, transport: asyncio.Transport) -> bool:
        return bool(self._rest) or super()._has_unsent(transport)

    def _finish_response(self) -> None:
        if self._rest:
            # The next request would follow an incomplete body.
            self._is_busy = False
            self.abort()
            return
        super()._finish_response()
        self._release()

    def _write_request(self, head: bytes, body: bytes) -> None:
        assert self._transport is not None
        if len(body) <= WRITE_PIECE_BYTES:
            super()._write_request(head, body)
            self._sent_bytes = len(head) + len(body)
        else:
            self._transport.write(head)
            self._sent_bytes = len(head)
            self._rest = memoryview(body)
        self._write_rest()

    def _write_rest(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        while self._rest and not self._is_writing_paused:
            piece = self._rest[:WRITE_PIECE_BYTES]
            self._rest = self._rest[WRITE_PIECE_BYTES:]
            self._transport.write(piece)
            self._sent_bytes += len(piece)
        self._count_unsent(self._transport.get_write_buffer_size())

    def _count_unsent(self, unsent_bytes: int) -> None:
        holder = self.holder
        if holder is None:
            return
        holder.set_bytes(bytebudget.Part.TO_SERVER, unsent_bytes)
        if unsent_bytes or self._rest:
            holder.begin_wait(bytebudget.Side.SERVER, self._measure_taken)
        else:
            holder.end_wait(bytebudget.Side.SERVER)

    def _measure_taken(self) -> int:
        """Counts the bytes of the request that the server's system has taken."""
        if self._transport is None or self._transport.is_closing():
            return self._sent_bytes
        unsent_bytes = self._transport.get_write_buffer_size()
        connected = self._transport.get_extra_info("socket")
        in_system = bytebudget.count_unacknowledged(connected)
        return self._sent_bytes - unsent_bytes - in_system

    def _limit_reading(self) -> None:
        transport, holder = self._transport, self.holder
        if holder is not None:
            holder.set_bytes(bytebudget.Part.FROM_SERVER, self._unread_bytes)
        if transport is None or transport.is_closing():
            return
        share_bytes = self._budget.share_bytes
        if self._is_reading_paused:
            if not self._is_held and self._unread_bytes <= share_bytes // 2:
                self._is_reading_paused = False
                transport.resume_reading()
        elif self._is_held or self._unread_bytes > share_bytes:
            self._is_reading_paused = True
            transport.pause_reading()

    def _release(self) -> None:
        """Returns what is held for the request."""
        holder, self.holder = self.holder, None
        self._rest = memoryview(b"")
        if holder is not None:
            holder.set_bytes(bytebudget.Part.FROM_SERVER, 0)
            holder.set_bytes(bytebudget.Part.TO_SERVER, 0)
            holder.end_wait(bytebudget.Side.SERVER)


def make_pool(budget: bytebudget.ByteBudget | None) -> upstream.ConnectionPool:
    """Creates a pool; its connections are bounded if there is a budget."""
    if budget is None:
        return upstream.ConnectionPool()
    buffer = memoryview(bytearray(READ_MAX_BYTES))
    return upstream.ConnectionPool(lambda: BoundedConnection(budget, buffer))

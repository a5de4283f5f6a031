"""Keeps the unsent bytes to each caller within the share of its connection."""

import asyncio
import collections.abc
import typing

import tornado.iostream

from lycheegauge.internal.transport import bytebudget, clock


class ReadingSource(typing.Protocol):
    """A connection whose reading can be paused."""

    def hold_reading(self) -> None:
        """Pauses reading."""

    def release_reading(self) -> None:
        """Ends the pause."""


class CallerShare:
    """The unsent bytes to one caller, which are kept within the connection's share.

    Args:
        stream: The connection to the caller.
        holder: Counts the bytes.

    Attributes:
        delayed_s: For how long the caller has delayed its response, in seconds.
        longest_delay_s: The longest pause in reading from the server for it.
    """

    PIECE_BYTES = 32_768

    MARK_BYTES = 16_384
    """Distance at which sent bytes are noticed; each write has its own cost."""

    def __init__(
        self, stream: tornado.iostream.IOStream, holder: bytebudget.Holder
    ) -> None:
        self.delayed_s = 0.0
        self.longest_delay_s = 0.0
        self._stream = stream
        self._holder = holder
        self._marks = 0
        self._marked_at = 0
        self._resume_at_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    def note_written(self) -> None:
        """Counts what a write has left unsent."""
        if self._stream.closed():
            return
        unsent_bytes = len(self._stream._write_buffer)
        self._holder.set_bytes(bytebudget.Part.TO_CALLER, unsent_bytes)
        # The holder may have been ended to make room, which closes the stream.
        if unsent_bytes and not self._stream.closed():
            self._holder.begin_wait(bytebudget.Side.CALLER, self._measure_taken)
            self._mark_written()

    async def write(
        self,
        write: collections.abc.Callable[[bytes], object],
        data: bytes,
        source: ReadingSource | None,
    ) -> float:
        """Writes in pieces, and pauses the source while the share is exceeded.

        Returns:
            For how long the caller delayed the response, in seconds.
        """
        delayed_before_s = self.delayed_s
        if len(data) > self.PIECE_BYTES:
            self._holder.set_bytes(bytebudget.Part.PENDING, len(data))
        for start in range(0, len(data), self.PIECE_BYTES):
            write(data[start : start + self.PIECE_BYTES])
            self.note_written()
            share_bytes = self._holder.budget.share_bytes
            if self._count_unsent() > share_bytes:
                await self._wait_until_sent(share_bytes // 2, source)
        self._holder.set_bytes(bytebudget.Part.PENDING, 0)
        return self.delayed_s - delayed_before_s

    def call_when_sent(self, callback: collections.abc.Callable[[], object]) -> None:
        """Calls ``callback`` when everything is sent or the connection is closed."""
        if not self._count_unsent():
            callback()
            return
        marker = self._stream.write(b"")
        marker.add_done_callback(lambda _: callback())

    async def _wait_until_sent(
        self, left_bytes: int, source: ReadingSource | None
    ) -> None:
        began_at = clock.read_clock()
        self._resume_at_bytes = left_bytes
        if source is not None:
            source.hold_reading()
        try:
            while self._count_unsent() > left_bytes:
                self._waiter = asyncio.get_running_loop().create_future()
                await self._waiter
        finally:
            self._waiter = None
            delay_s = clock.read_clock() - began_at
            self.delayed_s += delay_s
            self.longest_delay_s = max(self.longest_delay_s, delay_s)
            if source is not None:
                source.release_reading()

    def _mark_written(self) -> None:
        """Asks to be told when what is written so far has been sent."""
        written = self._stream._total_write_index
        if not self._marks or written >= self._marked_at + self.MARK_BYTES:
            self._marked_at = written
            self._marks += 1
            # An empty write ends when everything before it is sent.
            marker = self._stream.write(b"")
            marker.add_done_callback(lambda _: self._note_sent())

    def _note_sent(self) -> None:
        self._marks -= 1
        unsent_bytes = 0
        # If the holder is closed, the connection may carry another response already.
        if not self._holder.is_closed:
            unsent_bytes = self._count_unsent()
            self._holder.set_bytes(bytebudget.Part.TO_CALLER, unsent_bytes)
            if not unsent_bytes:
                self._holder.end_wait(bytebudget.Side.CALLER)
            elif not self._marks:
                self._mark_written()
        waiter = self._waiter
        if (
            waiter is not None
            and not waiter.done()
            and unsent_bytes <= self._resume_at_bytes
        ):
            waiter.set_result(None)

    def _count_unsent(self) -> int:
        return 0 if self._stream.closed() else len(self._stream._write_buffer)

    def _measure_taken(self) -> int:
        if self._stream.closed():
            return 0
        in_system = bytebudget.count_unacknowledged(self._stream.socket)
        return self._stream._total_write_done_index - in_system

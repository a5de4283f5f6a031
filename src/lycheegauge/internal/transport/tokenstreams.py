"""Parses an engine's server-sent events, with size limits and back-pressure."""

import asyncio
import collections.abc
import json
import typing

MAX_BUFFERED_TOKENS = 16

EVENT_BYTES_MAX = 256 * 1024
"""Size limit of an event, in case an engine sends a line that never ends."""


class AbandonedError(Exception):
    """Ends the HTTP request of a stream that failed or is not read any more."""


class EventStream:
    """Parses server-sent events into tokens, with back-pressure.

    Attributes:
        is_complete: Whether the end marker was received; later events are ignored.
        problem: Why the stream failed; empty unless it has.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.problem = ""
        self._pending = b""
        self._tokens: asyncio.Queue[str] = asyncio.Queue(MAX_BUFFERED_TOKENS)
        self._closed = asyncio.Event()
        self._abandoned = False

    async def feed_bytes(self, chunk: bytes) -> None:
        """Parses a chunk of bytes; waits while the token buffer is full.

        Raises:
            AbandonedError: The reader has stopped, or the stream is malformed.
        """
        pending = (self._pending + chunk).replace(b"\r\n", b"\n")
        *events, self._pending = pending.split(b"\n\n")
        for event in events:
            await self._process_event(event)
        if len(self._pending) > EVENT_BYTES_MAX:
            self._fail(f"event larger than {EVENT_BYTES_MAX} bytes")

    async def _process_event(self, event: bytes) -> None:
        if self._abandoned:
            raise AbandonedError
        lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
        data = b"\n".join(line[len(b"data:") :].strip() for line in lines)
        if self.is_complete or not lines:
            return
        if data == b"[DONE]":
            self.is_complete = True
            return
        await self._tokens.put(self._read_token(data))

    def _read_token(self, data: bytes) -> str:
        try:
            token = json.loads(data)["choices"][0]["text"]
        except (ValueError, LookupError, TypeError, RecursionError) as error:
            self._fail(f"event without a token: {error!r}"[:200])
        if not isinstance(token, str):
            self._fail("text of an event is not a string")
        return str(token)

    def _fail(self, problem: str) -> typing.NoReturn:
        self.problem = problem
        self._closed.set()
        raise AbandonedError(problem)

    def close_on_done(self, fetch: asyncio.Future[typing.Any]) -> None:
        """Closes the stream when the HTTP request has ended."""
        self._closed.set()
        if not fetch.cancelled():
            # Marks the exception as retrieved, so that asyncio does not log it.
            fetch.exception()

    def abandon(self) -> None:
        """Discards the buffered tokens when nothing reads the stream any more."""
        self._abandoned = True
        while not self._tokens.empty():
            self._tokens.get_nowait()

    async def tokens(
        self, first_token_timeout_s: float
    ) -> collections.abc.AsyncIterator[str]:
        """Yields tokens until the stream closes.

        The stream fails if the first token takes longer than the timeout.
        Otherwise an engine that never responds would hold the run for an hour.
        """
        timeout_s: float | None = first_token_timeout_s
        closed = asyncio.ensure_future(self._closed.wait())
        try:
            while True:
                if not self._tokens.empty():
                    timeout_s = None
                    yield self._tokens.get_nowait()
                    continue
                if closed.done():
                    return
                waiting = asyncio.ensure_future(self._tokens.get())
                done, _ = await asyncio.wait(
                    (waiting, closed),
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if waiting.done():
                    timeout_s = None
                    yield waiting.result()
                    continue
                waiting.cancel()
                if not done:
                    self.problem = f"no token within {first_token_timeout_s} s"
                    return
        finally:
            closed.cancel()

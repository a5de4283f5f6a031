"""Responses with neither a length nor chunks, which end with their connection.

A caller can't tell the regular close of such a response from its end. Until the
response is complete, its connection is therefore set to be reset when it is closed,
also if this process is killed.
"""

import asyncio
import collections.abc
import socket
import struct

import tornado.httputil
import tornado.iostream

BODYLESS_STATUS_CODES = (204, 304)
"""Status codes of responses that have no body (RFC 9112, section 6.3)."""

_LINGER_RESET = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)


class CloseDelimitedResponse:
    """Writes one response to a connection that the HTTP server has given up.

    It has the methods of tornado's ``HTTP1Connection`` that write a response.

    Args:
        stream: The connection to the caller.
        on_close: Called when the caller has closed the connection.
    """

    def __init__(
        self,
        stream: tornado.iostream.IOStream,
        on_close: collections.abc.Callable[[], None],
    ) -> None:
        self.stream = stream
        self._last_write: asyncio.Future[None] | None = None
        self._set_linger(_LINGER_RESET)
        stream.set_close_callback(on_close)

    def write_headers(
        self,
        start: tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> "asyncio.Future[None]":
        """Writes the status line and headers."""
        headers["Connection"] = "close"
        fields = "".join(f"{name}: {text}\r\n" for name, text in headers.get_all())
        head = f"{start.version} {start.code} {start.reason}\r\n{fields}\r\n"
        return self.write(head.encode("latin-1"))

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Writes a part of the body; the future ends when it is sent."""
        try:
            self._last_write = self.stream.write(data)
        except tornado.iostream.StreamClosedError as error:
            self._last_write = asyncio.get_running_loop().create_future()
            self._last_write.set_exception(error)
        return self._last_write

    def finish(self) -> None:
        """Closes the connection regularly once everything is sent."""
        if self._last_write is None:
            self._close_regularly()
        else:
            self._last_write.add_done_callback(lambda _: self._close_regularly())

    def close(self) -> None:
        """Resets the connection, as the response is incomplete."""
        self.stream.close()

    def _close_regularly(self) -> None:
        self._set_linger(_LINGER_OFF)
        self.stream.close()

    def _set_linger(self, option: bytes) -> None:
        _set_linger(self.stream, option)


def set_reset(stream: tornado.iostream.IOStream) -> None:
    """Sets a connection to be reset when it is closed, which drops its unsent data."""
    _set_linger(stream, _LINGER_RESET)


def _set_linger(stream: tornado.iostream.IOStream, option: bytes) -> None:
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

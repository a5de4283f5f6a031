"""Small messages between hosts that may be lost."""

import asyncio
import collections.abc
import typing

import loguru

from lycheegauge import errors
from lycheegauge.internal.protocol import codec
from lycheegauge.internal.transport import peers

SIZE_MAX_BYTES = 1400
"""A larger datagram would be split on its way, and lost with any of its parts."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Owns one UDP socket.

    Args:
        address: The address that it listens on.
        take: Called with each message that could be read.
    """

    def __init__(
        self, address: str, take: collections.abc.Callable[[typing.Any], None]
    ) -> None:
        self._address = address
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        host, port = peers.split_address(self._address)
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(
        self, addresses: collections.abc.Iterable[str], message: typing.Any
    ) -> bool:
        """Sends a message; returns whether it is small enough."""
        packed = codec.pack(message)
        if self._transport is None or len(packed) > SIZE_MAX_BYTES:
            return False
        for address in addresses:
            self._transport.sendto(packed, peers.split_address(address))
        return True

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Reads one message; unreadable bytes are dropped."""
        try:
            message = codec.unpack(data)
        except errors.BorderError as error:
            loguru.logger.debug(str(error), step="read datagram", peer=str(addr))
            return
        self._take(message)

    def error_received(self, error: Exception) -> None:
        """Notes that a host's port is closed; the next message may reach it."""
        loguru.logger.debug("a datagram was not delivered: {}", error)

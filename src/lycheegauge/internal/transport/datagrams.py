"""Small UDP messages between hosts, which may be lost."""

import asyncio
import collections.abc
import typing

import loguru

from lycheegauge import errors
from lycheegauge.internal.protocol import codec
from lycheegauge.internal.transport import peers

MAX_DATAGRAM_BYTES = 1400
"""A larger datagram would be fragmented, and lost if any fragment is lost."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Owns one UDP socket.

    Args:
        address: The address to listen on.
        on_message: Called with each message that could be decoded.
    """

    def __init__(
        self, address: str, on_message: collections.abc.Callable[[typing.Any], None]
    ) -> None:
        self._address = address
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The socket can't be bound to the address.
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
        """Sends a message unless it is too large; returns whether it was sent."""
        packed = codec.pack(message)
        if self._transport is None or len(packed) > MAX_DATAGRAM_BYTES:
            return False
        for address in addresses:
            self._transport.sendto(packed, peers.split_address(address))
        return True

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Decodes one message; malformed datagrams are dropped."""
        try:
            message = codec.unpack(data)
        except errors.BorderError as error:
            loguru.logger.debug(str(error), step="read datagram", peer=str(addr))
            return
        self._on_message(message)

    def error_received(self, error: Exception) -> None:
        """Logs a delivery error, such as a closed port; later sends may succeed."""
        loguru.logger.debug("datagram not delivered: {}", error)

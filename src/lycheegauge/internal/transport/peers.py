"""RPC between processes of the system: a server and a pool of client channels."""

import asyncio
import collections.abc
import contextlib
import typing

import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.protocol
import grpclib.server
import h2.exceptions

from lycheegauge import errors
from lycheegauge.internal.protocol import codec
from lycheegauge.internal.protocol.generated import services_grpc

CALL_TIMEOUT_S = 1.0

_FAILURES = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    h2.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``"ip:port"`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@contextlib.contextmanager
def translate_failures(step: str, address: str) -> collections.abc.Iterator[None]:
    """Converts the exceptions of the RPC library to ``PeerUnreachableError``."""
    try:
        yield
    except _FAILURES as error:
        detail = f"RPC failed: {type(error).__name__} {error}"
        raise errors.PeerUnreachableError(detail, step, address) from error
    except AttributeError as error:
        # grpclib deletes the transport of a connection that it closes. A call that has
        # just been given the connection then fails with this error.
        if not isinstance(error.obj, grpclib.protocol.Connection):
            raise
        detail = "RPC failed: the connection was closed before the call"
        raise errors.PeerUnreachableError(detail, step, address) from error


class ChannelPool:
    """Keeps one channel per peer address."""

    def __init__(self) -> None:
        self._channels: dict[str, grpclib.client.Channel] = {}

    def get_channel(self, address: str) -> grpclib.client.Channel:
        """Returns the channel to an address; it connects on the first call."""
        if address not in self._channels:
            self._channels[address] = grpclib.client.Channel(*split_address(address))
        return self._channels[address]

    def drop_channel(self, address: str) -> None:
        """Closes the channel to a peer that has failed or left."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for address in list(self._channels):
            self.drop_channel(address)

    async def call(
        self,
        address: str,
        step: str,
        method: collections.abc.Callable[[grpclib.client.Channel], typing.Any],
        message: typing.Any,
        timeout_s: float = CALL_TIMEOUT_S,
        drop_on_failure: bool = False,
    ) -> typing.Any:
        """Makes one unary call, converting the messages from and to data classes.

        Args:
            address: The peer's address.
            step: The purpose of the call, included in errors.
            method: Returns the stub's method for a channel.
            message: The data class to send.
            timeout_s: How long to wait for the response, in seconds.
            drop_on_failure: Whether to close the connection after a failure, so
                that the next call opens a new one. The connection may be dead
                without being closed. Other calls on it fail too.

        Raises:
            errors.PeerUnreachableError: The peer did not respond in time.
        """
        try:
            with translate_failures(step, address):
                call = method(self.get_channel(address))
                reply = await call(codec.encode(message), timeout=timeout_s)
        except errors.PeerUnreachableError as error:
            # A gRPC status was received, so the connection works.
            has_status = isinstance(error.__cause__, grpclib.exceptions.GRPCError)
            if drop_on_failure and not has_status:
                self.drop_channel(address)
            raise
        return codec.decode(reply)


class PeerServer:
    """RPC server for other processes of the system."""

    def __init__(self, address: str, services: list[typing.Any]) -> None:
        self._host, self._port = split_address(address)
        self._server = grpclib.server.Server(services)

    async def start(self) -> str:
        """Starts listening and returns the address, with the port in use."""
        await self._server.start(self._host, self._port)
        sockets = self._server._server.sockets
        self._port = sockets[0].getsockname()[1]
        return f"{self._host}:{self._port}"

    async def close(self) -> None:
        """Stops listening and closes open streams."""
        self._server.close()
        await self._server.wait_closed()


Handler = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[typing.Any]]


async def answer_unary(stream: typing.Any, handle: Handler) -> None:
    """Decodes the request of a unary call, handles it and sends the reply."""
    request = await stream.recv_message()
    if request is None:
        return
    try:
        reply = await handle(codec.decode(request))
    except errors.LycheegaugeError as error:
        # The caller decides how to handle it; it is no error of this process.
        status = grpclib.const.Status.UNAVAILABLE
        raise grpclib.exceptions.GRPCError(status, str(error)) from error
    await stream.send_message(codec.encode(reply))


async def open_run(
    pool: ChannelPool, address: str, order: typing.Any, timeout_s: float
) -> collections.abc.AsyncGenerator[typing.Any, None]:
    """Sends a work order to an agent and yields its replies.

    Closing the iterator resets the stream, which tells the agent to stop.

    Raises:
        errors.PeerUnreachableError: The stream ended with an error.
    """
    stub = services_grpc.AgentStub(pool.get_channel(address))
    with translate_failures("run", address):
        async with stub.Run.open(timeout=timeout_s) as stream:
            await stream.send_message(codec.encode(order), end=True)
            async for reply in stream:
                yield codec.decode(reply)

"""Callers and servers on raw sockets, which hold no bytes in this process's memory."""

import asyncio
import contextlib
import socket

from support import gatewayhost

RECEIVE_BYTES = 16_384
"""Receive buffer of the sockets; what a peer doesn't read waits in the entry host."""


class RawServer:
    """Answers by path; the handlers get the request's head and the connection.

    ``/small`` is answered at once; see the handlers for the others.
    """

    slots = 1000

    def __init__(self, body=b"x" * 2_000_000):
        self.body = body
        self.address = ""
        self.arrivals = []
        self.connections = []
        self._tasks = set()

    async def start(self):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._start_task(self._accept())

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connected in (self._listener, *self.connections):
            connected.close()

    def _start_task(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connected, _ = await loop.sock_accept(self._listener)
            connected.setblocking(False)
            self.connections.append(connected)
            self._start_task(self._serve(connected))

    async def _serve(self, connected):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                received = b""
                while b"\r\n\r\n" not in received:
                    part = await loop.sock_recv(connected, 4096)
                    if not part:
                        return
                    received += part
                path = received.split(b" ", 2)[1].decode()
                self.arrivals.append(path)
                await getattr(self, f"answer_{path.strip('/')}")(loop, connected)

    async def answer_small(self, loop, connected):
        await loop.sock_sendall(
            connected, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )

    async def answer_unread(self, loop, connected):
        """Reads nothing of the body and does not answer."""
        await asyncio.sleep(3600)

    async def answer_large(self, loop, connected):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
        await loop.sock_sendall(connected, head.encode())
        await loop.sock_sendall(connected, self.body)

    async def answer_events(self, loop, connected):
        """Streams the body in events, as fast as they are taken."""
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        await loop.sock_sendall(connected, head.encode())
        event = b"data: " + b"x" * 8000 + b"\n\n"
        for _ in range(len(self.body) // len(event)):
            await loop.sock_sendall(connected, event)
        connected.shutdown(socket.SHUT_RDWR)

    async def answer_cut(self, loop, connected):
        """Gives up on a response that is not taken within 1.5 seconds."""
        try:
            async with asyncio.timeout(1.5):
                await self.answer_large(loop, connected)
        except TimeoutError:
            self.connections.remove(connected)
            connected.close()


class RawCaller:
    """A caller that sends a request and reads only when told to."""

    def __init__(self, address):
        host, port = address.split(":")
        self._address = (host, int(port))
        self.received = b""

    async def open(self):
        self._loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.socket.setblocking(False)
        await self._loop.sock_connect(self.socket, self._address)
        return self

    async def send(self, path, body=b"", stated_bytes=None):
        count = len(body) if stated_bytes is None else stated_bytes
        head = (
            f"POST /{path} HTTP/1.1\r\nHost: {gatewayhost.HOST}\r\n"
            f"Content-Length: {count}\r\n\r\n"
        )
        await self._loop.sock_sendall(self.socket, head.encode())
        await self._loop.sock_sendall(self.socket, body)

    async def read(self, size=4096):
        part = await self._loop.sock_recv(self.socket, size)
        self.received += part
        return part

    async def read_status(self):
        while b"\r\n\r\n" not in self.received:
            if not await self.read():
                return 0
        return int(self.received.split(b" ", 2)[1])

    async def read_all(self, size=65_536, pause_s=0.0):
        """Reads to the end of the connection or of the stated length."""
        with contextlib.suppress(ConnectionError):
            while not self.is_complete and await self.read(size):
                await asyncio.sleep(pause_s)
        return self.received

    @property
    def is_complete(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        _, found, length = head.lower().partition(b"content-length: ")
        return bool(found) and len(body) >= int(length.split(b"\r\n")[0])

    def close(self):
        self.socket.close()

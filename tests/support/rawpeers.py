"""Callers and servers on raw sockets, which hold no bytes in this process's memory."""

import asyncio
import contextlib
import socket

from support import gatewayhost

RECEIVE_BYTES = 16_384
"""Receive buffer of the sockets; what a peer doesn't read waits in the entry host."""

EVENT = b"data: " + b"x" * 8000 + b"\n\n"


class RawServer:
    """Answers by path, a method for each; the listener accepts any number."""

    slots = 1000

    def __init__(self, body):
        self.body = body
        self.arrivals = []
        self._open = []
        self._tasks = set()

    async def start(self):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._listener.setblocking(False)
        self._open.append(self._listener)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._loop = asyncio.get_running_loop()
        self._tasks.add(asyncio.create_task(self._accept()))

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for item in self._open:
            item.close()

    async def _accept(self):
        while True:
            connected, _ = await self._loop.sock_accept(self._listener)
            connected.setblocking(False)
            self._open.append(connected)
            self._tasks.add(asyncio.create_task(self._serve(connected)))

    async def _serve(self, connected):
        with contextlib.suppress(OSError):
            while received := await self._loop.sock_recv(connected, 4096):
                path = received.split(b" ", 2)[1].decode().strip("/")
                self.arrivals.append(path)
                await getattr(self, f"answer_{path}")(connected)

    async def send(self, connected, body, head=b""):
        head = head or b"Content-Length: %d\r\n" % len(body)
        await self._loop.sock_sendall(connected, b"HTTP/1.1 200 OK\r\n%b\r\n" % head)
        await self._loop.sock_sendall(connected, body)

    async def answer_small(self, connected):
        await self.send(connected, b"ok")

    async def answer_unread(self, connected):
        await asyncio.sleep(3600)

    async def answer_large(self, connected):
        await self.send(connected, self.body)

    async def answer_events(self, connected):
        events = EVENT * (len(self.body) // len(EVENT))
        await self.send(connected, events, b"Content-Type: text/event-stream\r\n")
        connected.shutdown(socket.SHUT_RDWR)

    async def answer_cut(self, connected):
        """Gives up on an answer that is not taken within 1.5 seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.send(connected, self.body), 1.5)
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

    @property
    def is_complete(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        _, found, length = head.lower().partition(b"content-length: ")
        return bool(found) and len(body) >= int(length.split(b"\r\n")[0])

    def close(self):
        self.socket.close()

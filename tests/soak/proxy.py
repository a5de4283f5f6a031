"""A loopback proxy in front of one backend server that can disturb its traffic."""

import asyncio
import contextlib
import threading

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards TCP connections; ``mode`` says how their data is treated.

    Modes: ``pass``, ``delay`` (each chunk waits for ``delay_s``), ``silence``
    (no data gets through, no connection is closed), ``one_way`` (answers are
    held back) and ``reset`` (a connection is aborted when data arrives on it).
    """

    def __init__(self, delay_s=0.15):
        self.mode = "pass"
        self.delay_s = delay_s
        self.address = ""
        self.target = ""
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.listening = threading.Event()

    def start(self, target):
        self.target = target
        self.thread.start()
        self.listening.wait(10)
        return self.address

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self.listen())
        self.loop.run_forever()

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.listening.set()

    async def serve(self, reader, writer):
        try:
            host, port = self.target.split(":")
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        directions = [
            asyncio.create_task(self.forward(reader, server_writer, is_answer=False)),
            asyncio.create_task(self.forward(server_reader, writer, is_answer=True)),
        ]
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        for direction in directions:
            direction.cancel()
        # Close both ends, so that each sees the other close as on a direct connection.
        writer.close()
        server_writer.close()

    async def forward(self, reader, writer, is_answer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                while self.mode == "silence" or (is_answer and self.mode == "one_way"):
                    await asyncio.sleep(0.02)
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()

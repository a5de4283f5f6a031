"""A forwarding deployment of processes, with backend servers as threads.

All hosts use the same port, each on its own loopback address.
"""

import asyncio
import collections
import json
import pathlib
import shutil
import signal
import tempfile
import threading
import time

from support import processes

PREFIX = "/v1"
KEY = "key-of-shop"
OTHER_KEY = "key-of-office"
ANNOUNCE_INTERVAL_S = 0.3
EVENTS = 20
EVENT_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.5
WRITE_DELAY_S = 0.05


class BackendServer:
    """A simulated backend server; ``break_at_event`` is the event that is cut off."""

    def __init__(self, name, zone, control_hosts, service="drafting"):
        self.name, self.zone, self.service = name, zone, service
        self.control_hosts = list(control_hosts)
        self.runs = collections.Counter()
        self.organisations = collections.Counter()
        self.leaked_keys = 0
        self.break_at_event = 0
        self.refuses = False
        self.fails = False
        self.fails_on_resume = False
        self.is_unframed = False
        self.crashes = 0
        self.crashed_at = []
        self.crashing_part = ""
        self.crashing_targets = set()
        self.delays_s = {}
        self.arrivals = []
        self.targets = []
        self.is_unresponsive = False
        self.writers = []
        self.leaving = False
        self.says_leaving = False
        self.said_leaving_at = []
        self.retry_after_s = 0.0
        self.sequence = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.loop = asyncio.new_event_loop()
        self.address = ""
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()
        return processes.wait_until(lambda: self.address, "the server listens")

    def close(self):
        self.loop.call_soon_threadsafe(self.announcing.cancel)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self.listen())
        self.announcing = self.loop.create_task(self.keep_announcing())
        self.loop.run_forever()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def keep_announcing(self):
        while True:
            await asyncio.to_thread(self.announce)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def announce(self):
        self.sequence += 1
        document = {
            "service": self.service, "address": self.address,
            "availability_zone": self.zone, "born_ms": self.born_ms,
            "sequence": self.sequence, "slots": 4, "leaving": self.leaving,
        }  # fmt: skip
        body = json.dumps(document).encode()
        for address in self.control_hosts:
            try:
                answer = processes.call(
                    address, f"{PREFIX}/backend-servers/{self.name}", body,
                    method="PUT", timeout=1.0,
                )  # fmt: skip
            except OSError:
                continue
            if answer.status == 200:
                return True
        return False

    def record_run(self, request_id, target, fields):
        self.runs[request_id] += 1
        self.organisations[fields.get("lycheegauge-organisation", "")] += 1

    def crash(self):
        """Closes everything like a crashed process; restarts later at its address."""
        if not self.server.is_serving():
            return
        self.crashes += 1
        self.crashed_at.append(time.monotonic())
        self.server.close()
        for open_writer in self.writers:
            open_writer.transport.abort()
        self.loop.call_later(
            RESTART_DELAY_S, lambda: self.loop.create_task(self.restart_listener())
        )

    async def restart_listener(self):
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self.sequence = 0
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if ": " in line
                )
                target = lines[0].split(" ")[1]
                await self.read_body(
                    reader, int(fields.get("content-length", 0)), target
                )
                await self.answer(target, fields, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def read_body(self, reader, length, target):
        await reader.readexactly(length)

    def make_body(self, target):
        return self.name.encode()

    async def answer(self, target, fields, writer):
        self.leaked_keys += "authorization" in fields
        request_id = fields["lycheegauge-request-id"]
        expected = fields["lycheegauge-expected-server"]
        self.arrivals.append((time.monotonic(), request_id))
        self.targets.append((time.monotonic(), target))
        if self.refuses or expected != self.name:
            wait_s = self.retry_after_s
            wait = f"Retry-After: {wait_s}\r\n" if wait_s else ""
            writer.write(
                b"HTTP/1.1 503 Full\r\nLycheegauge-Not-Run: 1\r\n"
                + wait.encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return
        self.record_run(request_id, target, fields)
        if self.is_unresponsive or self.answers_failure(writer):
            return
        if await self.crashes_on(target, fields, writer):
            self.crash()
            return
        if self.fails_on_resume and "last-event-id" in fields:
            writer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nsorry")
            return
        if not target.startswith("/stream/"):
            body = self.make_body(target)
            leaving = ""
            if self.says_leaving:
                leaving = "Lycheegauge-Server-Leaving: 1\r\n"
                self.said_leaving_at.append(time.monotonic())
            writer.write(
                f"HTTP/1.1 200 OK\r\n{leaving}Content-Length: {len(body)}\r\n"
                f"Lycheegauge-Request-Id: {request_id}\r\n\r\n".encode()
                + body
            )
            return
        if self.is_unframed:
            await self.answer_unframed(writer)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(int(fields.get("last-event-id") or 0) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if number == self.break_at_event:
                # The server crashes in the middle of this event.
                writer.write(f"{len(event):x}\r\n".encode() + event[:5])
                await writer.drain()
                writer.transport.abort()
                return
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")

    def answers_failure(self, writer):
        if self.fails:
            writer.write(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        return self.fails

    async def crashes_on(self, target, fields, writer):
        """Returns whether beginning to write this answer crashes the server."""
        if target.endswith("/poison") or target in self.crashing_targets:
            return True
        await asyncio.sleep(self.delays_s.get(target.partition("?")[0], 0.0))
        if not self.crashing_part:
            return False
        await asyncio.sleep(WRITE_DELAY_S)
        parts = fields.get("lycheegauge-prompt-parts", "")
        return f"{self.crashing_part}:" in parts and not writer.is_closing()

    async def answer_unframed(self, writer):
        """Sends a stream with neither a length nor chunks, then closes."""
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        for number in range(1, EVENTS + 1):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.close()


class Fleet(processes.Deployment):
    """Log hosts, several gateways and backend servers in three zones.

    The first three log hosts are the seeds.
    """

    def __init__(
        self, gateways=2, log_hosts=3, tolerated_host_losses=1, repeats=None,
        **gateway_settings,
    ):  # fmt: skip
        self.repeats = repeats
        self.gateway_settings = gateway_settings
        self.tolerated_host_losses = tolerated_host_losses
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lycheegauge-test-"))
        self.processes = {}
        self.servers = []
        ports = processes.reserve_ports(4)
        self.port, self.peer_port, self.ready_port, self.directory_port = ports
        self.control_hosts = [f"127.0.1.{n + 1}:{self.port}" for n in range(log_hosts)]
        self.seed_hosts = self.control_hosts[:3]
        self.gateways = [f"127.0.2.{n + 1}:{self.port}" for n in range(gateways)]

    def start(self, servers=3):
        for number in range(len(self.control_hosts)):
            self.start_control(number, bootstrap=True)
        for number in range(len(self.gateways)):
            self.start_gateway(number)
        for number in range(servers):
            zone = processes.ZONES[number % 3]
            self.start_server(f"server-{number + 1}", zone)

    def close(self):
        for server in self.servers:
            server.close()
        super().close()

    def make_roster(self):
        return {"seed_hosts": self.seed_hosts, "pull_interval_s": 0.1}

    def start_control(self, number, bootstrap=False):
        host = self.control_hosts[number].split(":")[0]
        name = f"control-{number + 1}"
        part = {
            "name": name, "availability_zone": processes.ZONES[number % 3],
            "tolerated_host_losses": self.tolerated_host_losses,
            "control_address": self.control_hosts[number],
            "directory_address": self.control_hosts[number],
            "peer_address": f"{host}:{self.peer_port}",
            "data_folder": str(self.folder / name), "bootstrap": bootstrap,
            "announce_interval_s": ANNOUNCE_INTERVAL_S, "roster": self.make_roster(),
        }  # fmt: skip
        path = self.write_settings(name, {"control": part})
        return self.start_process(name, "control", "--settings", path)

    def start_gateway(self, number):
        host = self.gateways[number].split(":")[0]
        name = f"gateway-{number + 1}"
        part = {
            "name": name, "availability_zone": processes.ZONES[number],
            "caller_address": self.gateways[number],
            "readiness_address": f"{host}:{self.ready_port}",
            "directory_address": f"{host}:{self.directory_port}",
            "peer_address": f"{host}:{self.peer_port}", "roster": self.make_roster(),
        }  # fmt: skip
        if self.repeats is not None:
            part["repeats"] = self.repeats
        part.update(self.make_gateway_settings(host))
        part.update(self.gateway_settings)
        path = self.write_settings(name, {"gateway": part})
        return self.start_process(name, "gateway", "--settings", path)

    def make_gateway_settings(self, host):
        return {}

    def ready_address(self, gateway):
        host = self.gateways[gateway].split(":")[0]
        return f"{host}:{self.ready_port}"

    def start_server(self, name, zone):
        server = BackendServer(name, zone, self.control_hosts)
        server.start()
        self.servers.append(server)
        return server

    def stop(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        return self.processes[name].wait()

    def wipe(self, name):
        self.stop(name)
        shutil.rmtree(self.folder / name)

    def make_table(self, version, keys=((KEY, "shop"), (OTHER_KEY, "office"))):
        repetitions = {
            "/safe/": "safe", "/unsafe/": "unsafe", "/stream/": "resumable_stream"
        }  # fmt: skip
        return {
            "version": version,
            "routes": [
                {
                    "name": prefix.strip("/"), "host": "shop.example",
                    "path_prefix": prefix, "services": [{"service": "drafting"}],
                    "repetition": repetition, "timeout_s": 5.0,
                    "target_first_s": 0.2,
                }
                for prefix, repetition in repetitions.items()
            ],
            "services": [{"name": "drafting"}],
            "key_holders": [
                {"organisation": holder, "keys": [key]} for key, holder in keys
            ],
            "needs_keys": True,
        }  # fmt: skip

    def call_control(self, path, document=None, method="GET", first=0):
        """Calls the log hosts in turn until one returns a status below 500."""
        body = None if document is None else json.dumps(document).encode()

        def try_all():
            for number in range(len(self.control_hosts)):
                address = self.control_hosts[(first + number) % len(self.control_hosts)]
                try:
                    answer = processes.call(
                        address, PREFIX + path, body, method=method, timeout=3.0
                    )
                except OSError:
                    continue
                if answer.status < 500:
                    return answer
            return None

        return processes.wait_until(try_all, f"{method} {path} is answered")

    def put_table(self, version, **fields):
        answer = self.call_control("/routes", self.make_table(version, **fields), "PUT")
        assert answer.status == 200, answer.body

    def request(self, path, request_id, key=KEY, gateway=0, **fields):
        headers = {
            "Host": "shop.example", "Lycheegauge-Request-Id": request_id,
            "Lycheegauge-Deadline-Ms": "5000", "Authorization": f"Bearer {key}",
            **fields,
        }  # fmt: skip
        return processes.call(self.gateways[gateway], path, headers=headers)

    def wait_until_served(self):
        for number in range(len(self.gateways)):
            processes.wait_until(
                lambda number=number: (
                    self.request("/safe/x", "probe", gateway=number).status == 200
                ),
                f"gateway {number + 1} serves",
            )
            # Without it, a gateway retries only what its own requests have earned.
            processes.wait_until(
                lambda number=number: (
                    "share of the limits" in self.read_log(f"gateway-{number + 1}")
                ),
                f"gateway {number + 1} has its share of the retry budget",
            )

    def count_runs(self, request_id):
        return sum(server.runs[request_id] for server in self.servers)

"""A small deployment on loopback addresses, for the cases of the review.

It starts the project's programs with the commands of ``deploy/system.toml`` and with
settings that are filled in from the templates under ``deploy/``. Back ends, requesters
and the operator are small stand-ins that follow the users' pages. Only Python's
standard library is used.
"""

import asyncio
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Two cases that run at the same time use different addresses.
BLOCK = 32 + os.getpid() % 200
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "desk.example"
KEY = "key-of-shop-1"
OTHER_KEY = "key-of-office-1"

# The bounds of the small site, in seconds.
CONTACT_S = 3.0
ACK_S = 4.0
EVACUATION_S = 5.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


def fill_template(text, fields):
    """Fills in a template of settings as the page on deployment says."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def replace(found):
        name, _, form = found.group(1).partition("|")
        value = find(name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, text)


def find_ports(count, hosts):
    """Finds ports that are free on all addresses."""
    ports = []
    start = 20_000 + (os.getpid() * 37) % 9_000
    for port in itertools.count(start):
        if len(ports) == count:
            return ports
        if port > 32_000:
            raise CannotRun("no free ports")
        try:
            for host in hosts:
                with socket.socket() as item:
                    item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    item.bind((host, port))
        except OSError:
            continue
        ports.append(port)


class Machine:
    """A machine with one process of the system."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = (
            fleet, name, role, ip, zone,
        )  # fmt: skip
        self.process = None
        self.app = None

    def make_fields(self):
        fleet = self.fleet
        bind = {
            "gateway": {
                "frontend": f"{self.ip}:{fleet.frontend_port}",
                "readiness": f"{self.ip}:{fleet.readiness_port}",
                "directory": f"{self.ip}:{fleet.directory_port}",
            },
            "control": {
                "control": f"{self.ip}:{fleet.control_port}",
                "directory": f"{self.ip}:{fleet.directory_port}",
            },
            "engineagent": {},
        }[self.role]
        return {
            "nodeName": self.name, "role": self.role, "ip": self.ip,
            "zone": self.zone, "region": "region-1",
            "zones": dict.fromkeys(ZONES, "region-1"), "bind": bind,
            "internalPorts": [fleet.peer_port, fleet.peer_port + 15],
            "seedNodes": fleet.seeds,
            "bootstrap": not (fleet.folder / f"data-{self.name}" / "identity").exists(),
            "dataDir": str(fleet.folder / f"data-{self.name}"), "app": self.app,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contractParams": {
                "retryBudgetRatio": 0.2, "retrySlack": 94, "budgetWindowS": 10,
            },
        }  # fmt: skip

    def start(self):
        fleet = self.fleet
        part = fleet.deploy["roles"][self.role]
        template = (ROOT / part["template"]).read_text()
        path = fleet.folder / f"{self.name}.conf"
        path.write_text(fill_template(template, self.make_fields()))
        log = open(fleet.folder / f"{self.name}.log", "ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }  # fmt: skip
        environment["LYCHEEGAUGE_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            part["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def send_signal(self, number):
        self.process.send_signal(number)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def read_log(self):
        path = self.fleet.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def leads(self):
        """Tells whether its log says that it follows itself as the leader."""
        leader = ""
        for line in self.read_log().splitlines():
            try:
                item = json.loads(line)
            except ValueError:
                continue
            if item.get("message") == "following a leader of the log":
                leader = item.get("leader", "")
        return leader.split(":")[0] == self.ip


class Fleet:
    """Three machines of the core, some of the front, and their settings."""

    def __init__(self, record, fronts=2, cores=3):
        self.record = record
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        core_ips = [f"127.{BLOCK}.1.{n + 1}" for n in range(cores)]
        front_ips = [f"127.{BLOCK}.2.{n + 1}" for n in range(fronts)]
        self.ips = core_ips + front_ips
        # The metrics of each role have a fixed port in the templates.
        (
            self.control_port, self.directory_port, self.frontend_port,
            self.readiness_port, self.peer_port,
        ) = find_ports(5, self.ips)  # fmt: skip
        self.seeds = [f"{ip}:{self.control_port}" for ip in core_ips[:3]]
        self.cores = [
            Machine(self, f"core-{n + 1}", "control", ip, ZONES[n % 3])
            for n, ip in enumerate(core_ips)
        ]
        self.fronts = [
            Machine(self, f"front-{n + 1}", "gateway", ip, ZONES[n % 3])
            for n, ip in enumerate(front_ips)
        ]
        self.machines = self.cores + self.fronts

    def start(self):
        if not (ROOT / "target" / "deps").exists():
            raise CannotRun("target/deps is missing; run the deploy file's build")
        for machine in self.machines:
            machine.start()

    def close(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def restart_ended(self):
        """Starts processes that ended, as the platform does."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is not None:
                self.record.write(
                    f"{machine.name} ended with {process.poll()}; restarted"
                )
                machine.start()

    def control_address(self, machine):
        return f"{machine.ip}:{self.control_port}"

    def frontend_address(self, machine):
        return f"{machine.ip}:{self.frontend_port}"

    async def find_leader(self):
        """Waits until the log of one machine says that it leads."""
        for _ in range(200):
            leaders = [item for item in self.cores if item.leads()]
            if len(leaders) == 1:
                return leaders[0]
            await asyncio.sleep(0.1)
        raise CannotRun("no leader was found")


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_response(reader, method="GET"):
    """Reads one HTTP response with a length, with chunks or up to the close."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        if name:
            headers[name.lower()] = text.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif status not in (204, 304) and method != "HEAD":
        body = await reader.read()
    return Response(status, headers, body)


async def call(address, method, path, body=b"", headers=(), timeout_s=CALL_TIMEOUT_S):
    """Makes one call on a new channel; closes it when the time is over."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {
                "Host": address,
                "Content-Length": str(len(body)),
                **dict(headers),
            }
            if body:
                fields.setdefault("Content-Type", "application/json")
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {text}\r\n" for name, text in fields.items()
            )
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            return await read_response(reader, method)
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders as the page on the operator's API says.

    An order without a clear answer within a second is sent again, to the next node.
    """

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def send(self, what, method, path, body=b"", first=0, nodes=None, tries=80):
        nodes = nodes or [self.fleet.control_address(item) for item in self.fleet.cores]
        pause_s = 0.05
        for number in range(tries):
            address = nodes[(first + number) % len(nodes)]
            self.record.write(f"operator: {what} sent to {address}")
            try:
                response = await call(address, method, path, body)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                text = type(error).__name__
                self.record.write(f"operator: {what} at {address}: no answer ({text})")
                self.fleet.restart_ended()
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, 0.5)
                continue
            self.record.write(f"operator: {what} at {address}: {response.status}")
            if response.status < 500 and response.status not in (408, 429):
                return response
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.5)
        raise CannotRun(f"{what} was never acknowledged")

    async def evacuate(self, zone, starts=True, **options):
        name = "Start" if starts else "End"
        response = await self.send(
            f"Evacuation.{name}/{zone}", "POST",
            f"/lycheegauge/Evacuation.{name}/{zone}", **options,
        )  # fmt: skip
        if response.status // 100 != 2:
            raise CannotRun(f"evacuation was refused: {response.status}")
        return self.record.now()

    async def put_manifest(self, manifest, **options):
        response = await self.send(
            f"manifest {manifest['version']}", "POST", "/lycheegauge/Config.Replace",
            json.dumps(manifest).encode(), **options,
        )  # fmt: skip
        if response.status != 200:
            raise CannotRun(f"the manifest was refused: {response.status}")
        return self.record.now()


def make_manifest(version, **changes):
    """A manifest with one plain service, a safe route and one that runs once."""
    common = {
        "host": HOST, "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 1,
        "service": "order-desk", "anonymous": False,
    }  # fmt: skip
    manifest = {
        "version": version,
        "routes": [
            {"name": "r-safe", "pathPrefix": "/look/", "type": "safe",
             "maxAttempts": 2, **common},
            {"name": "r-unsafe", "pathPrefix": "/book/", "type": "unsafe",
             "maxAttempts": 1, **common},
        ],
        "services": [
            {"name": "order-desk", "healthPath": "/healthz", "maxConnections": 110,
             "protocol": "h1", "tls": False, "coldStartS": 0.0, "rampPerS": 0.0},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [
            {"name": "shop", "apiKeys": [KEY], "priority": 1},
            {"name": "office", "apiKeys": [OTHER_KEY], "priority": 1},
        ],
    }  # fmt: skip
    manifest.update(changes)
    return manifest


class Replica:
    """A sound plain back end: runs a request in ``work_s`` and announces itself."""

    def __init__(
        self, fleet, record, name, zone, ip, service="order-desk", work_s=0.02
    ):
        self.fleet, self.record = fleet, record
        self.name, self.zone, self.ip, self.service = name, zone, ip, service
        self.work_s = work_s
        self.address = ""
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []  # (seconds, attempt id)
        self.writers = set()
        self.tasks = []
        self.beat_address = ""
        self.slots = 6

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.tasks.append(asyncio.create_task(self.keep_announcing()))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def describe(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "concurrency": self.slots, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        }  # fmt: skip

    async def keep_announcing(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self):
        body = json.dumps(self.describe()).encode()
        path = f"/lycheegauge/Instances.Heartbeat/{self.name}"
        for machine in self.fleet.cores:
            address = self.fleet.control_address(machine)
            try:
                response = await call(address, "POST", path, body)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            if response.status // 100 == 2:
                return True
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        method, path, headers, body = request
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", "")
        if expected and expected != self.name:
            write_response(writer, 421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1",
                                         "At-Server": self.name}, b"")  # fmt: skip
            return
        if path == "/healthz":
            write_response(writer, 200, {"X-Instance-Id": self.name}, b"")
            return
        self.running += 1
        self.runs.append((self.record.now(), attempt))
        self.record.write(f"replica {self.name} ({self.zone}) runs {attempt}")
        await asyncio.sleep(self.work_s)
        self.running -= 1
        write_response(writer, 200, {
            "X-Attempt-Id": attempt, "X-Response-Seal": f"seal.{attempt}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }, f"{method} {path} {attempt}".encode())  # fmt: skip


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        if name:
            headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


def write_response(writer, status, headers, body):
    text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(
        f"HTTP/1.1 {status} X\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


class Requester:
    """Sends requests at a steady rate through all front machines in turn."""

    def __init__(self, fleet, record, prefix="/look/", method="GET", per_s=20.0):
        self.fleet, self.record = fleet, record
        self.prefix, self.method, self.per_s = prefix, method, per_s
        self.count = 0
        self.sent = {}  # attempt id: (seconds, front)
        self.answers = {}
        self.tasks = set()
        self.task = None

    def start(self):
        self.task = asyncio.create_task(self.run())

    async def stop(self):
        self.task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=5.0)

    async def run(self):
        while True:
            front = self.fleet.fronts[self.count % len(self.fleet.fronts)]
            self.count += 1
            task = asyncio.create_task(self.request(front, f"a{self.count:06d}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1.0 / self.per_s)

    async def request(self, front, attempt, key=KEY, body=b""):
        self.sent[attempt] = (self.record.now(), front.name)
        headers = {
            "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "4000",
            "Authorization": f"Token {key}",
        }  # fmt: skip
        try:
            response = await call(
                self.fleet.frontend_address(front), self.method,
                f"{self.prefix}{attempt}", body, headers, 4.0,
            )  # fmt: skip
            self.answers[attempt] = response.status
            self.record.write(
                f"requester: {attempt} at {front.name}: {response.status}"
            )
            return response
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.answers[attempt] = type(error).__name__
            self.record.write(
                f"requester: {attempt} at {front.name}: {type(error).__name__}"
            )
        return None


async def wait_until(check, what, timeout_s=40.0):
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        found = check()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        await asyncio.sleep(0.1)
    raise CannotRun(f"timed out: {what}")


async def wait_until_ready(fleet):
    """Waits until each front machine says that it is ready."""

    async def is_ready(machine):
        try:
            response = await call(
                f"{machine.ip}:{fleet.readiness_port}", "GET", "/lycheegauge/ready"
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response.status == 200

    for machine in fleet.fronts:
        await wait_until(lambda m=machine: is_ready(m), f"{machine.name} is ready")


def run_case(folder, play, **options):
    """Plays a case; exits with 1 if the rule was broken, 0 if not, 2 otherwise."""
    record = Record(folder)
    fleet = None
    code = 2
    try:
        fleet = Fleet(record, **options)
        fleet.start()

        async def main():
            async with asyncio.timeout(110.0):
                return await play(fleet, record)

        broken = asyncio.run(main())
        record.write("RULE BROKEN: " + broken if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {type(error).__name__} {error}")
    finally:
        if fleet is not None:
            fleet.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)

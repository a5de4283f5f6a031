"""A small deployment of the project's own processes, with stand-ins around them.

The processes are started with the commands of ``deploy/system.toml`` and with settings
that are filled in from the templates it names. The replicas, the operator and the
requesters are small stand-ins that speak what the users' PROTOCOL page says.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9102
"""The port for metrics in the project's templates."""

ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = {
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 94, "drainMs": 2000,
    "graceS": 8, "contactMs": 3000, "configApplyMs": 2000, "revokeMs": 5000,
    "evacuationMs": 5000, "requireFence": True,
}  # fmt: skip


def fill_template(text, fields):
    """Fills in the placeholders that the project's templates use."""

    def look_up(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                break
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}#^/]+)\}\}", look_up, text)


def find_ports(count):
    """Finds free ports below those that the system gives to outgoing channels."""
    ports = []
    while len(ports) < count:
        port = random.randint(15000, 31000)
        with socket.socket() as trial:
            try:
                trial.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def find_network():
    """Finds a part of the loopback range in which nobody uses the metrics' port."""
    while True:
        octet = random.randint(60, 250)
        try:
            for role in (1, 2):
                with socket.socket() as trial:
                    trial.bind((f"127.{octet}.{role}.1", METRICS_PORT))
        except OSError:
            continue
        return octet


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Site:
    """Starts, signals and ends the project's processes."""

    def __init__(self, record, controls=3, gateways=1, memory_mb=300):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        octet = find_network()
        ports = find_ports(5)
        self.control_port, self.peer_port, self.caller_port = ports[:3]
        self.ready_port, self.directory_port = ports[3:]
        self.control_ips = [f"127.{octet}.1.{n + 1}" for n in range(controls)]
        self.gateway_ips = [f"127.{octet}.2.{n + 1}" for n in range(gateways)]
        self.replica_ip = f"127.{octet}.3."
        self.controls = [f"{ip}:{self.control_port}" for ip in self.control_ips]
        self.gateways = [f"{ip}:{self.caller_port}" for ip in self.gateway_ips]
        self.memory_mb = memory_mb
        self.processes = {}
        self.starts = {}

    def make_fields(self, role, name, ip, zone, bootstrap=False, app=None):
        fields = {
            "nodeName": name, "role": role, "ip": ip, "zone": zone,
            "bind": {
                "frontend": f"{ip}:{self.caller_port}",
                "readiness": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
                "directory": f"{ip}:{self.directory_port}",
            },
            "internalPorts": [self.peer_port, self.peer_port],
            "seedNodes": self.controls[:3], "bootstrap": bootstrap,
            "dataDir": str(self.folder / f"disk-{name}"),
            "limits": {"memoryMb": self.memory_mb},
            "faultTolerance": {"machines": 1}, "contractParams": BOUNDS, "app": app,
        }  # fmt: skip
        return fields

    def start(self, role, name, ip, zone, bootstrap=False, app=None):
        part = self.deploy["roles"][role]
        template = (ROOT / part["template"]).read_text()
        fields = self.make_fields(role, name, ip, zone, bootstrap, app)
        if role == "control":
            os.makedirs(fields["dataDir"], exist_ok=True)
        path = self.folder / f"{name}.conf"
        path.write_text(fill_template(template, fields))
        log = open(self.folder / f"{name}.log", "ab")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = kept | {
            "LYCHEEGAUGE_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        process = subprocess.Popen(
            shlex.split(part["run"]), cwd=ROOT, env=environment,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL,
        )  # fmt: skip
        self.processes[name] = process
        self.starts[name] = (role, name, ip, zone, bootstrap, app)
        self.record.write(f"platform starts {name} (role {role})")
        return process

    def start_control(self, number, bootstrap=True):
        ip = self.control_ips[number]
        zone = ZONES[number % 3]
        return self.start("control", f"control-{number + 1}", ip, zone, bootstrap)

    def start_gateway(self, number):
        ip = self.gateway_ips[number]
        return self.start("gateway", f"gateway-{number + 1}", ip, ZONES[number % 3])

    def start_all(self):
        for number in range(len(self.controls)):
            self.start_control(number)
        for number in range(len(self.gateways)):
            self.start_gateway(number)

    def signal(self, name, number):
        self.record.write(f"platform sends {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def restart_ended(self):
        """Starts processes again that ended by themselves, as the platform does."""
        for name, process in list(self.processes.items()):
            if process.poll() is not None:
                last = self.read_log(name).strip().split("\n")[-1][:300]
                self.record.write(f"{name} ended with code {process.poll()}: {last}")
                self.start(*self.starts[name])

    def record_state(self, ip):
        """Records why a gateway may not be ready."""
        self.record.write(f"the gateway at {ip} doesn't become ready")
        for name, process in self.processes.items():
            lines = self.read_log(name).strip().split("\n")
            self.record.write(f"{name}: exit code {process.poll()}; {lines[-1][:300]}")

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# HTTP, as little as the stand-ins need.


async def read_head(reader):
    """Reads a start line and headers; headers are a list of pairs."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    return first, pairs


def get(pairs, name, default=""):
    return next((v for k, v in pairs if k.lower() == name.lower()), default)


async def read_body(reader, pairs):
    if "chunked" in get(pairs, "Transfer-Encoding").lower():
        body = b""
        while True:
            line = await reader.readline()
            if not line:
                raise EOFError("the channel ended inside a body")
            size = int(line.split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = get(pairs, "Content-Length")
    if length:
        return await reader.readexactly(int(length))
    return b""


async def call(address, method, path, body=b"", headers=(), timeout=1.0):
    """Makes one call on a channel of its own; returns status, headers and body."""

    async def run():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            first, pairs = await read_head(reader)
            status = int(first.split()[1])
            if get(pairs, "Content-Length") or "chunked" in get(
                pairs, "Transfer-Encoding"
            ):
                answer = await read_body(reader, pairs)
            else:
                answer = await reader.read()
            return status, pairs, answer
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Operator:
    """Sends orders to the nodes of its list in turn until one is clearly answered."""

    def __init__(self, site, record):
        self.site, self.record = site, record

    async def order(self, path, document=None, limit_s=20.0, first=0):
        body = b"" if document is None else json.dumps(document).encode()
        ends_at = time.monotonic() + limit_s
        for attempt in itertools.count(first):
            if time.monotonic() > ends_at:
                return 0
            address = self.site.controls[attempt % len(self.site.controls)]
            try:
                headers = (("Content-Type", "application/json"),)
                status, _, _ = await call(address, "POST", path, body, headers)
            except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
                status = type(error).__name__
            version = document.get("version", "") if document else ""
            self.record.write(f"operator POST {path} {version} at {address}: {status}")
            if isinstance(status, int) and (status < 300 or status in (400, 409, 413, 422)):
                return status
            await asyncio.sleep(0.2)

    async def read(self, address):
        path = "/lycheegauge/Config.Get"
        try:
            status, _, body = await call(address, "GET", path)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            self.record.write(f"operator reads at {address}: {type(error).__name__}")
            return 0, None
        version = json.loads(body).get("version") if status == 200 else None
        self.record.write(f"operator reads at {address}: {status}, version {version}")
        return status, version


class Replica:
    """A server of one service. ``answer`` may be replaced by a case."""

    names = itertools.count(1)

    def __init__(self, site, record, service, number, zone=ZONES[0], work_s=0.03):
        self.site, self.record, self.service, self.zone = site, record, service, zone
        self.name = f"i-{random.getrandbits(32):08x}"
        self.ip = f"{site.replica_ip}{number}"
        self.born = int(time.time() * 1000)
        self.sequence, self.work_s = 0, work_s
        self.state, self.address, self.server = "ready", "", None
        self.runs, self.arrivals = [], []
        self.concurrency = 6
        self.beat_s = 1.2
        self.writers = set()
        self.answer = self.answer_plainly
        self.task = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.record.write(f"replica {self.name} ({self.service}) starts at {self.address}")
        self.task = asyncio.create_task(self.keep_beating())

    def make_beat(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "concurrency": self.concurrency, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        }  # fmt: skip

    async def beat(self):
        body = json.dumps(self.make_beat()).encode()
        for address in self.site.controls:
            try:
                path = f"/lycheegauge/Instances.Heartbeat/{self.name}"
                status, _, _ = await call(address, "POST", path, body)
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            if 200 <= status < 300:
                return True
        return False

    async def keep_beating(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.beat_s)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, pairs = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, pairs)
                attempt = get(pairs, "X-Attempt-Id")
                self.arrivals.append((time.monotonic(), attempt, method, target, pairs, body))
                expected = get(pairs, "X-Expect-Instance", self.name)
                if expected != self.name:
                    self.record.write(f"replica {self.name}: 421 for {attempt}")
                    writer.write(
                        f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\n"
                        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                    continue
                self.note_run(attempt, method, target, pairs)
                if await self.answer(writer, attempt, method, target, pairs, body) is False:
                    return
                await writer.drain()
        except (EOFError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def note_run(self, attempt, method, target, pairs):
        self.runs.append((time.monotonic(), attempt))
        tenant = get(pairs, "X-Tenant")
        self.record.write(
            f"replica {self.name} ({self.service}) runs {attempt} {method} {target}"
            f" tenant={tenant}"
        )

    async def answer_plainly(self, writer, attempt, method, target, pairs, body):
        await asyncio.sleep(self.work_s)
        text = f"{self.name} ran {attempt}\n".encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: s-{attempt}"
            f"\r\nX-Instance-Id: {self.name}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        )

    def close(self):
        if self.task:
            self.task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def make_route(name, prefix, service, kind="unsafe", **fields):
    return {
        "name": name, "host": "app.example", "pathPrefix": prefix, "type": kind,
        "timeoutMs": 4000, "targetLatencyMs": 400, "priority": 1, "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2, "anonymous": False,
        "sessionAffinity": False, "resumable": False, "targetGapMs": 120,
    } | fields  # fmt: skip


def make_manifest(version, routes, services, tenants=None):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 110,
             "protocol": "h1", "tls": False, "coldStartS": 0.0, "rampPerS": 0.0}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants or [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}],
    }  # fmt: skip


async def wait_ready(site, limit_s=25.0):
    """Waits until every gateway says that it is ready."""
    ends_at = time.monotonic() + limit_s
    for ip in site.gateway_ips:
        while True:
            if time.monotonic() > ends_at:
                site.record_state(ip)
                return False
            try:
                status, _, _ = await call(f"{ip}:{site.ready_port}", "GET", "/lycheegauge/ready")
            except (OSError, EOFError, asyncio.TimeoutError):
                status = 0
            if status == 200:
                break
            site.restart_ended()
            await asyncio.sleep(0.1)
    return True


async def request(record, gateway, method, path, key="key-1", body=b"", headers=(), timeout=6.0, attempt=None, deadline_ms=4000):
    """Sends one attempt of a requester on a channel of its own."""
    attempt = attempt or f"{random.getrandbits(64):016x}"
    fields = [
        ("X-Attempt-Id", attempt), ("X-Deadline-Ms", str(deadline_ms)), *headers,
    ]  # fmt: skip
    if key:
        fields.append(("Authorization", f"Token {key}"))
    record.write(f"requester sends {attempt} {method} {path} to {gateway}")

    async def run():
        host, port = gateway.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", "Host: app.example"]
            lines += [f"{k}: {v}" for k, v in fields]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            first, pairs = await read_head(reader)
            answer = b"" if method == "HEAD" else await read_body(reader, pairs)
            return int(first.split()[1]), pairs, answer
        finally:
            writer.close()

    try:
        status, pairs, answer = await asyncio.wait_for(run(), timeout)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        record.write(f"requester of {attempt} gets {type(error).__name__}")
        return attempt, 0, [], b""
    record.write(f"requester of {attempt} gets {status}")
    return attempt, status, pairs, answer


def run_case(case):
    """Runs ``case(record, trouble)``; it returns 0, 1 or 2."""
    folder = pathlib.Path(os.environ["CASE_FOLDER"])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {trouble}")

    async def bounded():
        # The processes are ended also if the script is.
        task = asyncio.ensure_future(case(record, trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, 110.0)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case couldn't run: {type(error).__name__} {error}")
        code = 2
    record.write({0: "the rule held", 1: "the rule was broken"}.get(code, "not run"))
    record.close()
    sys.exit(code)

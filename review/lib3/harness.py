"""Starts a small forwarding deployment of real processes, with simple stand-ins.

Every machine has its own loopback address, so that all use the same ports, as the
deployment pages say. The processes are started with the commands of
``deploy/system.toml`` and with settings filled in from its templates.
"""

import http.client
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
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


def reserve_ports(count, hosts):
    """Finds ports that are free on all hosts."""
    found = []
    port = 20000 + (os.getpid() * 37) % 20000
    while len(found) < count:
        port = port + 1 if port < 60000 else 20000
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
        except OSError:
            continue
        found.append(port)
    return found


def render(template, fields):
    """Fills in a settings template; supports what the project's templates use."""

    def look_up(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]*)\}\}", look_up, template)


class Record:
    """Writes ``record.txt`` with times in seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, *words):
        with self._lock:
            elapsed = time.monotonic() - self.began_at
            print(f"{elapsed:9.3f}", *words, file=self._file, flush=True)

    def close(self):
        self._file.close()


class Deployment:
    """Gateways and log hosts as processes."""

    def __init__(self, record, gateways=2, controls=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        # The metrics port is fixed, so each run has loopback addresses of its own.
        self.network = f"127.{30 + os.getpid() % 200}"
        self.gateway_hosts = [f"{self.network}.2.{n + 1}" for n in range(gateways)]
        self.control_hosts = [f"{self.network}.1.{n + 1}" for n in range(controls)]
        hosts = [*self.gateway_hosts, *self.control_hosts]
        ports = reserve_ports(5, hosts)
        self.port, self.ready, self.directory, self.control, self.peer = ports
        self.processes = {}
        self.bootstrap = True

    def make_fields(self, name, host, zone, role):
        seeds = [f"{h}:{self.control}" for h in self.control_hosts[:3]]
        return {
            "nodeName": name,
            "zone": zone,
            "ip": host,
            "bind": {
                "frontend": f"{host}:{self.port}",
                "readiness": f"{host}:{self.ready}",
                "directory": f"{host}:{self.directory}",
                "control": f"{host}:{self.control}",
            },
            "internalPorts": [self.peer, self.peer],
            "seedNodes": seeds,
            "bootstrap": self.bootstrap,
            "dataDir": str(self.folder / name),
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "limits": {"memoryMb": 300},
            "contractParams": {
                "retryBudgetRatio": 0.2, "retrySlack": 94, "budgetWindowS": 10,
            },
        }  # fmt: skip

    def start_process(self, role, name, host, zone):
        spec = DEPLOY["roles"][role]
        text = render(
            (ROOT / spec["template"]).read_text(),
            self.make_fields(name, host, zone, role),
        )
        path = self.folder / f"{name}.json"
        path.write_text(text)
        log = open(self.folder / f"{name}.log", "ab")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["LYCHEEGAUGE_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        process = subprocess.Popen(
            spec["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes[name] = process
        self.record.write("started", name, "pid", process.pid)
        return process

    def start_control(self, number):
        name = f"core-{number + 1}"
        return self.start_process(
            "control", name, self.control_hosts[number], f"zone-{'abc'[number % 3]}"
        )

    def start_gateway(self, number):
        name = f"front-{number + 1}"
        return self.start_process(
            "gateway", name, self.gateway_hosts[number], f"zone-{'abc'[number % 3]}"
        )

    def start(self):
        for number in range(len(self.control_hosts)):
            self.start_control(number)
        for number in range(len(self.gateway_hosts)):
            self.start_gateway(number)

    def read_log(self, name):
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def call_control(self, method, path, body=None, number=None, timeout=2.0):
        """Calls a log host; returns status and body, or ``None`` without an answer."""
        hosts = (
            self.control_hosts if number is None else [self.control_hosts[number]]
        )
        for host in hosts:
            try:
                connection = http.client.HTTPConnection(host, self.control, timeout=timeout)
                data = json.dumps(body).encode() if body is not None else None
                fields = {"Content-Type": "application/json"} if data else {}
                connection.request(method, path, data, fields)
                answer = connection.getresponse()
                content = answer.read()
                connection.close()
                if answer.status < 500:
                    return answer.status, content
            except OSError:
                continue
        return None

    def put_manifest(self, manifest, patience_s=20.0):
        ends_at = time.monotonic() + patience_s
        while time.monotonic() < ends_at:
            answer = self.call_control("POST", "/lycheegauge/Config.Replace", manifest)
            if answer is not None and answer[0] == 200:
                self.record.write("manifest", manifest["version"], "acknowledged")
                return
            time.sleep(0.2)
        raise CannotRun("the manifest was not acknowledged")

    def is_ready(self, number):
        try:
            connection = http.client.HTTPConnection(
                self.gateway_hosts[number], self.ready, timeout=1.0
            )
            connection.request("GET", "/lycheegauge/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def wait_until(self, condition, what, patience_s=20.0):
        ends_at = time.monotonic() + patience_s
        while time.monotonic() < ends_at:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not reached: {what}")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Runs ``play(record, has_trouble)``, which returns what was broken, or ``""``."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # A run that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write("trouble" if has_trouble else "no trouble")
    try:
        broken = play(record, has_trouble)
    except CannotRun as error:
        record.write("could not run:", error)
        print("could not run:", error)
        return 2
    finally:
        record.write("end")
    print("BROKEN:" if broken else "held", broken)
    with open(pathlib.Path(folder) / "record.txt", "a") as file:
        print("verdict:", f"broken: {broken}" if broken else "held", file=file)
    return 1 if broken else 0

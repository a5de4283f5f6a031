"""Starts the system's daemons as separate processes on loopback, and stops them.

Tests wait by polling for a condition with a generous limit. No assertion depends
on how long anything takes, unless the duration is a documented guarantee.
"""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

POLL_S = 0.05
READY_TIMEOUT_S = 40.0
# Below the ephemeral ports; each test process has a range of its own.
FIRST_PORT = 10_000
PORTS_PER_RANGE = 400
PORT_RANGE_COUNT = 50
ZONES = ("zone-a", "zone-b", "zone-c")


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP answer; ``document`` is its body read as JSON, if it is JSON."""

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        return json.loads(self.body)

    def events(self):
        """Reads the body as server-sent events: a list of (name, data)."""
        parsed = []
        for block in self.body.decode().strip().split("\n\n"):
            lines = dict(line.split(": ", 1) for line in block.splitlines())
            parsed.append((lines["event"], json.loads(lines["data"])))
        return parsed


def call(address, path, body=None, headers=(), method=None, timeout=30.0):
    """Makes an HTTP call; error statuses are returned, not raised."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, headers=dict(headers), method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Answer(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, dict(error.headers), error.read())


def wait_until(check, description):
    """Polls until ``check`` returns a true value, and returns it."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, KeyError, ValueError):
            found = check()
            if found:
                return found
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for: {description}")


def claim_port_range():
    """Claims a range of ports for this process by listening on its first port.

    Ranges were drawn by process id before; two test processes with the same one mixed
    up their deployments, whose hosts then waited in vain for their shares of limits.
    """
    for offset in range(PORT_RANGE_COUNT):
        number = (os.getpid() + offset) % PORT_RANGE_COUNT
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", FIRST_PORT + number * PORTS_PER_RANGE))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return number, claim
    raise AssertionError("no range of ports is free")


# Deployments that run concurrently on the same loopback interface are given a range.
if "LYCHEEGAUGE_PORT_RANGE" in os.environ:
    PORT_RANGE, _claim = int(os.environ["LYCHEEGAUGE_PORT_RANGE"]), None
else:
    PORT_RANGE, _claim = claim_port_range()
_next_port = itertools.count(FIRST_PORT + PORT_RANGE * PORTS_PER_RANGE + 1)


def reserve_ports(count):
    """Finds free ports that neither another deployment nor a connection is given.

    A port chosen by the system was once taken by a connection, and a randomly drawn
    one by another daemon, before the intended daemon listened on it.
    """
    ports = []
    while len(ports) < count:
        port = next(_next_port)
        with socket.socket() as item, contextlib.suppress(OSError):
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            item.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


class Deployment:
    """Entry hosts (the first three with log replicas), agents and fake servers."""

    def __init__(self, entry_hosts=3, answer_valid_s=1.0, log_level="DEBUG"):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lycheegauge-test-"))
        ports = reserve_ports(entry_hosts * 3)
        self.callers = [f"127.0.0.1:{port}" for port in ports[0::3]]
        self.operators = [f"127.0.0.1:{port}" for port in ports[1::3]]
        self.peers = [f"127.0.0.1:{port}" for port in ports[2::3]]
        self.answer_valid_s = answer_valid_s
        self.log_level = log_level
        self.processes = {}
        self.agents = {}

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def run_command(self, *arguments):
        """Runs a command and waits until it exits."""
        return subprocess.run(
            [sys.executable, "-m", "lycheegauge.command", *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def start_process(self, name, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "lycheegauge.command", *map(str, arguments)],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        return self.processes[name]

    def write_settings(self, name, part):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(part))
        return path

    def prepare_entry(self, index):
        name = f"entry-{index + 1}"
        voters = [
            {"host": peer, "disk_id": f"disk-{number}"}
            for number, peer in enumerate(self.peers[:3])
        ]
        part = {
            "name": name,
            "availability_zone": ZONES[index % 3],
            "caller_address": self.callers[index],
            "operator_address": self.operators[index],
            "peer_address": self.peers[index],
            "log_hosts": self.peers[:3],
            "answer_valid_s": self.answer_valid_s,
            "log_level": self.log_level,
        }
        # A fourth host has a data folder without an identity: it is a standby host.
        if index < 4:
            part["log"] = {"data_folder": str(self.folder / name), "voters": voters}
        path = self.write_settings(name, {"entry": part})
        if index < 3:
            done = self.run_command("init-disk", "--settings", path)
            assert done.returncode == 0, done.stderr
        return path

    def start_entry(self, index):
        name = f"entry-{index + 1}"
        path = self.folder / f"{name}.json"
        if not path.exists():
            path = self.prepare_entry(index)
        return self.start_process(name, "entry", "--settings", path)

    def start_agent(self, name, zone, admission=None):
        if name not in self.agents:
            peer, announce = (f"127.0.0.1:{port}" for port in reserve_ports(2))
            part = {
                "name": name,
                "availability_zone": zone,
                "peer_address": peer,
                "announce_address": announce,
                "entry_hosts": self.peers[:3],
                "admission": admission or {"cold_limit": 4},
                "log_level": self.log_level,
            }
            self.agents[name] = (self.write_settings(name, {"agent": part}), announce)
        path, announce = self.agents[name]
        self.start_process(name, "agent", "--settings", path)
        return announce

    def start_backend_server(self, name, zone, service, engine, *options):
        announce = self.start_agent(name, zone)
        arguments = ["fake-backend-server", "--announce-to", announce]
        arguments += ["--service", service, "--engine", engine, *options]
        return self.start_process(f"fake-{name}", *arguments)

    def read_status(self, index=0):
        return call(self.operators[index], "/v1/status").document

    def wait_for_members(self, entry_hosts, backend_servers):
        def check():
            status = self.read_status()
            return (len(status["entry_hosts"]), len(status["backend_servers"])) == (
                entry_hosts,
                backend_servers,
            )

        wait_until(check, f"{entry_hosts} entry hosts, {backend_servers} servers")

    def plan(self, intent, index=0):
        body = json.dumps(intent).encode()
        return call(self.operators[index], "/v1/plan", body)

    def confirm(self, plan, request_id=None, index=0):
        body = {"request_id": request_id or plan["plan_id"], "plan": plan}
        return call(self.operators[index], "/v1/confirm", json.dumps(body).encode())

    def put_in_force(self, intent, index=0):
        planned = self.plan(intent, index)
        assert planned.status == 200, planned.body
        confirmed = self.confirm(planned.document, index=index)
        assert confirmed.status == 200, confirmed.body
        wait_until(lambda: self.read_status(index)["in_force"], "it is in force")
        return confirmed.document["revision"]

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text()

"""The deployment under test: processes, servers behind proxies, operator actions."""

import asyncio
import collections
import threading
import time

from support import forwardingfleet, processes

from soak import callers, proxy

GATEWAYS = 3
CALLERS = 8
SLOW_CALLERS = 3
SLOW_READ_S = 0.02
LARGE_COPIES = 40_000
HELD_BYTES = 1_000_000
SERVERS = 5
KEYS = {"shop": "key-of-shop", "office": "key-of-office", "spare": "key-of-spare"}
TORN_RECORD = b"\x00\x00\x00\x20torn"


class RecordingServer(forwardingfleet.BackendServer):
    """A backend server behind its own proxy that records the time of each run."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.log = []
        self.proxy = proxy.Proxy()
        self.has_left = False

    async def listen(self):
        await super().listen()
        self.address = self.proxy.start(self.address)

    async def read_body(self, reader, length, target):
        while target == callers.SLOW_PATH and length > callers.PIECE_BYTES:
            length -= len(await reader.readexactly(callers.PIECE_BYTES))
            await asyncio.sleep(SLOW_READ_S)
        await super().read_body(reader, length, target)

    def make_body(self, target):
        copies = LARGE_COPIES if target == callers.LARGE_PATH else 1
        return super().make_body(target) * copies

    def record_run(self, request_id, target, fields):
        super().record_run(request_id, target, fields)
        organisation = fields.get("lycheegauge-organisation", "")
        self.log.append((time.monotonic(), request_id, target, organisation))

    async def restart_listener(self):
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self.sequence = 0
        host, port = self.proxy.target.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    @property
    def is_gone(self):
        return self.has_left or self.says_leaving

    def announce(self):
        return not self.has_left and super().announce()

    def close(self):
        super().close()
        self.proxy.close()


class SoakFleet(forwardingfleet.Fleet):
    """The fleet with callers; records when operator actions were acknowledged."""

    def __init__(self, seed):
        super().__init__(gateways=GATEWAYS)
        (self.metrics_port,) = processes.reserve_ports(1)
        self.seed = seed
        self.version = 0
        self.held_keys = dict(KEYS)
        self.revoked_at = {}  # key: time when its removal was acknowledged
        self.zone_outages = []  # [zone, acknowledged at, return asked for at or None]
        self.departed_at = {}  # server name: time when its departure was acknowledged
        self.callers = []
        self.started = []  # the name of each process that was started
        self.table_lock = threading.Lock()
        self.departure_lock = threading.Lock()
        self.zone_lock = threading.Lock()
        self.host_locks = collections.defaultdict(threading.Lock)
        self.all_processes = []
        self.is_recovered = False

    def start(self, servers=SERVERS):
        super().start(servers)
        self.change_table()
        self.wait_until_served()
        for number in range(CALLERS + SLOW_CALLERS):
            make = callers.Caller if number < CALLERS else callers.SlowCaller
            caller = make(number, self.seed, self.gateways, list(KEYS.values()))
            self.callers.append(caller)
            caller.start()

    def make_gateway_settings(self, host):
        limits = {"held_bytes": HELD_BYTES, "connection_bytes": 65_536}
        return {"metrics_address": f"{host}:{self.metrics_port}", "limits": limits}

    def read_held_bytes(self, gateway):
        host = self.gateways[gateway].split(":")[0]
        exported = processes.call(f"{host}:{self.metrics_port}", "/metrics").body
        (line,) = [
            line for line in exported.decode().splitlines()
            if line.startswith("lycheegauge_held_bytes")
        ]  # fmt: skip
        return float(line.split()[-1])

    def start_server(self, name, zone):
        server = RecordingServer(name, zone, self.control_hosts)
        server.start()
        self.servers.append(server)
        return server

    def close_callers(self):
        for caller in self.callers:
            caller.close()

    def close(self):
        self.close_callers()
        super().close()
        for process in self.all_processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def start_process(self, *arguments):
        process = super().start_process(*arguments)
        self.started.append(arguments[0])
        self.all_processes.append(process)
        return process

    # Operator actions; each returns once it is acknowledged.

    def change_table(self):
        version = self.version + 1
        keys = [(key, holder) for holder, key in self.held_keys.items()]
        self.put_table(version, keys=keys)
        self.version = version

    def revoke(self, holder):
        key = self.held_keys.pop(holder, None)
        if key is not None:
            self.change_table()
            self.revoked_at[key] = time.monotonic()

    def put_zone_out(self, zone):
        answer = self.call_control(f"/zones-out/{zone}", {}, "PUT")
        assert answer.status == 200, answer.body
        self.zone_outages.append([zone, time.monotonic(), None])

    def restore_zone(self, zone):
        # Requests may reach the zone as soon as the operator sends this, so the
        # time is recorded before the call.
        for entry in self.zone_outages:
            if entry[0] == zone and entry[2] is None:
                entry[2] = time.monotonic()
        answer = self.call_control(f"/zones-out/{zone}", method="DELETE")
        assert answer.status == 200, answer.body

    def send_departure(self, server):
        server.has_left = True
        path = f"/backend-servers/{server.name}"
        answer = self.call_control(path, {"born_ms": server.born_ms}, "DELETE")
        assert answer.status == 200, answer.body
        self.departed_at[server.name] = time.monotonic()

    # Actions on hosts.

    def restart(self, name):
        number = int(name.rpartition("-")[2]) - 1
        if name.startswith("control"):
            self.start_control(number)
        else:
            self.start_gateway(number)

    def append_torn_record(self, name):
        """Appends half a record to the log of a stopped host."""
        path = self.folder / name / "log"
        if path.exists():
            with open(path, "ab") as file:
                file.write(TORN_RECORD)

    def wait_until_recovered(self, limit_s):
        """Waits until every gateway serves; returns whether all did in time."""
        give_up_at = time.monotonic() + limit_s
        waiting = set(range(GATEWAYS))
        while waiting and time.monotonic() < give_up_at:
            for number in list(waiting):
                try:
                    path, name = "/safe/x", f"end-{number}-{time.time_ns()}"
                    if self.request(path, name, gateway=number).status == 200:
                        waiting.discard(number)
                except OSError:
                    # The gateway does not listen yet.
                    pass
            time.sleep(processes.POLL_S)
        return not waiting

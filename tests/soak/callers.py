"""Callers that keep sending requests during all faults, and record the outcomes."""

import contextlib
import dataclasses
import http.client
import random
import socket
import threading
import time

PATHS = ("/safe/x", "/unsafe/x", "/stream/x")
DEADLINE_MS = 2500
PAUSE_S = 0.02
LARGE_PATH, SLOW_PATH = "/safe/large", "/unsafe/slow"
PIECE_BYTES = 32_768


@dataclasses.dataclass
class ObservedRequest:
    """One request as its caller saw it; ``status`` is 0 without a complete answer."""

    request_id: str
    path: str
    key: str
    gateway: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    retry_after_s: float = 0.0


class Caller:
    """Sends requests one after another over persistent connections."""

    prefix = "c"
    paths = PATHS

    def __init__(self, number, seed, gateways, keys):
        self.random = random.Random(seed * 1000 + number)
        self.number = number
        self.gateways = gateways
        self.keys = keys
        self.observed = []
        self.connections = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()

    def close(self):
        self.stopping.set()
        self.thread.join(20)

    def run(self):
        count = 0
        while not self.stopping.is_set():
            count += 1
            gateway = self.random.randrange(len(self.gateways))
            observed = ObservedRequest(
                f"{self.prefix}{self.number}-{count}", self.random.choice(self.paths),
                self.random.choice(self.keys), gateway, time.monotonic(),
            )  # fmt: skip
            self.observed.append(observed)
            self.send(observed)
            observed.ended_at = time.monotonic()
            self.stopping.wait(max(PAUSE_S, observed.retry_after_s))

    def send(self, observed):
        open_connection = self.connections.pop(observed.gateway, None)
        connection = open_connection or http.client.HTTPConnection(
            self.gateways[observed.gateway], timeout=DEADLINE_MS / 1000 + 1.0
        )
        headers = {
            "Host": "shop.example", "Lycheegauge-Request-Id": observed.request_id,
            "Lycheegauge-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {observed.key}",
        }  # fmt: skip
        try:
            connection.request("GET", observed.path, headers=headers)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return
        observed.status, observed.body = answer.status, body
        observed.retry_after_s = float(answer.headers.get("Retry-After", 0.0))
        if not answer.will_close:
            self.connections[observed.gateway] = connection


class SlowCaller(Caller):
    """Sends large bodies, and reads large answers slowly or not to their end."""

    prefix = "s"
    paths = (LARGE_PATH, SLOW_PATH)

    def send(self, observed):
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.send_slowly(observed)

    def send_slowly(self, observed):
        host, port = self.gateways[observed.gateway].split(":")
        connection = http.client.HTTPConnection(host, int(port))
        connection.sock = socket.socket()
        try:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
            connection.sock.settimeout(DEADLINE_MS / 1000 + 1.0)
            connection.sock.connect((host, int(port)))
            headers = {
                "Host": "shop.example",
                "Lycheegauge-Request-Id": observed.request_id,
                "Lycheegauge-Deadline-Ms": str(DEADLINE_MS),
                "Authorization": f"Bearer {observed.key}",
            }
            is_large = observed.path == SLOW_PATH
            body = b"b" * self.random.randrange(100_000, 900_000) if is_large else None
            connection.request("POST", observed.path, body, headers)
            answer = connection.getresponse()
            observed.retry_after_s = float(answer.headers.get("Retry-After", 0.0))
            received = b""
            pieces_max = self.random.choice((2, 1000))
            while piece := answer.read(PIECE_BYTES):
                received += piece
                pieces_max -= 1
                self.stopping.wait(0.05 if pieces_max else 2.0)
                if not pieces_max:
                    return
            if answer.length:
                # http.client reports no error if the connection ends before the stated
                # length has been read in pieces.
                return
            observed.status, observed.body = answer.status, received
        finally:
            connection.close()

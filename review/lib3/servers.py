"""Stand-ins of replicas and requesters that follow the users' pages."""

import http.client
import json
import socket
import threading
import time


class Replica:
    """A replica that listens on its own address and sends heartbeats.

    Subclasses override ``answer``.
    """

    def __init__(self, deployment, name, service, zone, host, concurrency=6):
        self.deployment, self.name, self.service = deployment, name, service
        self.zone, self.concurrency = zone, concurrency
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_silent = False
        self.runs = []
        self.lock = threading.Lock()
        self.socket = socket.create_server((host, 0), backlog=128)
        self.address = f"{host}:{self.socket.getsockname()[1]}"
        self.is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self):
        self.is_closed = True
        self.socket.close()

    def _beat(self):
        while not self.is_closed:
            if not self.is_silent:
                self.beat()
            time.sleep(1.0)

    def beat(self):
        self.sequence += 1
        body = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "concurrency": self.concurrency, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        }  # fmt: skip
        answer = self.deployment.call_control(
            "POST", f"/lycheegauge/Instances.Heartbeat/{self.name}", body, timeout=1.0
        )
        return answer is not None and answer[0] == 200

    def leave(self):
        body = {"born": self.born}
        return self.deployment.call_control(
            "POST", f"/lycheegauge/Instances.Leave/{self.name}", body, timeout=1.0
        )

    def _accept(self):
        while not self.is_closed:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    break
                if not self.answer(connection, stream, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def note_run(self, request):
        with self.lock:
            self.runs.append((time.monotonic(), request))
        self.deployment.record.write(
            "run at", self.name, request["fields"].get("x-attempt-id", "-"),
            request["method"], request["target"], f"{len(request['body'])} B",
        )  # fmt: skip

    def answer(self, connection, stream, request):
        self.note_run(request)
        connection.sendall(make_answer(request, b"done by " + self.name.encode()))
        return True


def read_request(stream):
    """Reads one request; ``None`` at the end of the channel."""
    line = stream.readline().decode("latin-1")
    if not line.strip():
        return None
    method, target, _ = line.split()
    fields, pairs = {}, []
    while True:
        line = stream.readline().decode("latin-1").rstrip("\r\n")
        if not line:
            break
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
        pairs.append((name.strip().lower(), value.strip()))
    size = int(fields.get("content-length", "0"))
    body = stream.read(size) if size else b""
    if len(body) < size:
        raise ValueError("the request broke off")
    return {"method": method, "target": target, "fields": fields, "pairs": pairs,
            "body": body}  # fmt: skip


def make_answer(request, body, status="200 OK", extra=()):
    """Builds a whole answer."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Attempt-Id: {request['fields'].get('x-attempt-id', '')}",
        f"X-Response-Seal: seal-{request['fields'].get('x-attempt-id', '')}",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_manifest(version, routes, services, tenants=None):
    """Builds a manifest like the pages' example."""
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    }  # fmt: skip
    if tenants is not None:
        document["tenants"] = tenants
    return document


def make_route(name, kind, service, prefix, **more):
    return {
        "name": name, "host": "shop.example", "pathPrefix": prefix, "type": kind,
        "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "service": service,
        "maxAttempts": 2, "anonymous": True, "sessionAffinity": False,
        "resumable": False, "targetGapMs": 120, **more,
    }  # fmt: skip


def make_service(name):
    return {
        "name": name, "healthPath": "/healthz", "maxConnections": 110,
        "protocol": "h1", "tls": False, "coldStartS": 0.0, "rampPerS": 0.0,
    }  # fmt: skip


def send_request(host, port, method, target, attempt, body=b"", deadline_ms=4000, more=()):
    """Sends one request on a new channel; returns status, fields and body."""
    connection = http.client.HTTPConnection(host, port, timeout=deadline_ms / 1000 + 1)
    fields = {
        "Host": "shop.example", "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms), **dict(more),
    }  # fmt: skip
    try:
        connection.request(method, target, body, fields)
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, dict(answer.getheaders()), content
    except (OSError, http.client.HTTPException) as error:
        return None, {}, repr(error).encode()
    finally:
        connection.close()

"""A tenant whose name is outside Latin-1 gets nothing but failures.

A manifest that is acknowledged names two tenants of a Polish installation. Both send
proper requests with their keys.
"""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import harness  # noqa: E402
import servers  # noqa: E402

TENANT = "Łódź"  # a capital of a voivodeship; "Lodz" with TROUBLE=0
OTHER_TENANT = "Kielce"
KEYS = {"tenant": "n2ctnfzs989anu6wsjnb", "other": "anfqasnmgkcuyj8pjbvk"}
REQUESTS = 60
FREE_DENIALS = 5


class Replica(servers.Replica):
    """Counts its channels."""

    channels = 0

    def _serve(self, connection):
        with self.lock:
            self.channels += 1
        super()._serve(connection)


def play(record, has_trouble):
    deployment = harness.Deployment(record, gateways=2, controls=3)
    replicas = []
    try:
        deployment.start()
        routes = [
            servers.make_route("r1", "unsafe", "desk", "/issue/", anonymous=False),
            servers.make_route(
                "r2", "safe", "desk", "/lookup/", anonymous=False, timeoutMs=3000
            ),
        ]
        tenants = [
            {"name": TENANT if has_trouble else "Lodz", "apiKeys": [KEYS["tenant"]]},
            {"name": OTHER_TENANT, "apiKeys": [KEYS["other"]]},
        ]
        deployment.put_manifest(
            servers.make_manifest(1, routes, [servers.make_service("desk")], tenants)
        )
        for n in range(3):
            host = f"{deployment.network}.3.{n + 1}"
            replicas.append(
                Replica(deployment, f"i-{n}", "desk", f"zone-{'abc'[n]}", host)
            )
        deployment.wait_until(
            lambda: all(deployment.is_ready(n) for n in range(2)), "gateways are ready"
        )
        time.sleep(3.0)
        statuses = {}
        lock = threading.Lock()

        def send(count, holder, method, path):
            attempt = f"{holder}-{method}-{count}"
            status, _, body = servers.send_request(
                deployment.gateway_hosts[count % 2], deployment.port, method, path,
                attempt, b"certificate" if method == "POST" else b"", 3000,
                [("Authorization", f"Token {KEYS[holder]}")],
            )  # fmt: skip
            with lock:
                statuses.setdefault((holder, method), []).append(status)
            record.write(attempt, "->", status, body[:90])

        senders = []
        for count in range(REQUESTS):
            for holder in KEYS:
                call = ("POST", "/issue/1") if count % 2 else ("GET", "/lookup/1")
                senders.append(
                    threading.Thread(target=send, args=(count, holder, *call))
                )
                senders[-1].start()
            time.sleep(0.1)
        for sender in senders:
            sender.join()
        total = sum(map(len, statuses.values()))
        denied = sum(
            300 <= status < 500 and status not in (408, 421, 429)
            for found in statuses.values()
            for status in found
            if status is not None
        )
        for key, found in sorted(statuses.items()):
            counts = {status: found.count(status) for status in set(found)}
            record.write(*key, "ended with", counts)
        channels = sum(replica.channels for replica in replicas)
        record.write("channels that the replicas accepted:", channels)
        if denied > FREE_DENIALS + total / 500:
            return (
                f"{denied} of {total} proper requests got a 3xx or 4xx, allowed "
                f"{FREE_DENIALS + total / 500:.1f}; {channels} channels were opened"
            )
        return ""
    finally:
        for replica in replicas:
            replica.close()
        deployment.close()


if __name__ == "__main__":
    code = harness.run_case(FOLDER, play)
    sys.stdout.flush()
    os._exit(code)

"""A manifest gives a tenant a name outside Latin-1; its requests get a final 400."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import smallsite

NAME = "Zakład Łódź"
REQUESTS = 40


async def run(record, trouble):
    site = smallsite.Site(record, controls=3, gateways=1)
    replicas = [
        smallsite.Replica(site, record, "desk", n + 1, smallsite.ZONES[n]) for n in range(3)
    ]
    try:
        return await play(site, replicas, record, trouble)
    finally:
        for replica in replicas:
            replica.close()
        site.close()


def make_manifest(version, name):
    routes = [
        smallsite.make_route("u", "/u/", "desk"),
        smallsite.make_route("s", "/s/", "desk", "safe"),
    ]
    tenants = [
        {"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1},
        {"name": name, "apiKeys": ["key-2"], "priority": 1},
    ]
    return smallsite.make_manifest(version, routes, ["desk"], tenants)


async def play(site, replicas, record, trouble):
    operator = smallsite.Operator(site, record)
    site.start_all()
    for replica in replicas:
        await replica.start()
    path = "/lycheegauge/Config.Replace"
    if await operator.order(path, make_manifest(1, "Lodz")) != 200:
        return 2
    if not await smallsite.wait_ready(site):
        return 2
    await asyncio.sleep(3.0)
    if trouble:
        status = await operator.order(path, make_manifest(2, NAME))
        record.write(f"the tenant of key-2 is renamed to {NAME}: {status}")
        if status in (400, 409, 413, 422):
            # A refused manifest is not in force, and the old name goes on.
            record.write("the manifest is refused")
    # Longer than configApplyMs, so that only the newest manifest is in force.
    await asyncio.sleep(3.0)
    gateway = site.gateways[0]
    ends = {"key-1": collections.Counter(), "key-2": collections.Counter()}
    for number in range(REQUESTS):
        for key in ends:
            method, target = ("GET", "/s/x") if number % 10 == 9 else ("POST", "/u/x")
            body = b"" if method == "GET" else b"slot"
            _, status, _, _ = await smallsite.request(
                record, gateway, method, target, key=key, body=body
            )
            ends[key][method, status] += 1
    for key, counts in ends.items():
        record.write(f"requests with {key}: {dict(counts)}")
    if ends["key-1"]["POST", 200] < REQUESTS * 0.8:
        return 2
    denied = sum(
        count
        for counts in ends.values()
        for (_, status), count in counts.items()
        if 300 <= status < 500 and status not in (408, 421, 429)
    )
    allowed = 5 + 2 * REQUESTS / 500
    record.write(f"{denied} proper requests ended with a 3xx or 4xx; allowed {allowed:.1f}")
    return 1 if denied > allowed else 0


smallsite.run_case(run)

"""A heartbeat of another writer, without ``born``, brings back a replica that has left."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import smallsite

DRAIN_S = smallsite.BOUNDS["drainMs"] / 1000
REQUEST_INTERVAL_S = 0.05
LINGER_S = 1.5
"""How long the replica serves beyond drainMs before it exits; the pages say "a little
longer (at times many seconds)"."""


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


async def send_requests(record, gateway, until):
    running = set()
    while time.monotonic() < until:
        call = smallsite.request(record, gateway, "POST", "/u/x", body=b"slot")
        running.add(asyncio.create_task(call))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*running)


async def play(site, replicas, record, trouble):
    operator = smallsite.Operator(site, record)
    site.start_all()
    for replica in replicas:
        await replica.start()
    routes = [smallsite.make_route("u", "/u/", "desk")]
    manifest = smallsite.make_manifest(1, routes, ["desk"])
    if await operator.order("/lycheegauge/Config.Replace", manifest) != 200:
        return 2
    if not await smallsite.wait_ready(site):
        return 2
    await asyncio.sleep(3.0)
    gateway = site.gateways[0]
    # More than contactMs pass without any disturbance before the replica leaves.
    traffic = asyncio.create_task(send_requests(record, gateway, time.monotonic() + 16.0))
    await asyncio.sleep(4.0)
    leaving = replicas[0]
    leaving.work_s = 0.3
    leaving.task.cancel()
    path = f"/lycheegauge/Instances.Leave/{leaving.name}"
    body = json.dumps({"born": leaving.born}).encode()
    acked_at = None
    for address in site.controls:
        try:
            status, _, _ = await smallsite.call(address, "POST", path, body)
        except (OSError, EOFError, asyncio.TimeoutError):
            continue
        if status == 200:
            acked_at = time.monotonic()
            break
    if acked_at is None:
        return 2
    record.write(f"replica {leaving.name} leaves; acknowledged; it serves on for {DRAIN_S + LINGER_S} s")
    await asyncio.sleep(0.5)
    if trouble:
        beat = leaving.make_beat()
        del beat["born"]
        path = f"/lycheegauge/Instances.Heartbeat/{leaving.name}"
        status, _, _ = await smallsite.call(
            site.controls[0], "POST", path, json.dumps(beat).encode()
        )
        record.write(f"another writer's heartbeat of {leaving.name} without born: {status}")
    await asyncio.sleep(acked_at + DRAIN_S + LINGER_S - time.monotonic())
    record.write(f"replica {leaving.name} exits")
    leaving.close()
    answers = await traffic
    late = [at - acked_at for at, _ in leaving.runs if at > acked_at + DRAIN_S]
    served = sum(status == 200 for _, status, _, _ in answers)
    record.write(f"{served} of {len(answers)} requests served")
    ran = {attempt for _, attempt in leaving.runs}
    lost = sum(status != 200 and attempt in ran for attempt, status, _, _ in answers)
    record.write(f"{lost} requests that ran at {leaving.name} were lost when it exited")
    record.write(
        f"{len(late)} requests ran at {leaving.name} later than {DRAIN_S} s after the ack"
        + (f", the last after {max(late):.2f} s" if late else "")
    )
    if served < len(answers) * 0.9:
        return 2
    return 1 if late else 0


smallsite.run_case(run)

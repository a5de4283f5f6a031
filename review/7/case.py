"""A heartbeat that a partition held up brings back a replica that has left."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import smallsite

DRAIN_S = smallsite.BOUNDS["drainMs"] / 1000
REQUEST_INTERVAL_S = 0.02
CUT_S = 5.0
LATE_S = 1.0
"""When the held heartbeat arrives after the ack: a channel that was cut for some seconds
sends again seconds after the cut has healed."""

LINGER_S = 1.5
"""How long the replica serves beyond drainMs before it exits; the pages say "a little
longer (at times many seconds)"."""


async def run(record, trouble):
    site = smallsite.Site(record, controls=3, gateways=1)
    replicas = [
        smallsite.Replica(site, record, "desk", n + 1, smallsite.ZONES[n % 3]) for n in range(5)
    ]
    for replica in replicas:
        replica.work_s = 0.3
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


async def send_held_heartbeat(replica, address):
    """Opens a channel for a heartbeat, whose bytes arrive once the event is set."""
    path = f"/lycheegauge/Instances.Heartbeat/{replica.name}"
    body = json.dumps(replica.make_beat()).encode()
    released = asyncio.Event()
    reader, writer = await asyncio.open_connection(*address.split(":"))

    async def deliver():
        await released.wait()
        head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}"
        writer.write(head.encode() + b"\r\n\r\n" + body)
        first, _ = await smallsite.read_head(reader)
        replica.record.write(f"the held heartbeat of {replica.name} arrives: {first}")
        writer.close()

    replica.delivery = asyncio.create_task(deliver())
    return released


async def leave(site, replica, record):
    """Sends the notice of departure, which has no body; returns when it was acked."""
    path = f"/lycheegauge/Instances.Leave/{replica.name}"
    for address in site.controls:
        try:
            status, _, _ = await smallsite.call(address, "POST", path)
        except (OSError, EOFError, asyncio.TimeoutError):
            continue
        if status == 200:
            record.write(f"replica {replica.name} leaves; acknowledged")
            return time.monotonic()
    return None


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
    traffic = asyncio.create_task(send_requests(record, gateway, time.monotonic() + 20.0))
    await asyncio.sleep(4.0)
    leaving = replicas[0]
    if trouble:
        # The last heartbeat before the cut is on its way when the cut begins.
        leaving.task.cancel()
        held = await send_held_heartbeat(leaving, site.controls[0])
        record.write(f"replica {leaving.name} is cut off from the core; a heartbeat is held")
        await asyncio.sleep(CUT_S)
        record.write("the cut has healed")
    leaving.task.cancel()
    acked_at = await leave(site, leaving, record)
    if acked_at is None:
        return 2
    if trouble:
        await asyncio.sleep(acked_at + LATE_S - time.monotonic())
        held.set()
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

"""A new prompt part, seen beside two crashes of another request, is refused everywhere."""

import asyncio
import collections
import pathlib
import sys
import time

LIB = pathlib.Path(__file__).resolve().parents[1] / "lib2"
sys.path.insert(0, str(LIB))
import smallsite

GATEWAYS = 2
USERS = 9
EVENTS, EVENT_S = 14, 0.08
EARLIER_REQUESTS, EARLIER_PER_S = 500, 80
BACK_S = 3.0
PART = "5c1e07a2:40"


class StreamingReplica(smallsite.Replica):
    """A replica of a model. A request for /st/poison crashes it as it begins to run."""

    async def answer_plainly(self, writer, attempt, method, target, pairs, body):
        if target == "/st/poison":
            self.record.write(f"replica {self.name} crashes")
            asyncio.create_task(self.crash())
            return False
        events, pause_s = (2, 0.005) if target == "/st/short" else (EVENTS, EVENT_S)
        first = int(smallsite.get(pairs, "Last-Event-Id", "0") or 0) + 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: s-{attempt}"
            "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            .encode()
        )
        for number in range(first, events + 1):
            await asyncio.sleep(pause_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def crash(self):
        port = int(self.address.split(":")[1])
        self.close()
        await asyncio.sleep(BACK_S)
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start(port)


async def run(record, trouble):
    site = smallsite.Site(record, controls=3, gateways=GATEWAYS)
    replicas = [
        StreamingReplica(site, record, "model", n + 1, smallsite.ZONES[n]) for n in range(3)
    ]
    for replica in replicas:
        replica.concurrency = 12
    try:
        return await play(site, replicas, record, trouble)
    finally:
        for replica in replicas:
            replica.close()
        site.close()


async def send(record, gateway, path, prefix):
    return await smallsite.request(
        record, gateway, "POST", path, body=b"prompt", timeout=10.0, deadline_ms=8000,
        headers=(("X-Model", "m"), ("X-Token-Count", "600,70"), ("X-Prompt-Prefix", prefix)),
    )  # fmt: skip


async def keep_sending_earlier(site, record):
    """An application whose prompts share no part with the new one."""
    running = set()
    for number in range(EARLIER_REQUESTS):
        gateway = site.gateways[number % GATEWAYS]
        prefix = f"aa{number % 7}:40,bb{number}:200"
        running.add(asyncio.create_task(send(record, gateway, "/st/short", prefix)))
        await asyncio.sleep(1 / EARLIER_PER_S)
    answers = await asyncio.gather(*running)
    return sum(status == 200 for _, status, _, _ in answers)


async def use_new_part(site, record, number, until, ends):
    """A user of the application whose prompts begin with the new part."""
    turn = 0
    while time.monotonic() < until:
        turn += 1
        prefix = f"{PART},cc{number}{turn:03d}:560"
        gateway = site.gateways[(number + turn) % GATEWAYS]
        _, status, _, _ = await send(record, gateway, "/st/draft", prefix)
        ends[status] += 1
        await asyncio.sleep(0.5)


async def play(site, replicas, record, trouble):
    operator = smallsite.Operator(site, record)
    site.start_all()
    for replica in replicas:
        await replica.start()
    routes = [
        smallsite.make_route("st", "/st/", "model", "streaming", resumable=True, timeoutMs=8000)
    ]
    manifest = smallsite.make_manifest(1, routes, ["model"])
    if await operator.order("/lycheegauge/Config.Replace", manifest) != 200:
        return 2
    if not await smallsite.wait_ready(site):
        return 2
    await asyncio.sleep(4.0)
    served = await keep_sending_earlier(site, record)
    record.write(f"{served} of {EARLIER_REQUESTS} earlier requests served")
    if served < EARLIER_REQUESTS * 0.9:
        return 2
    ends = collections.Counter()
    until = time.monotonic() + 14.0
    users = [
        asyncio.create_task(use_new_part(site, record, n, until, ends)) for n in range(USERS)
    ]
    await asyncio.sleep(0.2)
    if trouble:
        await send(record, site.gateways[0], "/st/poison", "dd1:40,dd2:200")
    await asyncio.gather(*users)
    total = EARLIER_REQUESTS + sum(ends.values())
    denied = sum(
        count
        for status, count in ends.items()
        if 300 <= status < 500 and status not in (408, 421, 429)
    )
    record.write(f"requests with the new part: {dict(ends)}")
    allowed = 5 + total / 500
    record.write(f"{denied} proper requests ended with a 3xx or 4xx; allowed {allowed:.1f}")
    return 1 if denied > allowed else 0


smallsite.run_case(run)

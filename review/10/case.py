"""A popular sound request runs beside one that crashes replicas, and is refused for good."""

import asyncio
import collections
import pathlib
import sys
import time

LIB = pathlib.Path(__file__).resolve().parents[1] / "lib2"
sys.path.insert(0, str(LIB))
import smallsite

USERS = 12
BOARD_S = 0.4
BACK_S = 3.0


class FragileReplica(smallsite.Replica):
    """A replica that a request for /s/poison crashes; it is back after some seconds."""

    async def answer_plainly(self, writer, attempt, method, target, pairs, body):
        if target == "/s/poison":
            self.record.write(f"replica {self.name} crashes")
            asyncio.create_task(self.crash())
            return False
        return await super().answer_plainly(writer, attempt, method, target, pairs, body)

    async def crash(self):
        port = int(self.address.split(":")[1])
        self.close()
        await asyncio.sleep(BACK_S)
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start(port)


async def run(record, trouble):
    site = smallsite.Site(record, controls=3, gateways=3)
    replicas = [
        FragileReplica(site, record, "desk", n + 1, smallsite.ZONES[n]) for n in range(3)
    ]
    for replica in replicas:
        replica.work_s = BOARD_S
        replica.concurrency = 12
    try:
        return await play(site, replicas, record, trouble)
    finally:
        for replica in replicas:
            replica.close()
        site.close()


async def poll_board(record, gateway, until, ends):
    """A user looks at the same page once a second."""
    while time.monotonic() < until:
        _, status, _, _ = await smallsite.request(record, gateway, "GET", "/s/board")
        ends[gateway][status] += 1
        await asyncio.sleep(1.0)


async def play(site, replicas, record, trouble):
    operator = smallsite.Operator(site, record)
    site.start_all()
    for replica in replicas:
        await replica.start()
    routes = [smallsite.make_route("s", "/s/", "desk", "safe")]
    manifest = smallsite.make_manifest(1, routes, ["desk"])
    if await operator.order("/lycheegauge/Config.Replace", manifest) != 200:
        return 2
    if not await smallsite.wait_ready(site):
        return 2
    await asyncio.sleep(4.0)
    ends = collections.defaultdict(collections.Counter)
    began_at = time.monotonic()
    users = [
        asyncio.create_task(poll_board(record, site.gateways[n % 2], began_at + 14.0, ends))
        for n in range(USERS)
    ]
    await asyncio.sleep(0.15)
    if trouble:
        await smallsite.request(record, site.gateways[0], "GET", "/s/poison")
    # Users of the third zone come later, when all replicas are back.
    await asyncio.sleep(began_at + 8.0 - time.monotonic())
    users += [
        asyncio.create_task(poll_board(record, site.gateways[2], began_at + 14.0, ends))
        for _ in range(USERS)
    ]
    await asyncio.gather(*users)
    total = sum(sum(counts.values()) for counts in ends.values())
    denied = sum(
        count
        for counts in ends.values()
        for status, count in counts.items()
        if 300 <= status < 500 and status not in (408, 421, 429)
    )
    for gateway in site.gateways:
        record.write(f"requests for the board at {gateway}: {dict(ends[gateway])}")
    allowed = 5 + total / 500
    record.write(f"{denied} proper requests ended with a 3xx or 4xx; allowed {allowed:.1f}")
    return 1 if denied > allowed else 0


smallsite.run_case(run)

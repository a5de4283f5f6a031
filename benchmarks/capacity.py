"""Measures how the daemons' processor time and memory grow with their clients.

Real daemons run on loopback: three entry hosts with the log. This program simulates
further entry hosts that pull from the log's leader, and agents that pull from one
entry host, at their real rate, and reads the processor time and memory of the
daemon. A straight line is fitted to the points; docs/CAPACITY.md uses its slope.
"""

import argparse
import asyncio
import collections.abc
import dataclasses
import pathlib
import sys
import time

import numpy
import psutil

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))

from support import processes

from lycheegauge.internal.protocol import freshness, work
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import peers

PULL_INTERVAL_S = 0.5
SETTLE_S = 2.0
LOOPBACK = "127.0.0.1:1"

Pull = collections.abc.Callable[[int], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Point:
    """The daemon's resource use under one number of clients."""

    clients: int
    processor: float
    resident_mb: float


class EntryPulls:
    """Simulates the pulls of many entry hosts, each with its own cursor."""

    def __init__(self, pool: peers.ChannelPool, address: str) -> None:
        self._pool = pool
        self._address = address
        self._cursors: dict[int, tuple[str, int, int]] = {}

    async def pull(self, number: int) -> None:
        """Makes one pull for one entry host."""
        source, cursor, revision = self._cursors.get(number, ("", 0, 0))
        name = f"entry-{number}"
        host = freshness.EntryHost(
            name, "zone-a", LOOPBACK, LOOPBACK, LOOPBACK, "incarnation", leaving=True
        )
        request = freshness.EntryPull(host, revision, source, cursor, (), ())
        reply = await self._pool.call(
            self._address,
            "pull",
            lambda channel: services_grpc.ReplicaStub(channel).Pull,
            request,
            5.0,
        )
        revision = reply.proof.revision if reply.proof else revision
        position = (reply.directory_source, reply.directory.cursor, revision)
        self._cursors[number] = position


class AgentPulls:
    """Simulates the pulls of many agents."""

    def __init__(self, pool: peers.ChannelPool, address: str) -> None:
        self._pool = pool
        self._address = address

    async def pull(self, number: int) -> None:
        """Makes one pull for one agent."""
        name = f"agent-{number}"
        server = freshness.BackendServer(
            name, LOOPBACK, "zone-a", "drafting", "1", "boot", 16, "completions"
        )
        load = work.LoadReport(name, "1", "boot", 0, 0, 16, 8.0, 0.0)
        await self._pool.call(
            self._address,
            "pull",
            lambda channel: services_grpc.EntryStub(channel).Pull,
            freshness.AgentPull(server, 1, load),
            5.0,
        )


async def keep_pulling(pull: Pull, number: int, clients: int) -> None:
    """Pulls once an interval for one client; clients start evenly spread over it."""
    await asyncio.sleep(PULL_INTERVAL_S * number / max(1, clients))
    while True:
        began = time.monotonic()
        await pull(number)
        spent_s = time.monotonic() - began
        await asyncio.sleep(max(0.0, PULL_INTERVAL_S - spent_s))


async def measure_point(
    pull: Pull, clients: int, process: psutil.Process, seconds: float
) -> Point:
    """Measures a daemon under a number of clients."""
    tasks = [
        asyncio.create_task(keep_pulling(pull, number, clients))
        for number in range(clients)
    ]
    await asyncio.sleep(SETTLE_S)
    before = sum(process.cpu_times()[:2])
    await asyncio.sleep(seconds)
    used = sum(process.cpu_times()[:2]) - before
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    resident_mb = process.memory_info().rss / 1e6
    return Point(clients, 100 * used / seconds, resident_mb)


async def measure(label: str, pulls_class, address, process, loads, seconds) -> None:
    """Prints the points and the fitted line for one kind of client."""
    pool = peers.ChannelPool()
    pulls = pulls_class(pool, address)
    print(label)
    points = []
    for clients in loads:
        point = await measure_point(pulls.pull, clients, process, seconds)
        points.append(point)
        print(
            f"  {point.clients:4} clients: {point.processor:6.2f} % of a core, "
            f"{point.resident_mb:6.1f} MB"
        )
    pool.close()
    numbers = [point.clients for point in points]
    for name, values, unit in (
        ("processor", [point.processor for point in points], "% of a core"),
        ("memory", [point.resident_mb for point in points], "MB"),
    ):
        slope, intercept = numpy.polyfit(numbers, values, 1)
        print(f"  fit, {name}: {intercept:.2f} + {slope:.4f} {unit} per client")


def main() -> None:
    """Starts the daemons and measures them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--entry-hosts", type=int, nargs="+", default=[0, 35, 70, 140])
    parser.add_argument("--agents", type=int, nargs="+", default=[0, 10, 20, 40])
    options = parser.parse_args()
    deployment = processes.Deployment(log_level="INFO")
    try:
        for index in range(3):
            deployment.start_entry(index)
        deployment.wait_for_members(3, 0)
        leader = deployment.peers.index(deployment.read_status()["leader"])
        other = (leader + 1) % 3
        for label, pulls_class, index, loads in (
            ("log leader, by entry hosts that pull", EntryPulls, leader,
             options.entry_hosts),
            ("entry host, by agents that pull twice a second", AgentPulls, other,
             options.agents),
        ):  # fmt: skip
            process = psutil.Process(deployment.processes[f"entry-{index + 1}"].pid)
            address = deployment.peers[index]
            asyncio.run(
                measure(label, pulls_class, address, process, loads, options.seconds)
            )
    finally:
        deployment.close()


if __name__ == "__main__":
    main()

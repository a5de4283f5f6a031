"""A complete small system in one process on loopback: ``lycheegauge local``.

It has nine entry hosts, three of which hold log replicas, a dozen model replicas
and three booking servers in three availability zones, all as asyncio tasks. The
demonstration sends real requests through them, takes an availability zone out and
back in, and prints the results.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import json
import pathlib
import random
import socket
import sys
import tempfile
import typing

import tornado.httpclient

from lycheegauge import settings
from lycheegauge.internal import logs
from lycheegauge.internal.daemons import agent, entry, fakeserver
from lycheegauge.internal.protocol import agreement
from lycheegauge.internal.state import journal

AVAILABILITY_ZONES = ("local-a", "local-b", "local-c")
ENTRY_HOSTS = 9
MODEL_REPLICAS = 12
BOOKING_SERVERS = 3
REQUESTS_PER_ROUND = 30
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
PORT_RANGE = (12_000, 32_000)

INTENT: dict[str, typing.Any] = {
    "services": [
        {"name": "drafting", "kind": "model", "needed_capacity": 40},
        {"name": "booking", "kind": "plain", "needed_capacity": 4},
    ],
    "organisations": [{"name": "counter", "weight": 4}, {"name": "office"}],
}


@dataclasses.dataclass(frozen=True, slots=True)
class SystemSize:
    """The size of the local system."""

    entry_hosts: int = ENTRY_HOSTS
    model_replicas: int = MODEL_REPLICAS
    booking_servers: int = BOOKING_SERVERS


class LocalSystem:
    """Runs all daemons and fake backend servers in this process."""

    def __init__(self, folder: pathlib.Path, size: SystemSize) -> None:
        self.folder = folder
        self.size = size
        self.entries: list[entry.EntryDaemon] = []
        self.agents: list[agent.AgentDaemon] = []
        self.fakes: list[fakeserver.FakeServer] = []

    async def start(self) -> None:
        """Starts entry hosts, agents and fake backend servers."""
        addresses = reserve_addresses(self.size.entry_hosts)
        voters = [
            settings.LogVoter(host=address, disk_id=f"disk-{index}")
            for index, address in enumerate(addresses)
            if index % 3 == 0
        ][:3]
        for index, address in enumerate(addresses):
            self.entries.append(self._make_entry(index, address, voters))
        for daemon in self.entries:
            await daemon.start()
        await self._start_backend_servers(addresses)

    def _make_entry(
        self, index: int, address: str, voters: list[settings.LogVoter]
    ) -> entry.EntryDaemon:
        log = None
        for voter in voters:
            if voter.host == address:
                folder = self.folder / f"entry-{index + 1}"
                identity = agreement.Voter(voter.host, voter.disk_id)
                journal.Journal.initialise(folder, identity)
                log = settings.LogSettings(data_folder=folder, voters=tuple(voters))
        part = settings.EntrySettings(
            name=f"entry-{index + 1}",
            availability_zone=AVAILABILITY_ZONES[index // 3 % 3],
            caller_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            peer_address=address,
            log_hosts=tuple(voter.host for voter in voters),
            log=log,
            answer_valid_s=2.0,
        )
        return entry.EntryDaemon(part)

    async def _start_backend_servers(self, addresses: list[str]) -> None:
        kinds = [("drafting", "completions")] * self.size.model_replicas
        kinds += [("booking", "plain")] * self.size.booking_servers
        for index, (service, engine) in enumerate(kinds):
            zone = AVAILABILITY_ZONES[index % 3]
            part = settings.AgentSettings(
                name=f"{service}-{index + 1}",
                availability_zone=zone,
                peer_address="127.0.0.1:0",
                announce_address="127.0.0.1:0",
                entry_hosts=tuple(addresses[index % 3 :: 3][:3]),
            )
            daemon = agent.AgentDaemon(part)
            await daemon.start()
            self.agents.append(daemon)
            fake = fakeserver.FakeServer(
                fakeserver.FakeSettings(service, engine, daemon.announce_address)
            )
            await fake.start()
            self.fakes.append(fake)

    async def close(self) -> None:
        """Closes everything."""
        for fake in self.fakes:
            await fake.close()
        for daemon in self.agents:
            await daemon.close()
        for host in self.entries:
            await host.close()


def reserve_addresses(count: int) -> list[str]:
    """Finds free loopback addresses.

    All sockets stay open until the last one is bound, so no address repeats. The
    ports are below the ephemeral range: the system may give an ephemeral port to a
    connection before a daemon listens on it.
    """
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        item = socket.socket()
        with contextlib.suppress(OSError):
            item.bind(("127.0.0.1", random.SystemRandom().randrange(*PORT_RANGE)))
            sockets.append(item)
    addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """The result of a round of requests: complete answers, refusals, seconds."""

    completed: int
    refused: int
    seconds: float


class Demonstration:
    """Uses a local system as callers and operators would, over HTTP."""

    def __init__(self, system: LocalSystem) -> None:
        self.system = system
        self._client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=64
        )

    def close(self) -> None:
        """Closes the HTTP client and its connections."""
        self._client.close()

    async def call_operator(
        self, method: str, path: str, body: bytes | None = None
    ) -> typing.Any:
        """Sends an operator's request to the first entry host."""
        address = self.system.entries[0].operator_address
        response = await self._client.fetch(
            f"http://{address}{path}", method=method, body=body, raise_error=False
        )
        return json.loads(response.body)

    async def put_in_force(self, intent: dict[str, typing.Any]) -> typing.Any:
        """Plans an intent, confirms it and waits until it is in force."""
        plan = await self.call_operator("POST", "/v1/plan", json.dumps(intent).encode())
        body = {"request_id": plan["plan_id"], "plan": plan}
        await self.call_operator("POST", "/v1/confirm", json.dumps(body).encode())
        await self.wait_until(self._is_in_force)
        return plan

    async def _is_in_force(self) -> bool:
        status = await self.call_operator("GET", "/v1/status")
        return bool(status.get("in_force"))

    async def wait_until(
        self, check: collections.abc.Callable[[], collections.abc.Awaitable[bool]]
    ) -> None:
        """Polls until ``check`` holds.

        Raises:
            TimeoutError: It did not hold within ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await check():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def has_all_members(self) -> bool:
        """Returns whether the leader knows all entry hosts and backend servers."""
        status = await self.call_operator("GET", "/v1/status")
        known = len(status.get("backend_servers", ()))
        hosts = len(status.get("entry_hosts", ()))
        return known == len(self.system.agents) and hosts == len(self.system.entries)

    async def send_round(self, count: int) -> RoundResult:
        """Sends requests through all entry hosts, every fifth one a booking."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        codes = await asyncio.gather(*(self._send(index) for index in range(count)))
        completed = sum(code == 200 for code in codes)
        return RoundResult(completed, count - completed, loop.time() - began)

    async def _send(self, index: int) -> int:
        entries = self.system.entries
        address = entries[index % len(entries)].caller_address
        service, content = "drafting", {"prompt": f"write quote {index} in brief"}
        if index % 5 == 4:
            service, content = "booking", {"slot": str(index)}
        response = await self._client.fetch(
            f"http://{address}/v1/services/{service}",
            method="POST",
            body=json.dumps(content),
            headers={"Lycheegauge-Organisation": "counter"},
            raise_error=False,
        )
        return response.code

    def count_runs(self) -> collections.Counter[str]:
        """Counts the runs of the fake backend servers by availability zone."""
        runs: collections.Counter[str] = collections.Counter()
        for daemon, fake in zip(self.system.agents, self.system.fakes, strict=True):
            runs[daemon.part.availability_zone] += len(fake.runs)
        return runs


async def run_local(stay: bool) -> int:
    """Runs the demonstration and prints its results."""
    logs.configure_logs("local", "WARNING", sys.stderr)
    with tempfile.TemporaryDirectory(prefix="lycheegauge-") as folder:
        system = LocalSystem(pathlib.Path(folder), SystemSize())
        await system.start()
        demonstration = Demonstration(system)
        try:
            succeeded = await show(demonstration)
            if stay:
                print("running until interrupted (Ctrl-C)")
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            succeeded = True
        finally:
            demonstration.close()
            await system.close()
    return 0 if succeeded else 1


async def show(demonstration: Demonstration) -> bool:
    """Runs the demonstration's steps; returns whether no request was refused."""
    system = demonstration.system
    await demonstration.wait_until(demonstration.has_all_members)
    print(f"{len(system.entries)} entry hosts, {len(system.agents)} backend servers")
    for daemon in system.entries[:3]:
        print(
            f"  {daemon.part.name} in {daemon.part.availability_zone}: callers "
            f"{daemon.caller_address}, operators {daemon.operator_address}"
        )
    await demonstration.put_in_force(INTENT)
    print("the intent with two services is in force everywhere")
    rounds = [await show_round(demonstration, "all zones")]
    out = AVAILABILITY_ZONES[1]
    plan = await demonstration.put_in_force({**INTENT, "availability_zones_out": [out]})
    for effect in plan["effects"]:
        print(f"  planned: {effect['subject']}: {effect['description']}")
    before = demonstration.count_runs()[out]
    rounds.append(await show_round(demonstration, f"{out} out"))
    print(f"  new work in {out}: {demonstration.count_runs()[out] - before}")
    await demonstration.put_in_force(INTENT)
    rounds.append(await show_round(demonstration, f"{out} back"))
    first = system.entries[0]
    print("try it by hand (with 'lycheegauge local --stay'):")
    print(f"  curl http://{first.caller_address}/v1/entries")
    print(
        f"  curl -N -H 'Accept: text/event-stream' -d '{{\"prompt\": \"hello\"}}' "
        f"http://{first.caller_address}/v1/services/drafting"
    )
    print(f"  lycheegauge status --host {first.operator_address}")
    return all(item.refused == 0 for item in rounds)


async def show_round(demonstration: Demonstration, label: str) -> RoundResult:
    """Sends one round of requests and prints its result."""
    done = await demonstration.send_round(REQUESTS_PER_ROUND)
    print(
        f"{label}: {done.completed} whole answers, {done.refused} refused, "
        f"{done.seconds:.2f} s"
    )
    return done

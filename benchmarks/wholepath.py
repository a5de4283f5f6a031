"""Compares requests through entry host and agent with direct calls to the server.

All processes run on one machine on loopback: three entry hosts with the log, and
an agent and a fake backend server each for a model and a plain service. The load is
bounded in count and in concurrency. Both paths are measured in the same run.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import time

import hdrh.histogram
import psutil
import tornado.httpclient

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))

from support import processes

MAX_LATENCY_US = 60_000_000
IDLE_S = 8.0
TOKENS = 200
INTENT = {
    "services": [
        {"name": "drafting", "kind": "model"},
        {"name": "booking", "kind": "plain"},
    ]
}


@dataclasses.dataclass(frozen=True)
class Target:
    """The address, body and headers of one kind of request."""

    label: str
    url: str
    body: bytes
    headers: dict


@dataclasses.dataclass(frozen=True)
class RoundResult:
    """The results of a round of requests; latencies in milliseconds."""

    per_second: float
    p50_ms: float
    p99_ms: float
    failed: int


async def send_all(target: Target, count: int, concurrency: int) -> RoundResult:
    """Sends ``count`` requests, ``concurrency`` at a time."""
    client = tornado.httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=concurrency
    )
    histogram = hdrh.histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    numbers = iter(range(count))
    failed = 0

    async def work() -> None:
        nonlocal failed
        for number in numbers:
            headers = {
                name: value.format(number) for name, value in target.headers.items()
            }
            began = time.perf_counter()
            response = await client.fetch(
                target.url,
                method="POST",
                body=target.body,
                headers=headers,
                raise_error=False,
            )
            histogram.record_value(int((time.perf_counter() - began) * 1e6))
            failed += response.code != 200

    began = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(concurrency)))
    seconds = time.perf_counter() - began
    client.close()
    return RoundResult(
        count / seconds,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        failed,
    )


def measure_idle(deployment: processes.Deployment) -> None:
    """Prints resident memory and processor time of the idle daemons."""
    daemons = {
        name: psutil.Process(deployment.processes[name].pid)
        for name in ("entry-1", "entry-2", "entry-3", "draft", "book")
    }
    before = {name: sum(item.cpu_times()[:2]) for name, item in daemons.items()}
    time.sleep(IDLE_S)
    leader = deployment.peers.index(deployment.read_status()["leader"]) + 1
    print(f"idle for {IDLE_S:.0f} s (log leader: entry-{leader})")
    for name, item in daemons.items():
        used = sum(item.cpu_times()[:2]) - before[name]
        resident = item.memory_info().rss / 1e6
        print(f"  {name:8} {resident:6.1f} MB  {100 * used / IDLE_S:5.2f} % of a core")


def make_targets(deployment: processes.Deployment, fakes: dict) -> list[Target]:
    """Returns the direct and the complete path for each kind of request."""
    caller = deployment.callers[0]
    prompt = {"prompt": "a quote for a mirror", "max_tokens": 20}
    stream = {**prompt, "max_tokens": TOKENS}
    engine_fields = {"request_id": "x", "resume_at": 0}
    events = {"Accept": "text/event-stream"}
    path = f"http://{caller}/v1/services"
    repeatable = {"Lycheegauge-Repeatable": "true"}
    keyed = {"Idempotency-Key": f"{time.time_ns()}-{{}}"}
    drafting = f"http://{fakes['drafting']}/v1/completions"
    booking = f"http://{fakes['booking']}/call"
    body = json.dumps(prompt).encode()
    long_body = json.dumps(stream).encode()
    return [
        Target("plain call, direct", booking, b"{}", {}),
        Target("plain call, repeatable", f"{path}/booking", b"{}", repeatable),
        Target("plain call, claimed", f"{path}/booking", b"{}", keyed),
        Target(
            "20 tokens, direct",
            drafting,
            json.dumps(prompt | engine_fields).encode(),
            {},
        ),
        Target("20 tokens, streamed", f"{path}/drafting", body, events),
        Target(
            "200 tokens, direct",
            drafting,
            json.dumps(stream | engine_fields).encode(),
            {},
        ),
        Target("200 tokens, streamed", f"{path}/drafting", long_body, events),
    ]


def start(deployment: processes.Deployment) -> dict:
    """Starts all processes; returns the fake servers' addresses by service."""
    for index in range(3):
        deployment.start_entry(index)
    admission = {"cold_limit": 64, "full_limit": 64}
    for name, service, engine in (
        ("draft", "drafting", "completions"),
        ("book", "booking", "plain"),
    ):
        announce = deployment.start_agent(name, "zone-a", admission)
        deployment.start_process(
            f"fake-{name}", "fake-backend-server", "--announce-to", announce,
            "--service", service, "--engine", engine, "--token-interval-s", 0.0,
            "--call-time-s", 0.0, "--capacity", 64,
        )  # fmt: skip
    deployment.wait_for_members(3, 2)
    deployment.put_in_force(INTENT)
    fakes = {}
    for name, service in (("draft", "drafting"), ("book", "booking")):
        line = deployment.read_log(f"fake-{name}").splitlines()[0]
        fakes[service] = json.loads(line)["address"]
    return fakes


def main() -> None:
    """Runs all rounds and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--concurrency", type=int, nargs="+", default=[1, 8])
    options = parser.parse_args()
    deployment = processes.Deployment(log_level="INFO")
    try:
        fakes = start(deployment)
        measure_idle(deployment)
        print(f"{'path':24} at once  a second   p50 ms   p99 ms failed")
        for concurrency in options.concurrency:
            for target in make_targets(deployment, fakes):
                count = options.requests // (4 if "200" in target.label else 1)
                result = asyncio.run(send_all(target, count, concurrency))
                print(
                    f"{target.label:24} {concurrency:7} {result.per_second:9.1f} "
                    f"{result.p50_ms:8.2f} {result.p99_ms:8.2f} {result.failed:6}"
                )
    finally:
        deployment.close()


if __name__ == "__main__":
    main()

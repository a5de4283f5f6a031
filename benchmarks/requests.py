"""Measures the cost of the decisions about requests, and simulates cold admission.

Each table is one run with fixed seeds. Processor time is that of this process;
memory is what Python allocated, measured by ``tracemalloc``.
"""

import argparse
import gc
import pathlib
import random
import sys
import time
import tracemalloc

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))

from support import coldserversimulation

from lycheegauge.internal.coordination import (
    admission,
    agentcore,
    attemptmessages,
    attempts,
)
from lycheegauge.internal.protocol import (
    changes,
    freshness,
    keys,
    work,
)
from lycheegauge.internal.state import claims, quarantine, tombstones

REQUESTS = 20_000
ANSWER_BYTES = 400
MICROSECONDS = 1e6
SETTINGS = admission.AdmissionSettings(cold_limit=64, full_limit=64)
SERVER = freshness.BackendServer("s", "", "", "booking", "1", "boot", 64, "fake")


def build_request(number: int, repeatable: bool) -> work.Request:
    return work.Request(
        f"host-1/{number}",
        "spejlhus",
        "booking",
        b"x" * 200,
        f"{number:032x}",
        30.0,
        repeatable=repeatable,
        idempotency_key=f"spejlhus/own-key-of-a-caller-{number:012d}",
    )


def build_order(number: int, repeatable: bool) -> work.WorkOrder:
    request = build_request(number, repeatable)
    return work.WorkOrder(request, 1, "host-1", 7, "1", claim_sequence=number + 1)


def measure_agent(repeatable: bool, running: int) -> float:
    """Returns microseconds for order, chunk and end while ``running`` others run."""
    agent = agentcore.AgentCore("s", "1", "boot", SETTINGS)
    for number in range(running):
        agent.handle_order(build_order(REQUESTS + number, True), 0.0, True)
    orders = [build_order(number, repeatable) for number in range(REQUESTS)]
    chunks = [
        work.AnswerChunk(order.request.request_id, 1, 0, body=b"x" * ANSWER_BYTES)
        for order in orders
    ]
    started = time.process_time()
    for order, chunk in zip(orders, chunks, strict=True):
        agent.handle_order(order, 0.0, True)
        agent.handle_engine_chunk(chunk, 0.1)
        agent.handle_engine_end(chunk.request_id, 1, 0.2)
    return (time.process_time() - started) / REQUESTS * MICROSECONDS


def measure_entry(repeatable: bool) -> float:
    """Returns microseconds for one request core from start to complete answer."""
    requests = [build_request(number, repeatable) for number in range(REQUESTS)]
    granted = changes.ClaimOutcome(changes.ClaimStatus.GRANTED, "s", "1", 1, b"", 1)
    started = time.process_time()
    for request in requests:
        core = attempts.RequestCore(request, "host-1", 1.0, 1.0)
        core.start(0.0)
        core.handle(attemptmessages.BackendServerChosen(SERVER), 0.0)
        if not repeatable:
            core.handle(attemptmessages.ClaimCommitted(granted), 0.0)
        chunk = work.AnswerChunk(request.request_id, 1, 0, body=b"x" * ANSWER_BYTES)
        reply = work.AgentReply(chunk=chunk)
        core.handle(attemptmessages.ReplyReceived(1, reply), 0.1)
        end = work.AnswerEnd(request.request_id, 1, 1, 0)
        core.handle(attemptmessages.ReplyReceived(1, work.AgentReply(end=end)), 0.1)
        assert core.done
    return (time.process_time() - started) / REQUESTS * MICROSECONDS


def measure_agent_chunk() -> float:
    """Returns microseconds for one chunk of one token at the agent."""
    agent = agentcore.AgentCore("s", "1", "boot", SETTINGS)
    agent.handle_order(build_order(0, True), 0.0, True)
    chunk = work.AnswerChunk("host-1/0", 1, 0, 0, ("token",))
    started = time.process_time()
    for _ in range(REQUESTS):
        agent.handle_engine_chunk(chunk, 0.1)
    return (time.process_time() - started) / REQUESTS * MICROSECONDS


def measure_entry_chunk() -> float:
    """Returns microseconds for one chunk of one token at the entry host."""
    core = attempts.RequestCore(build_request(0, True), "host-1")
    core.start(0.0)
    core.handle(attemptmessages.BackendServerChosen(SERVER), 0.0)
    replies = [
        work.AgentReply(chunk=work.AnswerChunk("host-1/0", 1, number, number, ("t",)))
        for number in range(REQUESTS)
    ]
    started = time.process_time()
    for reply in replies:
        core.handle(attemptmessages.ReplyReceived(1, reply), 0.1)
    return (time.process_time() - started) / REQUESTS * MICROSECONDS


def fill_ledger(size: int) -> tuple[claims.ClaimLedger, float]:
    """Returns a ledger of answered claims, and the seconds that its changes took."""
    ledger = claims.ClaimLedger(max_claims=size, max_total_answer_bytes=1 << 40)
    answer = bytearray(ANSWER_BYTES)
    started = time.process_time()
    for number in range(size):
        now = float(number)
        request = build_request(number, False)
        key = request.idempotency_key
        grant = changes.GrantClaim(
            key, "spejlhus", request.fingerprint, "s", "1", request.request_id,
            0.0, 0.0, now,
        )  # fmt: skip
        ledger.apply(grant)
        settled = changes.ClaimStatus.ANSWERED
        ledger.apply(changes.SettleClaim(key, 1, settled, bytes(answer), 0.0))
    return ledger, time.process_time() - started


def print_costs() -> None:
    print("agent, order to end, by number of concurrent runs (us a request)")
    for running in (0, 12, 32, 63):
        claimed = measure_agent(False, running)
        repeatable = measure_agent(True, running)
        print(
            f"  {running:3d} running: claimed {claimed:6.1f}"
            f"  repeatable {repeatable:6.1f}"
        )
    print("entry core, start to complete answer (us a request)")
    print(
        f"  claimed {measure_entry(False):6.1f}  repeatable {measure_entry(True):6.1f}"
    )
    print("chunk of one token (us)")
    print(f"  agent {measure_agent_chunk():6.1f}  entry {measure_entry_chunk():6.1f}")


def print_ledger() -> None:
    print("claim ledger by answered claims (400-byte answers)")
    for size in (1_000, 4_000, 16_000, 32_000):
        gc.collect()
        _, seconds = fill_ledger(size)
        tracemalloc.start()
        ledger, _ = fill_ledger(size)
        gc.collect()
        taken = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        body = ledger.dump()
        dumped = time.process_time() - started
        print(
            f"  {size:6d} claims: {seconds / size / 2 * MICROSECONDS:5.1f} us a change,"
            f" {taken / size:6.0f} bytes a claim, snapshot {dumped * 1e3:6.0f} ms"
            f" and {len(body) / size:4.0f} bytes a claim"
        )


def print_small_parts() -> None:
    forgotten = tombstones.Tombstones()
    names = [f"spejlhus/own-key-{number:012d}" for number in range(100_000)]
    tracemalloc.start()
    started = time.process_time()
    for name in names:
        forgotten.add(name)
    seconds = time.process_time() - started
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"forgotten keys: {taken / len(names):5.1f} bytes a key,"
        f" {seconds / len(names) * MICROSECONDS:5.1f} us to add (traced)"
    )
    source = random.Random(1)
    started = time.process_time()
    for _ in range(REQUESTS):
        keys.read_issue_time(keys.issue_key(1.0, source))
    spent = (time.process_time() - started) / REQUESTS * MICROSECONDS
    print(f"key issued and read: {spent:5.1f} us")
    quarantined = quarantine.QuarantineList()
    started = time.process_time()
    for number in range(100):
        fingerprints = tuple(f"{number:016x}{place:016x}" for place in range(32))
        quarantined.apply(changes.ReportCrash("s", str(number), fingerprints, 0.0))
    spent = (time.process_time() - started) / 100 * MICROSECONDS
    print(f"crash report of 32 fingerprints: {spent:7.0f} us")


def print_admission(seconds: float) -> None:
    policies = {"grows": (1, 32), "fixed 32": (32, 32), "fixed 1": (1, 1),
                "no limit": (10**6, 10**6)}  # fmt: skip
    print(f"admission, nine entry hosts, one server, {seconds:.0f} s, seed 3")
    for turns in ((), (30.0, 60.0)):
        print(f"  server turns cold without warning at {turns or 'no time'}")
        for name, limits in policies.items():
            settings = coldserversimulation.build_settings(*limits)
            server = coldserversimulation.ColdServer(settings, random.Random(3), turns)
            figures = server.run(seconds)
            print(
                f"    {name:9s} completed {figures.completed:5d} lost {figures.lost:4d}"
                f" falls {figures.failures:3d} overruns {figures.overloaded_starts:5d}"
                f" excess {figures.excess_s:7.1f} request-s"
                f" given back {figures.returned:3d}"
                f" full at {figures.warm_at_s:5.1f} s"
            )


TABLES = {
    "costs": lambda options: print_costs(),
    "ledger": lambda options: print_ledger(),
    "parts": lambda options: print_small_parts(),
    "admission": lambda options: print_admission(options.seconds),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tables", nargs="*", default=[*TABLES], help=", ".join(TABLES))
    parser.add_argument("--seconds", type=float, default=100.0)
    options = parser.parse_args()
    for table in options.tables:
        TABLES[table](options)


if __name__ == "__main__":
    main()

"""Measures the time from a confirmation to "in force everywhere" on nine hosts.

Nine entry hosts (three with the log) and three agents run as processes on
loopback. Each round confirms one change through one entry host and polls
``status`` at another until it reports that the change is in force.
"""

import argparse
import pathlib
import sys
import time

import hdrh.histogram

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))

from support import processes

POLL_S = 0.02
INTENT = {"services": [{"name": "drafting", "kind": "model"}]}


def start(deployment: processes.Deployment) -> None:
    """Starts all processes and puts the first intent in force."""
    for index in range(9):
        deployment.start_entry(index)
    for number, zone in enumerate(processes.ZONES):
        deployment.start_backend_server(
            f"draft-{number}", zone, "drafting", "completions"
        )
    deployment.wait_for_members(9, 3)
    deployment.put_in_force(INTENT)


def measure_round(deployment: processes.Deployment, number: int) -> tuple[float, float]:
    """Returns the seconds until "confirmed", and from then until "in force"."""
    intent = {**INTENT, "organisations": [{"name": f"organisation-{number}"}]}
    plan = deployment.plan(intent, number % 9).document
    began = time.perf_counter()
    confirmed = deployment.confirm(plan, index=number % 9)
    assert confirmed.status == 200, confirmed.body
    committed = time.perf_counter()
    revision = confirmed.document["revision"]
    while True:
        status = deployment.read_status((number + 4) % 9)
        if status["revision"] >= revision and status["in_force"]:
            return committed - began, time.perf_counter() - committed
        time.sleep(POLL_S)


def main() -> None:
    """Runs the rounds and prints percentiles in milliseconds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=30)
    options = parser.parse_args()
    deployment = processes.Deployment(entry_hosts=9, log_level="INFO")
    histograms = [hdrh.histogram.HdrHistogram(1, 60_000, 3) for _ in range(2)]
    try:
        start(deployment)
        for number in range(options.rounds):
            for histogram, seconds in zip(
                histograms, measure_round(deployment, number), strict=True
            ):
                histogram.record_value(int(seconds * 1000) + 1)
    finally:
        deployment.close()
    for label, histogram in zip(("confirmed", "in force"), histograms, strict=True):
        p50, p99, most = (histogram.get_value_at_percentile(p) for p in (50, 99, 100))
        print(f"{label:10} p50 {p50} ms, p99 {p99} ms, most {most} ms")


if __name__ == "__main__":
    main()

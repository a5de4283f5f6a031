"""Runs the soak: seeded fault schedules against real processes, several at once.

    python tests/soak/run.py --seeds 50 --first-seed 1
    python tests/soak/run.py --plant "a lease kept too long" --seeds 20

Each seed runs in a process of its own. Violations are printed with the command that
reproduces them, and the logs of that seed are kept. The exit code is 1 if any seed
failed (with ``--plant``, if none did).
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import queue
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests"))

from support import processes  # noqa: E402

from soak import checks, faults, plants, soakfleet  # noqa: E402

SEED_TIMEOUT_S = 180
_port_ranges = queue.Queue()
"""Free ranges of ports; deployments with the same range would mix their callers."""

CASES = pathlib.Path(__file__).with_name("cases.txt")


def run_schedule(seed):
    """Runs the schedule of one seed; returns violations as (check, description)."""
    rng = random.Random(seed)
    schedule = faults.draw_schedule(rng)
    fleet = soakfleet.SoakFleet(seed)
    problems = []
    try:
        fleet.start()
        started = time.monotonic()
        running = []
        for item in schedule:
            time.sleep(max(0.0, started + item.at_s - time.monotonic()))
            print(f"{item.at_s:6.2f} s {item.name}", flush=True)
            thread = threading.Thread(
                target=run_fault, args=(item, fleet, problems), daemon=True
            )
            thread.start()
            running.append(thread)
        for thread in running:
            thread.join(90)
        fleet.is_recovered = fleet.wait_until_recovered(checks.RECOVERY_S)
        fleet.close_callers()
        return problems + checks.run_checks(fleet)
    finally:
        fleet.close()
        collect_logs(seed, fleet)


def run_fault(item, fleet, problems):
    """Runs one fault; an operator call in it that fails is a violation."""
    try:
        faults.run_fault(item.name, fleet, random.Random(item.seed))
    except Exception as error:
        # An exception would otherwise be lost with its thread.
        problems.append((item.name, f"{type(error).__name__}: {error}"))


def collect_logs(seed, fleet):
    """Copies the logs to the folder ``SOAK_LOGS`` and deletes the fleet's folder."""
    folder = os.environ.get("SOAK_LOGS")
    if folder:
        target = pathlib.Path(folder) / f"seed-{seed}"
        target.mkdir(parents=True, exist_ok=True)
        for path in fleet.folder.glob("*.log"):
            shutil.copy(path, target)
        observed = [vars(item) for caller in fleet.callers for item in caller.observed]
        runs = {server.name: server.log for server in fleet.servers}
        text = json.dumps({"seen": observed, "runs": runs}, default=repr)
        (target / "seen.json").write_text(text)
    shutil.rmtree(fleet.folder, ignore_errors=True)


def run_seed(seed, source_folder, logs):
    """Runs one seed in a subprocess; returns (seed, problems, output)."""
    port_range = _port_ranges.get()
    environment = {
        **os.environ,
        "SOAK_LOGS": str(logs),
        "LYCHEEGAUGE_PORT_RANGE": str(port_range),
    }
    if source_folder is not None:
        environment["PYTHONPATH"] = str(source_folder)
    command = [sys.executable, __file__, "--one", str(seed)]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, env=environment,
            timeout=SEED_TIMEOUT_S,
        )  # fmt: skip
    except subprocess.TimeoutExpired as error:
        return seed, [["timeout", f"still running after {error.timeout} s"]], ""
    finally:
        _port_ranges.put(port_range)
    try:
        return seed, json.loads(completed.stdout.splitlines()[-1]), completed.stdout
    except (ValueError, IndexError):
        return seed, [["crash", completed.stderr[-2000:]]], completed.stdout


def list_cases():
    """Reads the seeds that have failed before; each line gives the cause after one."""
    lines = CASES.read_text().splitlines() if CASES.exists() else []
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


def run_soak(options):
    """Runs all selected seeds; returns the exit code."""
    seeds = list(range(options.first_seed, options.first_seed + options.seeds))
    if options.cases:
        seeds = list_cases() + seeds
    logs = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="lycheegauge-soak-"))
    source_folder = (
        plants.apply_mutation(options.plant, logs) if options.plant else None
    )
    failed = []
    for number in range(options.jobs):
        _port_ranges.put(processes.PORT_RANGE_COUNT + number)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(run_seed, seed, source_folder, logs) for seed in seeds]
        for run in concurrent.futures.as_completed(runs):
            seed, problems, output = run.result()
            if not problems:
                shutil.rmtree(logs / f"seed-{seed}", ignore_errors=True)
                continue
            failed.append(seed)
            print(f"seed {seed} failed; reproduce it with: make soak SEEDS=1 "
                  f"FIRST_SEED={seed}", flush=True)  # fmt: skip
            print(output.rpartition("\n[")[0])
            for check, found in problems[:8]:
                print(f"    {check}: {found}", flush=True)
    logs_note = f"; logs in {logs}" if failed else ""
    print(f"{len(seeds) - len(failed)} seeds passed, {len(failed)} failed{logs_note}")
    return int(not failed) if options.plant else int(bool(failed))


def main():
    """Parses the command line and runs one seed or the whole soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, choices=range(1, 7))
    parser.add_argument("--plant", choices=plants.MUTATIONS)
    parser.add_argument(
        "--cases", action="store_true", help="run the seeds of cases.txt first"
    )
    parser.add_argument("--logs", help="folder for the logs of failed seeds")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one is None:
        return run_soak(options)
    print(json.dumps(run_schedule(options.one), default=str))
    return 0


if __name__ == "__main__":
    sys.exit(main())

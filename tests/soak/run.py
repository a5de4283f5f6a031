"""Runs the soak: seeds of faults against real processes, several seeds at once.

    python tests/soak/run.py --seeds 50 --first-seed 1
    python tests/soak/run.py --plant "a lease kept too long" --seeds 20

Each seed runs in a process of its own; what it breaks is printed with the command
that plays it again, and its logs are kept. The exit code is 1 if any seed broke
something (with ``--plant``, if none did).
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

from soak import checks, faults, plants, world  # noqa: E402

SEED_TIMEOUT_S = 180
_port_ranges = queue.Queue()
"""Free ranges of ports; two deployments with one range would share callers."""

CASES = pathlib.Path(__file__).with_name("cases.txt")


def play(seed):
    """Plays one seed; returns what is broken, as (check, description)."""
    source = random.Random(seed)
    planned = faults.plan(source)
    played = world.World(seed)
    problems = []
    try:
        played.start()
        started = time.monotonic()
        running = []
        for item in planned:
            time.sleep(max(0.0, started + item.at_s - time.monotonic()))
            print(f"{item.at_s:6.2f} s {item.name}", flush=True)
            thread = threading.Thread(
                target=run_fault, args=(item, played, problems), daemon=True
            )
            thread.start()
            running.append(thread)
        for thread in running:
            thread.join(90)
        played.is_recovered = played.wait_until_recovered(checks.RECOVERY_S)
        played.close_callers()
        return problems + checks.run_checks(played)
    finally:
        played.close()
        keep_logs(seed, played)


def run_fault(item, played, problems):
    """Runs one fault; the operator's calls are part of it and must succeed."""
    try:
        faults.run_fault(item.name, played, random.Random(item.seed))
    except Exception as error:
        # Whatever it is, it must not be lost with its thread.
        problems.append((item.name, f"{type(error).__name__}: {error}"))


def keep_logs(seed, played):
    """Moves the processes' logs to the folder that was asked for."""
    folder = os.environ.get("SOAK_LOGS")
    if folder:
        target = pathlib.Path(folder) / f"seed-{seed}"
        target.mkdir(parents=True, exist_ok=True)
        for path in played.folder.glob("*.log"):
            shutil.copy(path, target)
        seen = [vars(item) for caller in played.callers for item in caller.seen]
        runs = {server.name: server.log for server in played.servers}
        text = json.dumps({"seen": seen, "runs": runs}, default=repr)
        (target / "seen.json").write_text(text)
    shutil.rmtree(played.folder, ignore_errors=True)


def run_seed(seed, source_folder, logs):
    """Runs one seed in a process of its own; returns (seed, problems, output)."""
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
        done = subprocess.run(
            command, capture_output=True, text=True, env=environment,
            timeout=SEED_TIMEOUT_S,
        )  # fmt: skip
    except subprocess.TimeoutExpired as error:
        return seed, [["timeout", f"still running after {error.timeout} s"]], ""
    finally:
        _port_ranges.put(port_range)
    try:
        return seed, json.loads(done.stdout.splitlines()[-1]), done.stdout
    except (ValueError, IndexError):
        return seed, [["crash", done.stderr[-2000:]]], done.stdout


def list_cases():
    """Reads the seeds that ever failed; each line has the cause after it."""
    lines = CASES.read_text().splitlines() if CASES.exists() else []
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


def run_soak(options):
    """Runs all seeds asked for; returns the exit code."""
    seeds = list(range(options.first_seed, options.first_seed + options.seeds))
    if options.cases:
        seeds = list_cases() + seeds
    logs = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="lycheegauge-soak-"))
    source_folder = plants.plant(options.plant, logs) if options.plant else None
    broken = []
    for number in range(options.jobs):
        _port_ranges.put(processes.PORT_RANGE_COUNT + number)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(run_seed, seed, source_folder, logs) for seed in seeds]
        for run in concurrent.futures.as_completed(runs):
            seed, problems, output = run.result()
            if not problems:
                shutil.rmtree(logs / f"seed-{seed}", ignore_errors=True)
                continue
            broken.append(seed)
            print(f"seed {seed} broke, play it again with: make soak SEEDS=1 "
                  f"FIRST_SEED={seed}", flush=True)  # fmt: skip
            print(output.rpartition("\n[")[0])
            for check, found in problems[:8]:
                print(f"    {check}: {found}", flush=True)
    kept = f"; logs in {logs}" if broken else ""
    print(f"{len(seeds) - len(broken)} seeds passed, {len(broken)} broke{kept}")
    return int(not broken) if options.plant else int(bool(broken))


def main():
    """Reads the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, choices=range(1, 7))
    parser.add_argument("--plant", choices=plants.PLANTS)
    parser.add_argument("--cases", action="store_true", help="the kept seeds first")
    parser.add_argument("--logs", help="a folder for the logs of broken seeds")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one is None:
        return run_soak(options)
    print(json.dumps(play(options.one), default=str))
    return 0


if __name__ == "__main__":
    sys.exit(main())

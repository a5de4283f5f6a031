"""Runs every feature with behave and compares the failures with KNOWN-RED.txt.

Each feature file runs in a process of its own, several in parallel. The last line
of the output counts the scenarios: ``N passed, N failed``. A scenario listed in
KNOWN-RED.txt may fail and is printed. In a complete run, a listed scenario that
passes fails the run, so that the list stays up to date.
"""

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURE_TIMEOUT_S = 900
PARALLEL_FEATURES = 4


@dataclasses.dataclass(frozen=True)
class FeatureRun:
    """The outcome of one feature file."""

    feature: str
    passed: tuple[str, ...]
    failed: tuple[str, ...]
    output: str


def run_feature(path: pathlib.Path, arguments: list[str]) -> FeatureRun:
    feature = str(path.relative_to(ROOT))
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", feature, *arguments]
        command += ["--format", "json", "--outfile", report.name]
        command += ["--format", "plain", "--no-skipped"]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
        passed, failed = read_report(pathlib.Path(report.name).read_text())
    if completed.returncode != 0 and not failed:
        failed = [f"{feature} (behave itself failed)"]
    output = completed.stdout + completed.stderr
    return FeatureRun(feature, tuple(passed), tuple(failed), output)


def read_report(text: str) -> tuple[list[str], list[str]]:
    passed: list[str] = []
    failed: list[str] = []
    for feature in json.loads(text or "[]"):
        for element in feature.get("elements", []):
            if element["type"] != "scenario" or element["status"] == "skipped":
                continue
            names = passed if element["status"] == "passed" else failed
            names.append(element["name"])
    return passed, failed


def read_known_red() -> dict[str, str]:
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("\t")[0]: line for line in entries}


def find_features(chosen: list[str]) -> list[pathlib.Path]:
    if chosen:
        return [pathlib.Path(name).resolve() for name in chosen]
    return sorted((ROOT / "tests").rglob("*.feature"))


def main(arguments: list[str]) -> int:
    chosen = [argument for argument in arguments if argument.endswith(".feature")]
    options = [argument for argument in arguments if argument not in chosen]
    features = find_features(chosen)
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        runs = list(pool.map(lambda path: run_feature(path, options), features))
    known_red = read_known_red()
    return print_runs(runs, known_red, complete=not chosen and not options)


def print_runs(
    runs: list[FeatureRun], known_red: dict[str, str], complete: bool
) -> int:
    failed = {name for run in runs for name in run.failed}
    passed = sum(len(run.passed) for run in runs)
    for run in runs:
        print(f"{run.feature}: {len(run.passed)} passed, {len(run.failed)} failed")
        figures = [line for line in run.output.splitlines() if "figure:" in line]
        print("\n".join(figures), end="\n" if figures else "")
        if run.failed:
            print(run.output)
    for name in sorted(failed & known_red.keys()):
        print(f"known red: {known_red[name]}")
    stale = known_red.keys() - failed if complete else set()
    for name in sorted(stale):
        print(f"listed in KNOWN-RED.txt but not failing: {name}")
    unexpected = failed - known_red.keys()
    for name in sorted(unexpected):
        print(f"failed: {name}")
    print(f"{passed} passed, {sum(len(run.failed) for run in runs)} failed")
    return 1 if unexpected or stale or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

import pathlib
import random
import subprocess
import sys

import behave
from soak import faults

RUNNER = pathlib.Path(__file__).resolve().parents[1] / "soak/run.py"


@behave.then("the recorded seeds and two fixed seeds pass the soak")
def check_seeds(context):
    arguments = ["--cases", "--seeds", "2", "--first-seed", "1", "--jobs", "2"]
    done = subprocess.run(
        [sys.executable, str(RUNNER), *arguments], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]


@behave.then("the same seed draws the same faults")
def check_schedule(context):
    for seed in range(20):
        drawn = [faults.draw_schedule(random.Random(seed)) for _ in range(2)]
        assert drawn[0] == drawn[1]
        added = [item for item in drawn[0] if item.name in faults._added_faults]
        assert len(added) <= faults.ADDED_FAULTS_MAX
        count = len(drawn[0]) - len(added)
        assert faults.FAULTS_MIN <= count <= faults.FAULTS_MAX
    names = {item.name for seed in range(200) for item in faults.draw_schedule(
        random.Random(seed))}  # fmt: skip
    assert names == faults._faults.keys() | faults._added_faults.keys()

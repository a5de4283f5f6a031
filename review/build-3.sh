#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and up start. They are Python files
# of the standard library, run from the source; this only checks that they compile.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for folder in ("lib3", "11", "12", "13", "14", "15"):
    for path in pathlib.Path("review", folder).glob("*.py"):
        compile(path.read_text(), str(path), "exec")
CHECK

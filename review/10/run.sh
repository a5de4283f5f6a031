#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
export CASE_FOLDER="$here" PYTHONDONTWRITEBYTECODE=1
exec python3 "$here/case.py"

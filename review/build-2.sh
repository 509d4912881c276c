#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the program of the deploy file:
# stand-ins in Python, which only have to compile. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

files = [pathlib.Path("tests/process/platform_standins.py"), pathlib.Path("review/standins_2.py")]
files += [it for number in range(6, 11) for it in pathlib.Path(f"review/{number}").glob("*.py")]
for it in files:
    compile(it.read_text(encoding="utf-8"), str(it), "exec")
    print("compiles:", it)
PYTHON

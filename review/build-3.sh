#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs of the standard
# library and need no build; this checks that the interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PROGRAM'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
files = [pathlib.Path("standins_3.py")]
files += [pathlib.Path(f"{number}/case.py") for number in range(11, 16)]
for it in files:
    if it.exists():
        ast.parse(it.read_text(encoding="utf-8"), str(it))
        print(f"{it}: ok")
PROGRAM

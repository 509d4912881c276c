#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that need no more than
# its standard library, so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py [0-9]/*.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
print(f"{len(sys.argv) - 1} files can be loaded with Python {sys.version.split()[0]}")
CHECK

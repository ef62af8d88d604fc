#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start besides the programs
# of the deploy file: stand-ins in Python, which the project's checks use already
# (scripts/install-packages). There is nothing to compile; this checks them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(glob.glob("review/stand_in_3/*.py")
                   + glob.glob("review/1[1-5]/*.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY

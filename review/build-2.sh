#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs without
# dependencies, so this only checks that they can be read and run.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 - stand_in_2/*.py [6-9]/case.py 10/case.py <<'END'
import ast
import os
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed, as in Debian 12")
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path) as file:
            ast.parse(file.read(), path)
END

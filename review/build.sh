#!/usr/bin/env bash
# Prepares the stand-ins: they are Python programs, which are only compiled to check them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for file in glob.glob("standin/*.py") + glob.glob("*/case.py"):
    compile(open(file, encoding="utf-8").read(), file, "exec")
PY
